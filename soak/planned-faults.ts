/**
 * Planned work on daemons, replicas and the configuration, beside sound replicas that are full or
 * silent for a while. No answer may end early then, except where its replica or its time ends.
 */
import {type ReplicaStandin} from '../platform/__tests__/standins.js';
import {type RequestRecord} from './clients.js';
import {type SoakCluster, type SoakDaemon} from './cluster.js';

/** Time for which a sound replica sends no events, in milliseconds: longer than daemons wait before they look for another engine, and shorter than clients wait. */
const silenceMs = 1700;
/** When a replica without room refuses, in milliseconds after the delivery of a request: it has a queue. */
const refusalDelayMs = 600;
/** Time between the notice of a reclaim and the end of the replicas, in milliseconds. */
const reclaimNoticeMs = 1500;
/** The deadline of requests, and the timeout of their routes, in milliseconds. */
export const plannedTimeoutMs = 6000;
/** Number of clients, and requests that a replica runs at once: the clients fill the replicas while some of these leave. */
export const plannedClientCount = 18;
export const plannedSlots = 6;
/** The share of the grace period that is left when requests may be cut that were sent at its beginning, and how long that beginning lasts, in milliseconds. */
const lastGraceShare = 1 / 6;
const graceBeginningMs = 3000;
/** Time after the last byte of a request in which its connection may be closed with the request unread, in milliseconds. */
const unreadMs = 200;
/** Tolerance for times that were taken in different processes, in milliseconds. */
const toleranceMs = 100;

/** A fault: `begin` injects it, `end` removes it. */
type PlannedFault = {name: string; begin: () => void; end?: () => void};

/** Returns the planned work that a run draws from. */
export function plannedFaults(cluster: SoakCluster, replica: ReplicaStandin, daemon: SoakDaemon): Array<() => PlannedFault> {
	const index = cluster.replicas.indexOf(replica);
	const sendSignal = (name: NodeJS.Signals) => (): PlannedFault => ({
		name: `${daemon.host} ${name}`,
		begin() {
			daemon.signal(name);
		},
	});
	const reconfigure = (): PlannedFault => ({
		name: 'configuration written again',
		begin() {
			cluster.putConfig();
		},
	});
	const replace = (): PlannedFault => ({
		name: `replica ${replica.id} replaced`,
		begin() {
			cluster.drainReplica(index);
			void cluster.addReplica();
		},
	});
	const reclaim = (): PlannedFault => ({
		name: `replica ${replica.id} and others reclaimed`,
		begin() {
			cluster.reclaimReplicas(index, reclaimNoticeMs);
		},
	});
	const silence = (): PlannedFault => ({
		name: `replica ${replica.id} silent`,
		begin() {
			replica.silentUntilMs = Date.now() + silenceMs;
		},
	});
	const fill = (): PlannedFault => ({
		name: 'replicas are full and refuse late',
		begin() {
			for (const each of cluster.replicas) {
				each.capacity = 0;
				each.refusalDelayMs = refusalDelayMs;
			}
		},
		end() {
			for (const each of cluster.replicas) {
				each.capacity = plannedSlots;
				each.refusalDelayMs = 0;
			}
		},
	});
	return [sendSignal('SIGTERM'), sendSignal('SIGHUP'), reconfigure, reconfigure, replace, replace, reclaim, silence, silence, silence, fill, fill];
}

/** Finds the requests that a daemon has read and that ended without a complete answer, although their last replica went on and there was time left. */
export function findLostAnswers(cluster: SoakCluster, records: RequestRecord[]): string[] {
	const lost: string[] = [];
	for (const record of records) {
		if (record.isComplete || record.hasGivenUp || !isRead(record, cluster) || isExcused(record, cluster)) {
			continue;
		}

		const runs = findRuns(cluster, record.id).map(({replica, run}) => `${replica.id} ${run.hasRun ? 'ran' : 'refused'} +${run.atMs - record.sentAtMs} to +${(run.closedAtMs ?? Number.NaN) - record.sentAtMs}`);
		lost.push(`${record.id} (${record.kind}, ${record.status ?? 'no answer'}) at ${record.host}: lost after ${record.endedAtMs - record.sentAtMs} ms, ${runs.join(', ')}`);
	}

	return lost;
}

/** Whether a daemon has read a request: it was passed on, or its connection ended later than one that was closed unread. */
function isRead({id, status, isConnected, sentAtMs, endedAtMs}: RequestRecord, cluster: SoakCluster): boolean {
	return status !== undefined || findRuns(cluster, id).length > 0 || (isConnected && endedAtMs - sentAtMs > unreadMs + toleranceMs);
}

/** Whether the replica broke off, the time was used up, or the grace period was about to end. */
function isExcused({id, host, sentAtMs, endedAtMs}: RequestRecord, cluster: SoakCluster): boolean {
	const last = findRuns(cluster, id).findLast(({run}) => run.hasRun);
	const endOfReplica = last && cluster.endedAtMs.get(last.replica);
	if (endOfReplica !== undefined && endedAtMs >= endOfReplica - toleranceMs) {
		return true;
	}

	if (endedAtMs - sentAtMs >= plannedTimeoutMs - toleranceMs) {
		return true;
	}

	const graceMs = cluster.bounds.grace_s * 1000;
	const stops = cluster.daemons.find(daemon => daemon.host === host)!.stopsAtMs;
	return stops.some(atMs => sentAtMs <= atMs + graceBeginningMs && endedAtMs >= atMs + (graceMs * (1 - lastGraceShare)) - toleranceMs && endedAtMs <= atMs + graceMs + toleranceMs);
}

/** Returns the deliveries of a request, in the order of time. */
function findRuns(cluster: SoakCluster, id: string): Array<{replica: ReplicaStandin; run: ReplicaStandin['received'][number]}> {
	return cluster.replicas.flatMap(replica => replica.received.filter(run => run.id === id).map(run => ({replica, run}))).toSorted((a, b) => a.run.atMs - b.run.atMs);
}
