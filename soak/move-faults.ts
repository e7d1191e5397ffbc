/** Replicas with few slots that refuse what has no room, and move running streams to each other while they are reclaimed. */
import {type ReplicaStandin} from '../platform/__tests__/standins.js';
import {
	promptTiming, type OrderTiming, type RunMoves, StopAnswer,
} from '../platform/__tests__/run-moves.js';
import {type SoakCluster} from './cluster.js';

/** Requests that a replica runs at once: eight clients fill those of all replicas. */
export const capacity = 3;
/** Pause between two events of a stream, in milliseconds. */
const eventPauseMs = 150;
/** At a faulty replica, one of so many requests is refused before its body has been read, and one of so many refusals is repeated late. */
const earlyRefusalInterval = 4;
const repeatedRefusalInterval = 2;
/** Further reclaims among the faults of runs with stops, so that orders are sent while a way to carry them out applies. */
const addedReclaims = 8;
/** Time between the notice of a reclaim and the end of the replicas, in milliseconds. */
const reclaimNoticeMs = 1500;
/** How orders are carried out on a busy machine, and how those that get no answer are. */
const slowTiming: OrderTiming = {ms: 1100, isAnswered: true};
const unansweredTiming: OrderTiming = {ms: 400, isAnswered: false};

/** When last orders stop their runs, and when they are answered if the answer tells what became of them or is damaged, in milliseconds after the order. Daemons wait 1 s for answers. */
const stopTimes = [
	{
		name: 'at once', stopAfterMs: 0, answerAfterMs: 20, damagedAfterMs: 20,
	},
	{
		name: 'shortly after', stopAfterMs: 40, answerAfterMs: 5, damagedAfterMs: 5,
	},
	{
		name: 'late', stopAfterMs: 1300, answerAfterMs: 1310, damagedAfterMs: 5,
	},
];
/** Answers from which a daemon can tell what became of its order. */
const tellingAnswers = new Set([StopAnswer.Whole, StopAnswer.NoRoom, StopAnswer.NoRoomWithoutHandle]);

/** A fault: `begin` injects it, `end` removes it. */
type MoveFault = {name: string; begin: () => void; end?: () => void};

/** Makes a new replica move its streams, and refuse requests for which it has no slot. */
export function allowMoves(replica: ReplicaStandin, {address, moves, slots, hasUnframedStreams}: {address: string; moves: RunMoves; slots: number; hasUnframedStreams: boolean}): void {
	replica.capacity = slots;
	replica.slots = slots;
	replica.eventPauseMs = eventPauseMs;
	replica.startedAtMs = Date.now();
	replica.hasUnframedStreams = hasUnframedStreams;
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
	return [reclaim, reclaim, reclaim, reclaim, reclaim, reclaim, refuse, refuse, refuse, refuse, setTiming('orders to move are slow', slowTiming), setTiming('orders to move get no answer', unansweredTiming), restart, ...stopFaults(cluster, reclaim)];
}

/** Returns the ways in which last orders are carried out, with more reclaims beside them; none in runs without stops, so that their seeds draw the same faults as without this function. */
function stopFaults({moves, options}: SoakCluster, reclaim: () => MoveFault): Array<() => MoveFault> {
	if (!options.hasStops) {
		return [];
	}

	const plans = Object.values(StopAnswer).flatMap(answer => stopTimes.map(({name, stopAfterMs, answerAfterMs, damagedAfterMs}) => (): MoveFault => {
		const plan = {stopAfterMs, answerAfterMs: tellingAnswers.has(answer) ? answerAfterMs : damagedAfterMs, answer};
		return {
			name: `orders stop streams ${name}, answer: ${answer}`,
			begin() {
				moves.stopPlan = plan;
			},
			end() {
				// A later plan may apply by now.
				if (moves.stopPlan === plan) {
					moves.stopPlan = undefined;
				}
			},
		};
	}));
	return [...plans, ...Array.from({length: addedReclaims}, () => reclaim)];
}
