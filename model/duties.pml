/*
 * The singleton duties of two daemons, held by a lease in the platform's store. A claim is
 * appended only at the topic's end that the claimer has read, so claims have one order. A
 * daemon acts while the last read that confirmed its claim was sent at most
 * MAX_CONFIRMATION_AGE ago, and a new holder doesn't act for QUIET_TIME after its claim.
 * Time runs in steps of about a second.
 *
 * Properties: if the other daemon acts between two acts of a daemon, these are more than
 * LEASE apart; no two claims have the same token. NO_QUIET lets a new holder act at once,
 * NO_CONFIRM lets a holder act on a view of any age: the check of both must fail.
 */
#define LEASE 3
#define MAX_CONFIRMATION_AGE 1
#define MAX_TIME 9
#ifdef NO_QUIET
#define QUIET_TIME 0
#else
#define QUIET_TIME 4
#endif

byte now = 0;
byte topicEnd = 0;
byte holder = 2;

byte lastActAt[2];
bool hasActed[2];
bool otherActedSince[2];

active proctype Clock() {
	do
	:: now < MAX_TIME -> now++
	:: now >= MAX_TIME -> break
	od
}

inline act() {
	assert(!(hasActed[id] && otherActedSince[id]) || now - lastActAt[id] > LEASE);
	hasActed[id] = true;
	lastActAt[id] = now;
	otherActedSince[id] = false;
	otherActedSince[1 - id] = true
}

proctype Daemon(byte id) {
	byte readEnd = 0;
	byte viewHolder = 2;
	byte confirmedAt = 0;
	byte quietUntil = 0;
	byte readSentAt = 0;
	bool reading = false;
	do
	/*
	 * A read is sent, and later sampled by the store. Taking the answer in the same step as
	 * the sample covers all cases: a later answer still confirms only the moment of sending,
	 * and an answer that is older than the daemon's view is dropped.
	 */
	:: atomic { now < MAX_TIME && !reading -> reading = true; readSentAt = (viewHolder == id -> now : 0) }
	:: atomic { reading ->
		reading = false;
		readEnd = topicEnd;
		viewHolder = holder;
		confirmedAt = (viewHolder == id -> readSentAt : 0);
		quietUntil = (viewHolder == id -> quietUntil : 0);
		readSentAt = 0
	}
	/* A daemon suspects the holder and claims the lease at the end that it has read. */
	:: atomic { now < MAX_TIME && viewHolder != id && topicEnd == readEnd && topicEnd < 3 ->
		topicEnd++;
		holder = id;
		readEnd = topicEnd;
		viewHolder = id;
		confirmedAt = now;
		quietUntil = now + (topicEnd == 1 -> 0 : QUIET_TIME)
	}
#ifdef NO_CONFIRM
	:: atomic { now < MAX_TIME && viewHolder == id && now >= quietUntil -> act() }
#else
	:: atomic { now < MAX_TIME && viewHolder == id && now >= quietUntil && now - confirmedAt <= MAX_CONFIRMATION_AGE -> act() }
#endif
	:: now >= MAX_TIME -> break
	od
}

init {
	atomic { run Daemon(0); run Daemon(1) }
}
