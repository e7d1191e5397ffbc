/*
 * The config stream (src/state/config-table.ts, src/coordination/config-follower.ts):
 * operators append records based on the version some gateway showed them, perhaps
 * stale, and append again when an answer is lost; every gateway applies the log in
 * offset order and accepts a record only when its base is the version in force.
 *
 * Checked: every gateway decides each record alike; at most one record wins a base;
 * a gateway's version only rises.
 *
 * -DACCEPT_ANY models a broken reader that accepts every record, and must fail.
 */
#define READERS 3
#define OPERATORS 2
#define MAX_LOG 4

byte logBase[MAX_LOG];  /* base + 1, so that the first base, -1, is 0 */
byte logLength = 0;
byte decided[MAX_LOG];  /* 0 not yet, 1 accepted, 2 rejected */
byte winners[MAX_LOG + 1];
short version[READERS];

proctype Operator() {
	short base;
	byte from;
	select(from : 0 .. READERS - 1);
	base = version[from];
	atomic { logLength < MAX_LOG -> logBase[logLength] = base + 1; logLength++ };
	/* The answer was lost: the operator appends the same record again. */
	if
	:: atomic { logLength < MAX_LOG -> logBase[logLength] = base + 1; logLength++ }
	:: skip
	fi
}

proctype Reader(byte me) {
	byte next = 0;
	byte mine;
end:
	do
	:: next < logLength ->
#ifdef ACCEPT_ANY
		mine = 1;
#else
		if
		:: logBase[next] == version[me] + 1 -> mine = 1
		:: else -> mine = 2
		fi;
#endif
		atomic {
			if
			:: decided[next] == 0 ->
				decided[next] = mine;
				if
				:: mine == 1 -> winners[logBase[next]]++; assert(winners[logBase[next]] <= 1)
				:: else -> skip
				fi
			:: else -> assert(decided[next] == mine)
			fi
		}
		if
		:: mine == 1 -> assert(next > version[me]); version[me] = next
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
