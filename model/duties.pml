/*
 * The singleton duties of two daemons over the platform's store. A claim is appended only
 * where the claimer read the topic's end, so claims have one order. A daemon acts while a
 * read that confirmed its claim was sent at most CONFIRMED ago, and a new holder keeps
 * quiet for QUIET after its claim. Time runs in steps of about a second.
 *
 * Property: no daemon acts on both sides of another within LEASE, and no claim shares its
 * token with another. NO_QUIET lets a new holder act at once, NO_CONFIRM lets a holder act
 * on any view: both must fail.
 */
#define LEASE 3
#define CONFIRMED 1
#define END 9
#ifdef NO_QUIET
#define QUIET 0
#else
#define QUIET 4
#endif

byte now = 0;
byte end = 0;
byte holder = 2;

byte lastAct[2];
bool acted[2];
bool otherSince[2];

active proctype Time() {
	do
	:: now < END -> now++
	:: now >= END -> break
	od
}

inline act() {
	assert(!(acted[me] && otherSince[me]) || now - lastAct[me] > LEASE);
	acted[me] = true;
	lastAct[me] = now;
	otherSince[me] = false;
	otherSince[1 - me] = true
}

proctype Daemon(byte me) {
	byte next = 0;
	byte viewHolder = 2;
	byte confirmedAt = 0;
	byte quietUntil = 0;
	byte sentAt = 0;
	bool reading = false;
	do
	/*
	 * A read is sent, and sampled by the store later. An answer that comes later still only
	 * confirms an older moment, and one that knows less than the daemon is dropped, so the
	 * answer is taken with the sample.
	 */
	:: atomic { now < END && !reading -> reading = true; sentAt = (viewHolder == me -> now : 0) }
	:: atomic { reading ->
		reading = false;
		next = end;
		viewHolder = holder;
		confirmedAt = (viewHolder == me -> sentAt : 0);
		quietUntil = (viewHolder == me -> quietUntil : 0);
		sentAt = 0
	}
	/* Somebody suspects the holder: it claims where it read the end. */
	:: atomic { now < END && viewHolder != me && end == next && end < 3 ->
		end++;
		holder = me;
		next = end;
		viewHolder = me;
		confirmedAt = now;
		quietUntil = now + (end == 1 -> 0 : QUIET)
	}
#ifdef NO_CONFIRM
	:: atomic { now < END && viewHolder == me && now >= quietUntil -> act() }
#else
	:: atomic { now < END && viewHolder == me && now >= quietUntil && now - confirmedAt <= CONFIRMED -> act() }
#endif
	:: now >= END -> break
	od
}

init {
	atomic { run Daemon(0); run Daemon(1) }
}
