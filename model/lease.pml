/*
 * The controller lease (src/state/lease-table.ts, src/coordination/lease.ts): gateways
 * append claims and renewals that name the record they follow; a record counts only if
 * that is the last one that counted. The holder orders until LEASE after it sent the
 * last of its records that counted; others claim LEASE after they read the last record
 * that counted. An append may land any time after it was sent, time may pass between any
 * two steps (a pause), and reading lags.
 *
 * Checked: no gateway gives an order under a lower fencing token than one already used.
 *
 * -DNO_EXPIRY models a holder that does not look at its clock, and must fail.
 * -DNO_WAIT models gateways that claim without waiting, and must fail.
 */
#define GATEWAYS 2
#define LEASE 2
#define MAX_TIME 5
#define MAX_LOG 3
#define NONE 255

byte now = 0;
byte logHolder[MAX_LOG];
byte logBase[MAX_LOG];   /* base + 1 */
byte logToken[MAX_LOG];  /* NONE for a claim */
byte logSent[MAX_LOG];
byte logLength = 0;
byte highestToken = 0;   /* + 1; 0 for none */

proctype Clock() {
end:
	do
	:: now < MAX_TIME -> now++
	od
}

proctype Gateway(byte me) {
	byte next = 0;
	byte last = 0;        /* + 1 */
	byte token = NONE;    /* of the lease in force */
	byte holder = NONE;
	byte lastRead = 0;
	byte heldSince = 0;
	bool isSending = false;
	byte sendBase = 0;
	byte sendToken = NONE;
	byte sendAt = 0;
end:
	do
	:: atomic { next < logLength ->
		if
		:: logBase[next] == last ->
			last = next + 1;
			holder = logHolder[next];
			lastRead = now;
			if
			:: logToken[next] == NONE -> token = next
			:: else -> token = logToken[next]
			fi;
			if
			:: holder == me -> heldSince = logSent[next]
			:: else -> heldSince = 0
			fi
		:: else -> skip
		fi;
		next++ }
	/* A claim, once the lease has lapsed by this gateway's own clock. */
#ifdef NO_WAIT
	:: atomic { !isSending && holder != me -> isSending = true; sendBase = last; sendToken = NONE; sendAt = now }
#else
	:: atomic { !isSending && (holder == NONE || now >= lastRead + LEASE) ->
		isSending = true; sendBase = last; sendToken = NONE; sendAt = now }
#endif
	/* A renewal by the holder. */
	:: atomic { !isSending && holder == me && now < heldSince + LEASE ->
		isSending = true; sendBase = last; sendToken = token; sendAt = now }
	/* What was sent lands. */
	:: atomic { isSending && logLength < MAX_LOG ->
		logHolder[logLength] = me; logBase[logLength] = sendBase; logToken[logLength] = sendToken; logSent[logLength] = sendAt;
		logLength++; isSending = false; sendBase = 0; sendToken = NONE; sendAt = 0 }
	/* An order: the clock is read and the order written in one step. */
#ifdef NO_EXPIRY
	:: atomic { holder == me ->
#else
	:: atomic { holder == me && now < heldSince + LEASE ->
#endif
		assert(token + 1 >= highestToken);
		highestToken = token + 1 }
	od
}

init {
	byte index;
	atomic {
		run Clock();
		for (index : 0 .. GATEWAYS - 1) {
			run Gateway(index)
		}
	}
}
