/*
 * How long a daemon may serve requests by its view of the operators' configuration while
 * the store answers late or not at all and the VM may be suspended. An API key is revoked
 * at some moment; a read samples the store some time after it was sent and before it is
 * answered. The daemon serves a request with the key while its view is at most MAX_AGE old.
 *
 * Property: no request is served that arrives more than REVOCATION_BOUND after the
 * revocation. AGE_FROM_ANSWER counts a view's age from the answer instead of from when the
 * read was sent, and MONOTONIC_ONLY uses a clock that stops during a suspension: the check
 * of both must fail.
 */
#define MAX_AGE 4
#define REVOCATION_BOUND 5
#define MAX_TIME 14

byte now = 0;
byte monotonic = 0;
bool suspended = false;
bool revoked = false;
byte revokedAt = 0;

bool reading = false;
bool sampled = false;
bool sampledRevoked = false;
byte readSentAt = 0;

bool hasView = false;
bool viewRevoked = false;
byte confirmedAt = 0;

#ifdef MONOTONIC_ONLY
#define DAEMON_CLOCK monotonic
#else
#define DAEMON_CLOCK now
#endif

active proctype Clock() {
	do
	:: now < MAX_TIME -> atomic {
		now++;
		if
		:: !suspended -> monotonic++
		:: else -> skip
		fi
	}
	:: now >= MAX_TIME -> break
	od
}

active proctype Vm() {
	suspended = true;
	suspended = false
}

active proctype Operator() {
	atomic { revoked = true; revokedAt = now }
}

active proctype Store() {
	do
	:: atomic { reading && !sampled -> sampledRevoked = revoked; sampled = true }
	:: now >= MAX_TIME -> break
	od
}

active proctype Daemon() {
	do
	:: atomic { !suspended && !reading -> reading = true; sampled = false; readSentAt = DAEMON_CLOCK }
	:: atomic { !suspended && reading && sampled ->
		reading = false;
		hasView = true;
		viewRevoked = sampledRevoked;
#ifdef AGE_FROM_ANSWER
		confirmedAt = DAEMON_CLOCK
#else
		confirmedAt = readSentAt
#endif
	}
	:: atomic { !suspended && hasView && !viewRevoked && DAEMON_CLOCK - confirmedAt <= MAX_AGE ->
		assert(!revoked || now - revokedAt <= REVOCATION_BOUND)
	}
	:: now >= MAX_TIME -> break
	od
}
