/*
 * What a daemon may believe that does not read the store but asks a relay. The relay reads
 * the store and knows as of when its view was current: when its last answered read was
 * sent. Its answer says how old that is and how far its view reaches. The daemon takes its
 * own view to be as old, counted from when it asked, if it reaches as far. Messages take
 * any time, and so does each step of either process: a VM that is suspended is one whose
 * next step takes long.
 *
 * Property: no request is served that arrives more than BOUND after the revocation.
 * AGE_FROM_RECEIPT counts from when the answer came, IGNORE_MISSING confirms a view that
 * lacks what the relay has read: both must fail.
 */
#define LIMIT 2
#define BOUND 3
#define END 6

byte now = 0;
bool revoked = false;
byte revokedAt = 0;

/* The relay's read of the store, and its view. */
bool reading = false;
bool sampled = false;
bool sample = false;
byte sentAt = 0;
bool relayKnown = false;
bool relayRevoked = false;
byte relayConfirmedAt = 0;

/* The daemon's question and the relay's answer on their way. */
bool asking = false;
bool answered = false;
byte askedAt = 0;
byte answerAge = 0;
bool answerRevoked = false;

/* The daemon's own view: it has read the configuration once, before the revocation. */
bool known = false;
byte confirmedAt = 0;
bool viewRevoked = false;

active proctype Time() {
	do
	:: now < END -> now++
	:: now >= END -> break
	od
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

active proctype Relay() {
	do
	:: atomic { !reading -> reading = true; sampled = false; sentAt = now }
	:: atomic { reading && sampled ->
		reading = false;
		relayKnown = true;
		relayRevoked = sample;
		relayConfirmedAt = sentAt
	}
	:: atomic { asking && !answered && relayKnown ->
		answered = true;
		answerAge = now - relayConfirmedAt;
		answerRevoked = relayRevoked
	}
	:: now >= END -> break
	od
}

active proctype Daemon() {
	do
	:: atomic { !asking -> asking = true; answered = false; askedAt = now }
	:: atomic { asking && answered ->
		asking = false;
		if
#ifndef IGNORE_MISSING
		/* The relay has read a record that this view lacks. */
		:: answerRevoked && !viewRevoked -> skip
#endif
#ifdef AGE_FROM_RECEIPT
		:: (!answerRevoked || viewRevoked) && now >= answerAge ->
			known = true;
			confirmedAt = now - answerAge
#else
#ifdef IGNORE_MISSING
		:: askedAt >= answerAge ->
#else
		:: (!answerRevoked || viewRevoked) && askedAt >= answerAge ->
#endif
			known = true;
			confirmedAt = askedAt - answerAge
#endif
		:: else -> skip
		fi
	}
	:: atomic { known && !viewRevoked && now - confirmedAt <= LIMIT ->
		assert(!revoked || now - revokedAt <= BOUND)
	}
	:: now >= END -> break
	od
}
