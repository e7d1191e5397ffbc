/*
 * The controller lease (src/state/lease-table.ts, src/coordination/controller-lease.ts):
 * gateways append claims and renewals that name the record they follow; a record counts
 * only if the record that it names is the last one that counted. The holder issues orders
 * until LEASE after it sent the last of its records that counted; others may claim the
 * lease LEASE after they read the last record that counted. A record may be appended any
 * time after it was sent, time may pass between any two steps (a pause), and reads lag
 * behind.
 *
 * Property: no gateway issues an order under a lower fencing token than one already used.
 *
 * -DNO_EXPIRY models a holder that doesn't check its clock; its check must fail.
 * -DNO_WAIT models gateways that claim without waiting; its check must fail.
 */
#define GATEWAYS 2
#define LEASE 2
#define MAX_TIME 5
#define MAX_LOG 3
#define NONE 255

byte now = 0;
byte logHolder[MAX_LOG];
byte logBase[MAX_LOG];    /* base + 1 */
byte logToken[MAX_LOG];   /* NONE for a claim */
byte logSentAt[MAX_LOG];
byte logLength = 0;
byte highestToken = 0;    /* + 1; 0 for none */

proctype Clock() {
end:
	do
	:: now < MAX_TIME -> now++
	od
}

proctype Gateway(byte id) {
	byte next = 0;
	byte lastCounted = 0;  /* offset + 1; 0 for none */
	byte token = NONE;     /* of the lease in force */
	byte holder = NONE;
	byte lastCountedReadAt = 0;
	byte leaseStart = 0;
	bool isPending = false;
	byte pendingBase = 0;
	byte pendingToken = NONE;
	byte pendingSentAt = 0;
end:
	do
	:: atomic { next < logLength ->
		if
		:: logBase[next] == lastCounted ->
			lastCounted = next + 1;
			holder = logHolder[next];
			lastCountedReadAt = now;
			if
			:: logToken[next] == NONE -> token = next
			:: else -> token = logToken[next]
			fi;
			if
			:: holder == id -> leaseStart = logSentAt[next]
			:: else -> leaseStart = 0
			fi
		:: else -> skip
		fi;
		next++ }
	/* Sends a claim once the lease has expired by this gateway's own clock. */
#ifdef NO_WAIT
	:: atomic { !isPending && holder != id -> isPending = true; pendingBase = lastCounted; pendingToken = NONE; pendingSentAt = now }
#else
	:: atomic { !isPending && (holder == NONE || now >= lastCountedReadAt + LEASE) ->
		isPending = true; pendingBase = lastCounted; pendingToken = NONE; pendingSentAt = now }
#endif
	/* Sends a renewal as the holder. */
	:: atomic { !isPending && holder == id && now < leaseStart + LEASE ->
		isPending = true; pendingBase = lastCounted; pendingToken = token; pendingSentAt = now }
	/* The pending record is appended to the log. */
	:: atomic { isPending && logLength < MAX_LOG ->
		logHolder[logLength] = id; logBase[logLength] = pendingBase; logToken[logLength] = pendingToken; logSentAt[logLength] = pendingSentAt;
		logLength++; isPending = false; pendingBase = 0; pendingToken = NONE; pendingSentAt = 0 }
	/* Issues an order: the check of the clock and the order are one step. */
#ifdef NO_EXPIRY
	:: atomic { holder == id ->
#else
	:: atomic { holder == id && now < leaseStart + LEASE ->
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
