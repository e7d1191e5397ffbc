/** Replicas that state their pace, which changes, and that have few slots: coordinators assign requests to them, and queue what has no room. */
import {type ReplicaStandin} from '../platform/__tests__/standins.js';
import {type SoakCluster} from './cluster.js';

/** Slots of a replica: eight clients fill those of all replicas at times. */
const slots = 2;
/** Requests that a replica runs or queues before it refuses more. */
const capacity = 6;
/** Time of the work on a request at the usual pace, in milliseconds. */
const workMs = 25;
/** The usual pace, and that of a replica that is slowed down, in percent. */
const usualPercent = 100;
const slowPercent = 250;

/** A fault: `begin` injects it, `end` removes it. */
type PaceFault = {name: string; begin: () => void; end: () => void};

/** Makes a new replica state its pace. */
export function stateUsualPace(replica: ReplicaStandin): void {
	replica.slots = slots;
	replica.capacity = capacity;
	replica.workMs = workMs;
	replica.pacePercent = usualPercent;
}

/** Returns the faults of runs with paces, none in other runs. */
export function paceFaults(cluster: SoakCluster, replica: ReplicaStandin): Array<() => PaceFault> {
	const slowDown = () => ({
		name: `replica ${replica.id} at a pace of ${slowPercent} percent`,
		begin() {
			replica.pacePercent = slowPercent;
		},
		end() {
			replica.pacePercent = usualPercent;
		},
	});
	// Listed three times, so that about one fault in six slows a replica down.
	return cluster.options.hasPaces ? [slowDown, slowDown, slowDown] : [];
}
