/*
 * What a daemon may believe of the operators' configuration while the store may answer
 * late or not at all and the VM may be suspended. A key is revoked at some moment; a read
 * samples the store somewhere between its sending and its answer. The daemon serves a
 * request with the key while its view is at most LIMIT old.
 *
 * Property: no request is served that arrives more than BOUND after the revocation.
 * AGE_FROM_ANSWER counts a view's age from the answer instead of the sending of its read,
 * MONOTONIC_ONLY uses a clock that stands still during a suspension: both must fail.
 */
#define LIMIT 4
#define BOUND 5
#define END 14

byte now = 0;
byte monotonic = 0;
bool suspended = false;
bool revoked = false;
byte revokedAt = 0;

bool reading = false;
bool sampled = false;
bool sample = false;
byte sentAt = 0;

bool known = false;
bool viewRevoked = false;
byte confirmedAt = 0;

#ifdef MONOTONIC_ONLY
#define CLOCK monotonic
#else
#define CLOCK now
#endif

active proctype Time() {
	do
	:: now < END -> atomic {
		now++;
		if
		:: !suspended -> monotonic++
		:: else -> skip
		fi
	}
	:: now >= END -> break
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
	:: atomic { reading && !sampled -> sample = revoked; sampled = true }
	:: now >= END -> break
	od
}

active proctype Daemon() {
	do
	:: atomic { !suspended && !reading -> reading = true; sampled = false; sentAt = CLOCK }
	:: atomic { !suspended && reading && sampled ->
		reading = false;
		known = true;
		viewRevoked = sample;
#ifdef AGE_FROM_ANSWER
		confirmedAt = CLOCK
#else
		confirmedAt = sentAt
#endif
	}
	:: atomic { !suspended && known && !viewRevoked && CLOCK - confirmedAt <= LIMIT ->
		assert(!revoked || now - revokedAt <= BOUND)
	}
	:: now >= END -> break
	od
}
