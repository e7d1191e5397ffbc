/*
 * How long a daemon may serve requests by its view of the configuration if it asks a relay
 * instead of reading the store. The relay reads the store; its view was current when it
 * sent its last read that was answered. Its answer tells the age of its view and how far in
 * the topic the view reaches. If the daemon's own view reaches as far, the daemon takes it
 * to be of the same age, counted from when it asked. Messages and the steps of all processes
 * take any time; a suspended VM is one whose next step takes long.
 *
 * Property: no request is served that arrives more than REVOCATION_BOUND after the
 * revocation. AGE_FROM_RECEIPT counts the age from when the answer arrived, IGNORE_MISSING
 * confirms a view that lacks a record which the relay has read: the check of both must fail.
 */
#define MAX_AGE 2
#define REVOCATION_BOUND 3
#define MAX_TIME 6

byte now = 0;
bool revoked = false;
byte revokedAt = 0;

/* The relay's read of the store, and the relay's view. */
bool reading = false;
bool sampled = false;
bool sampledRevoked = false;
byte readSentAt = 0;
bool hasRelayView = false;
bool relayRevoked = false;
byte relayConfirmedAt = 0;

/* The daemon's question and the relay's answer in transit. */
bool asking = false;
bool answered = false;
byte askedAt = 0;
byte answerAge = 0;
bool answerRevoked = false;

/* The daemon's own view: it has read the configuration once, before the revocation. */
bool hasView = false;
byte confirmedAt = 0;
bool viewRevoked = false;

active proctype Clock() {
	do
	:: now < MAX_TIME -> now++
	:: now >= MAX_TIME -> break
	od
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

active proctype Relay() {
	do
	:: atomic { !reading -> reading = true; sampled = false; readSentAt = now }
	:: atomic { reading && sampled ->
		reading = false;
		hasRelayView = true;
		relayRevoked = sampledRevoked;
		relayConfirmedAt = readSentAt
	}
	:: atomic { asking && !answered && hasRelayView ->
		answered = true;
		answerAge = now - relayConfirmedAt;
		answerRevoked = relayRevoked
	}
	:: now >= MAX_TIME -> break
	od
}

active proctype Daemon() {
	do
	:: atomic { !asking -> asking = true; answered = false; askedAt = now }
	:: atomic { asking && answered ->
		asking = false;
		if
#ifndef IGNORE_MISSING
		/* The relay has read a record that this view lacks, so the view is not confirmed. */
		:: answerRevoked && !viewRevoked -> skip
#endif
#ifdef AGE_FROM_RECEIPT
		:: (!answerRevoked || viewRevoked) && now >= answerAge ->
			hasView = true;
			confirmedAt = now - answerAge
#else
#ifdef IGNORE_MISSING
		:: askedAt >= answerAge ->
#else
		:: (!answerRevoked || viewRevoked) && askedAt >= answerAge ->
#endif
			hasView = true;
			confirmedAt = askedAt - answerAge
#endif
		:: else -> skip
		fi
	}
	:: atomic { hasView && !viewRevoked && now - confirmedAt <= MAX_AGE ->
		assert(!revoked || now - revokedAt <= REVOCATION_BOUND)
	}
	:: now >= MAX_TIME -> break
	od
}
