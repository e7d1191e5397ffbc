/*
 * What daemons know of the backend servers that crashed under one request. Each daemon
 * reports to the others which servers crashed and when a run of the request last completed;
 * messages may be duplicated, lost and delayed, and receivers pass them on. All times are
 * those of the events themselves, as the ages in the messages tell them.
 *
 * Properties: a daemon counts no more crashes than there were, and none from before a
 * completed run that it knows of. COUNT_MESSAGES counts each message that tells of a crash,
 * IGNORE_CLEARED records crashes again that are older than the completed run: the check of
 * both must fail.
 */
#define DAEMONS 2
#define BACKENDS 2
#define MAX_TIME 4

byte now = 1;
/* The time when each backend server crashed under the request, 0 if it has not. */
byte crashedAt[BACKENDS];
byte crashCount = 0;

/* Per daemon: the known crashes by backend server, their count, and the time of the last completed run. */
bool isCrashKnown[DAEMONS * BACKENDS];
byte countedCrashes[DAEMONS];
byte clearedAt[DAEMONS];

/* The one message in transit; receiving it doesn't remove it, so it may be received again. */
bool isSent = false;
bool sentCrashKnown[BACKENDS];
byte sentClearedAt = 0;

#define CRASH_KNOWN(daemon, backend) isCrashKnown[(daemon) * BACKENDS + (backend)]

inline dropClearedCrashes(daemon) {
	byte candidate;
	for (candidate : 0 .. BACKENDS - 1) {
		if
		:: CRASH_KNOWN(daemon, candidate) && crashedAt[candidate] <= clearedAt[daemon] -> CRASH_KNOWN(daemon, candidate) = false; countedCrashes[daemon]--
		:: else
		fi
	}
}

inline recordCrash(daemon, backend) {
	if
#ifdef COUNT_MESSAGES
	:: true -> CRASH_KNOWN(daemon, backend) = true; countedCrashes[daemon]++
#else
#ifdef IGNORE_CLEARED
	:: !CRASH_KNOWN(daemon, backend) -> CRASH_KNOWN(daemon, backend) = true; countedCrashes[daemon]++
#else
	:: !CRASH_KNOWN(daemon, backend) && crashedAt[backend] > clearedAt[daemon] -> CRASH_KNOWN(daemon, backend) = true; countedCrashes[daemon]++
#endif
	:: else
#endif
	fi
}

active proctype Clock() {
	do
	:: now < MAX_TIME -> now++
	:: now >= MAX_TIME -> break
	od
}

active [DAEMONS] proctype Daemon() {
	byte server;
	do
	/* A backend server crashes under the request, which this daemon had sent to it. */
	:: atomic { crashCount < BACKENDS && now < MAX_TIME -> crashedAt[crashCount] = now; crashCount++; recordCrash(_pid - 1, crashCount - 1) }
	/* A run completes at this daemon. */
	:: atomic { clearedAt[_pid - 1] < now && now < MAX_TIME -> clearedAt[_pid - 1] = now; dropClearedCrashes(_pid - 1) }
	:: atomic { now < MAX_TIME ->
		isSent = true;
		sentClearedAt = clearedAt[_pid - 1];
		for (server : 0 .. BACKENDS - 1) { sentCrashKnown[server] = CRASH_KNOWN(_pid - 1, server) }
	}
	:: atomic { isSent && now < MAX_TIME ->
		if
		:: sentClearedAt > clearedAt[_pid - 1] -> clearedAt[_pid - 1] = sentClearedAt; dropClearedCrashes(_pid - 1)
		:: else
		fi;
		for (server : 0 .. BACKENDS - 1) {
			if
			:: sentCrashKnown[server] -> recordCrash(_pid - 1, server)
			:: else
			fi
		}
	}
	:: atomic { countedCrashes[_pid - 1] > 0 ->
		assert(countedCrashes[_pid - 1] <= crashCount);
		for (server : 0 .. BACKENDS - 1) { assert(!CRASH_KNOWN(_pid - 1, server) || crashedAt[server] > clearedAt[_pid - 1]) }
		break
	}
	:: now >= MAX_TIME -> break
	od
}
