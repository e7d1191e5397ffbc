/*
 * The stream of configuration records (src/state/config-table.ts,
 * src/coordination/config-follower.ts): operators append records based on the version,
 * possibly stale, that some gateway showed them, and append again when an answer is lost.
 * Each gateway applies the log in offset order and accepts a record only if its base is
 * the version in force.
 *
 * Properties: all gateways decide alike on each record; at most one record on each base is
 * accepted; a gateway's version only rises.
 *
 * -DACCEPT_ANY models a faulty reader that accepts every record; its check must fail.
 */
#define READERS 3
#define OPERATORS 2
#define MAX_LOG 4

byte logBase[MAX_LOG];  /* base + 1, so that the first base, -1, is 0 */
byte logLength = 0;
byte agreedDecision[MAX_LOG];  /* 0: not yet decided, 1: accepted, 2: rejected */
byte acceptedCount[MAX_LOG + 1];
short version[READERS];

proctype Operator() {
	short base;
	byte from;
	select(from : 0 .. READERS - 1);
	base = version[from];
	atomic { logLength < MAX_LOG -> logBase[logLength] = base + 1; logLength++ };
	/* If the answer was lost, the operator appends the same record again. */
	if
	:: atomic { logLength < MAX_LOG -> logBase[logLength] = base + 1; logLength++ }
	:: skip
	fi
}

proctype Reader(byte id) {
	byte next = 0;
	byte decision;
end:
	do
	:: next < logLength ->
#ifdef ACCEPT_ANY
		decision = 1;
#else
		if
		:: logBase[next] == version[id] + 1 -> decision = 1
		:: else -> decision = 2
		fi;
#endif
		atomic {
			if
			:: agreedDecision[next] == 0 ->
				agreedDecision[next] = decision;
				if
				:: decision == 1 -> acceptedCount[logBase[next]]++; assert(acceptedCount[logBase[next]] <= 1)
				:: else -> skip
				fi
			:: else -> assert(agreedDecision[next] == decision)
			fi
		}
		if
		:: decision == 1 -> assert(next > version[id]); version[id] = next
		:: else -> skip
		fi;
		next++
	od
}

init {
	byte index;
	for (index : 0 .. READERS - 1) {
		version[index] = -1
	}
	atomic {
		for (index : 0 .. READERS - 1) {
			run Reader(index)
		}
		for (index : 0 .. OPERATORS - 1) {
			run Operator()
		}
	}
}
