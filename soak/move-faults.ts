/** Replicas with few slots that refuse what has no room, and move running streams to each other while they are reclaimed. */
import {type ReplicaStandin} from '../platform/__tests__/standins.js';
import {promptTiming, type OrderTiming, type RunMoves} from '../platform/__tests__/run-moves.js';
import {type SoakCluster} from './cluster.js';

/** Requests that a replica runs at once: eight clients fill those of all replicas. */
export const capacity = 3;
/** Pause between two events of a stream, in milliseconds. */
const eventPauseMs = 150;
/** At a faulty replica, one of so many requests is refused before its body has been read, and one of so many refusals is repeated late. */
const earlyRefusalInterval = 4;
const repeatedRefusalInterval = 2;
/** Time between the notice of a reclaim and the end of the replicas, in milliseconds. */
const reclaimNoticeMs = 1500;
/** How orders are carried out on a busy machine, and how those that get no answer are. */
const slowTiming: OrderTiming = {ms: 1100, isAnswered: true};
const unansweredTiming: OrderTiming = {ms: 400, isAnswered: false};

/** A fault: `begin` injects it, `end` removes it. */
type MoveFault = {name: string; begin: () => void; end?: () => void};

/** Makes a new replica move its streams, and refuse requests for which it has no slot. */
export function allowMoves(replica: ReplicaStandin, {address, moves, slots}: {address: string; moves: RunMoves; slots: number}): void {
	replica.capacity = slots;
	replica.slots = slots;
	replica.eventPauseMs = eventPauseMs;
	replica.startedAtMs = Date.now();
	replica.moves = moves;
	moves.add(address, replica);
}

/** Returns the faults of runs with moves, none in other runs. */
export function moveFaults(cluster: SoakCluster, replica: ReplicaStandin): Array<() => MoveFault> {
	if (!cluster.options.hasMoves) {
		return [];
	}

	const {moves} = cluster;
	const index = cluster.replicas.indexOf(replica);
	const reclaim = (): MoveFault => ({
		name: `replica ${replica.id} and others reclaimed`,
		begin() {
			cluster.reclaimReplicas(index, reclaimNoticeMs);
		},
	});
	const refuse = (): MoveFault => ({
		name: 'all replicas refuse early and repeat refusals',
		begin() {
			for (const each of cluster.replicas) {
				each.earlyRefusalInterval = earlyRefusalInterval;
				each.repeatedRefusalInterval = repeatedRefusalInterval;
			}
		},
		end() {
			for (const each of cluster.replicas) {
				each.earlyRefusalInterval = 0;
				each.repeatedRefusalInterval = 0;
			}
		},
	});
	const setTiming = (name: string, timing: OrderTiming) => (): MoveFault => ({
		name,
		begin() {
			moves.timing = timing;
		},
		end() {
			moves.timing = promptTiming;
		},
	});
	const restart = (): MoveFault => ({
		name: `replica ${replica.id} restarts`,
		begin() {
			cluster.restartInPlace(index);
		},
	});
	return [reclaim, reclaim, reclaim, reclaim, reclaim, reclaim, refuse, refuse, refuse, refuse, setTiming('orders to move are slow', slowTiming), setTiming('orders to move get no answer', unansweredTiming), restart];
}
