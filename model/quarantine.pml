/*
 * What daemons know of a request under which backend servers ended. Each tells the others
 * which ended and when a run last completed; messages are copied, lost and delayed at will,
 * and passed on by who hears them. Times are those of the events, as ages carry them.
 *
 * Properties: a daemon counts no more ends than there were, and none before a completed run
 * that it knows of. COUNT_MESSAGES adds up what messages say, IGNORE_CLEARED takes ends from
 * before the completed run again: both must fail.
 */
#define DAEMONS 2
#define BACKENDS 2
#define END 4

byte now = 1;
/* When each backend server ended under the request, 0 where it has not. */
byte endedAt[BACKENDS];
byte ends = 0;

/* What each daemon knows: ends by backend server, their count, and the last completed run. */
bool known[DAEMONS * BACKENDS];
byte counted[DAEMONS];
byte clearedAt[DAEMONS];

/* One message on its way; taking it leaves it there, so that it is heard again. */
bool sent = false;
bool saidKnown[BACKENDS];
byte saidClearedAt = 0;

#define KNOWN(daemon, backend) known[(daemon) * BACKENDS + (backend)]

inline forgetCleared(daemon) {
	byte old;
	for (old : 0 .. BACKENDS - 1) {
		if
		:: KNOWN(daemon, old) && endedAt[old] <= clearedAt[daemon] -> KNOWN(daemon, old) = false; counted[daemon]--
		:: else
		fi
	}
}

inline learn(daemon, backend) {
	if
#ifdef COUNT_MESSAGES
	:: true -> KNOWN(daemon, backend) = true; counted[daemon]++
#else
#ifdef IGNORE_CLEARED
	:: !KNOWN(daemon, backend) -> KNOWN(daemon, backend) = true; counted[daemon]++
#else
	:: !KNOWN(daemon, backend) && endedAt[backend] > clearedAt[daemon] -> KNOWN(daemon, backend) = true; counted[daemon]++
#endif
	:: else
#endif
	fi
}

active proctype Time() {
	do
	:: now < END -> now++
	:: now >= END -> break
	od
}

active [DAEMONS] proctype Daemon() {
	byte each;
	do
	/* A backend server ends under the request, which ran here. */
	:: atomic { ends < BACKENDS && now < END -> endedAt[ends] = now; ends++; learn(_pid - 1, ends - 1) }
	/* A run completes here. */
	:: atomic { clearedAt[_pid - 1] < now && now < END -> clearedAt[_pid - 1] = now; forgetCleared(_pid - 1) }
	:: atomic { now < END ->
		sent = true;
		saidClearedAt = clearedAt[_pid - 1];
		for (each : 0 .. BACKENDS - 1) { saidKnown[each] = KNOWN(_pid - 1, each) }
	}
	:: atomic { sent && now < END ->
		if
		:: saidClearedAt > clearedAt[_pid - 1] -> clearedAt[_pid - 1] = saidClearedAt; forgetCleared(_pid - 1)
		:: else
		fi;
		for (each : 0 .. BACKENDS - 1) {
			if
			:: saidKnown[each] -> learn(_pid - 1, each)
			:: else
			fi
		}
	}
	:: atomic { counted[_pid - 1] > 0 ->
		assert(counted[_pid - 1] <= ends);
		for (each : 0 .. BACKENDS - 1) { assert(!KNOWN(_pid - 1, each) || endedAt[each] > clearedAt[_pid - 1]) }
		break
	}
	:: now >= END -> break
	od
}
