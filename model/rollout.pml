/*
 * A roll-out of a new version over two daemons, one of which holds the duties at a time. The
 * holder commits each phase to a topic of the store, by an append that succeeds only at the end
 * that it has read. Other daemons learn phases by messages that may be late, lost or repeated.
 * A holder may lose the duties at any moment without noticing.
 *
 * Properties: an order that was rolled back is never completed, nor the other way round; a
 * daemon that has learned that the version was rolled back sends nothing to it any more; and no
 * daemon sends all its requests to the version before that was committed. NO_CONDITION lets a
 * holder append wherever the topic ends, IGNORE_ORDER lets a daemon go back to the phase of a
 * late message: the check of both must fail.
 */
#define DAEMONS 2
#define MAX_COMMITS 4
#define MAX_SENDS 3

/* The phases, in the order in which they replace each other. */
#define NONE 0
#define CANARY 1
#define SHIFT 2
#define COMPLETED 3
#define ROLLED_BACK 4

byte topicEnd = 0;
byte committed[5];
byte newest = NONE;
bool isCompleted = false;
bool isRolledBack = false;
bool isShiftCommitted = false;
/* Whether a daemon learned of the roll-back. */
bool hasLearnedRollback[DAEMONS];

inline commit(phase) {
	committed[topicEnd] = phase;
	topicEnd++;
	newest = phase;
	isCompleted = isCompleted || (phase == COMPLETED);
	isRolledBack = isRolledBack || (phase == ROLLED_BACK);
	isShiftCommitted = isShiftCommitted || (phase == SHIFT);
	assert(!(isCompleted && isRolledBack))
}

/* A daemon takes over a phase, unless it knows a later one. */
inline learn(phase) {
#ifdef IGNORE_ORDER
	known = phase;
#else
	known = (phase > known -> phase : known);
#endif
	hasLearnedRollback[id] = hasLearnedRollback[id] || (phase == ROLLED_BACK)
}

proctype Daemon(byte id) {
	byte known = NONE;
	byte readEnd = 0;
	byte readPhase = NONE;
	bool isHolder = false;
	byte sends = 0;
	byte message;
	do
	/* The duties change hands: the new holder reads the topic, the former one does not notice. */
	:: atomic { !isHolder -> isHolder = true; readEnd = topicEnd; readPhase = newest; learn(readPhase) }
	:: atomic { isHolder -> isHolder = false }
	/* The holder commits the next phase at the end that it has read. */
	:: atomic { isHolder && topicEnd < MAX_COMMITS && readPhase != COMPLETED && readPhase != ROLLED_BACK ->
		if
#ifdef NO_CONDITION
		:: true ->
#else
		:: readEnd == topicEnd ->
#endif
			if
			:: readPhase == NONE -> message = CANARY
			:: readPhase == CANARY -> message = SHIFT
			:: readPhase == CANARY -> message = ROLLED_BACK
			:: readPhase == SHIFT -> message = COMPLETED
			:: readPhase == SHIFT -> message = ROLLED_BACK
			fi;
			commit(message);
			readEnd = topicEnd;
			readPhase = message;
			learn(message)
#ifndef NO_CONDITION
		:: readEnd != topicEnd -> isHolder = false
#endif
		fi
	}
	/* A message with any committed phase arrives, however old. */
	:: atomic { topicEnd > 0 ->
		select(message : 0 .. 3);
		if
		:: message < topicEnd -> learn(committed[message])
		:: else
		fi
	}
	/* A request is sent to the new version. */
	:: atomic { sends < MAX_SENDS && (known == CANARY || known == SHIFT || known == COMPLETED) ->
		sends++;
		assert(!hasLearnedRollback[id]);
		assert(known == CANARY || isShiftCommitted)
	}
	:: sends == MAX_SENDS -> break
	od
}

init {
	atomic { run Daemon(0); run Daemon(1) }
}
