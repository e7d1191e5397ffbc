/** Faults of the replicas themselves, and checks of how the daemons handle them: a request that crashes replicas, and replicas that state a rate limit, announce that they leave, or ask for a cooldown. */
import {type ReplicaStandin} from '../platform/__tests__/standins.js';
import {type RequestRecord} from './clients.js';
import {fatalBody, type SoakCluster, type SoakDaemon} from './cluster.js';

/** Crashes under one request after which the daemons must refuse it. */
const crashesUntilRefused = 3;
/** Time without faults after which every daemon knows of the crashes under a request and of a stated limit, in milliseconds. */
const propagationMs = 3000;
/**
 * The limit that a replica states, in requests per second, and the most requests that it may get in a window of
 * {@link windowMs} milliseconds: the operators allow 1.5 times the stated rate and 5 requests more.
 */
const statedLimitPerSecond = 1;
const windowMs = 4000;
const maxRequestsInWindow = (statedLimitPerSecond * 1.5 * windowMs / 1000) + 5;
/** Time beyond the usual end of a run that the check of a stated limit needs, in milliseconds: one whole window once all daemons know the limit. */
export const limitCheckMs = propagationMs + windowMs;

/** A replica that states a limit, and since when it does, in milliseconds since 1970. */
export type LimitedReplica = {replica: ReplicaStandin; sinceMs: number};

/** Makes the newest replica, which has neither crashed nor is draining, state a limit from now on. */
export function startStatingLimit({replicas}: SoakCluster): LimitedReplica {
	const replica = replicas.at(-1)!;
	replica.statedLimit = String(statedLimitPerSecond);
	return {replica, sinceMs: Date.now()};
}

/** Checks that no replica gets the fatal request any more once it has crashed {@link crashesUntilRefused} replicas and every daemon knows of it. */
export function findCrashViolations({replicas}: SoakCluster, faultsEndMs: number): string[] {
	const receivedAtMs = replicas.flatMap(replica => replica.received).filter(({body}) => body === fatalBody).map(({atMs}) => atMs).toSorted((a, b) => a - b);
	const refusedFromMs = Math.max(faultsEndMs, receivedAtMs.at(crashesUntilRefused - 1) ?? Number.POSITIVE_INFINITY) + propagationMs;
	const lateCount = receivedAtMs.filter(atMs => atMs > refusedFromMs).length;
	return lateCount > 0 ? [`the request that crashes replicas was sent to ${lateCount} more replicas after it should have been refused, ${receivedAtMs.length} in all`] : [];
}

/** Checks that the limited replica gets some requests, but no more than the limit allows, once every daemon knows the limit. */
export function findLimitViolations({replica, sinceMs}: LimitedReplica): string[] {
	const receivedAtMs = replica.received.map(({atMs}) => atMs).filter(atMs => atMs > sinceMs + propagationMs);
	const maxInWindow = Math.max(0, ...receivedAtMs.map(startMs => receivedAtMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length));
	return maxInWindow > maxRequestsInWindow || maxInWindow === 0 ? [`replica ${replica.id} with a limit of ${statedLimitPerSecond} requests per second got ${maxInWindow} requests in ${windowMs} ms`] : [];
}

/** The cooldown that a replica asks for in its refusals, in milliseconds; the time after which it counts, and the requests that a daemon may send meanwhile, as the operators set them. */
export const cooldownMs = 1500;
const cooldownToleranceMs = 500;
const maxCooldownRequests = 2;
/** Tolerance for differences between the clocks of processes on one machine, in milliseconds. */
const clockToleranceMs = 50;

/** Checks that no daemon sends new requests to a replica once it has forwarded an answer that announced its leaving, and few to one that asked it for a cooldown. */
export function findStatementViolations(cluster: SoakCluster, records: RequestRecord[]): string[] {
	const recordById = new Map(records.map(record => [record.id, record]));
	return cluster.replicas.flatMap(replica => cluster.daemons.flatMap(daemon => {
		const received = replica.received.flatMap(({id, atMs, isLeaving, cooldownMs: askedMs}) => {
			const record = recordById.get(id);
			return record?.host === daemon.host
				? [{
					record, atMs, isLeaving, askedMs,
				}]
				: [];
		});
		const toldAtMs = Math.min(...received.filter(({isLeaving, record}) => isLeaving && record.isComplete && record.replicaSeal === replica.seal).map(({record}) => record.endedAtMs));
		const late = received.filter(({record}) => record.sentAtMs > toldAtMs + cluster.bounds.drain_ms + clockToleranceMs && !isDisturbed(daemon, toldAtMs, record.sentAtMs));
		const during = received.filter(({askedMs}) => askedMs > 0).map(({atMs: askedAtMs, askedMs}) => {
			const endMs = askedAtMs + askedMs - clockToleranceMs;
			return isDisturbed(daemon, askedAtMs, endMs) ? 0 : received.filter(({atMs}) => atMs > askedAtMs + cooldownToleranceMs && atMs < endMs).length;
		});
		return [
			...(late.length > 0 ? [`${daemon.host} sent ${late.length} requests to replica ${replica.id} after it had forwarded that it leaves`] : []),
			...(Math.max(0, ...during) > maxCooldownRequests ? [`${daemon.host} sent ${Math.max(...during)} requests to replica ${replica.id} in its cooldown`] : []),
		];
	}));
}

/** Whether a daemon was started, or got a signal, in a span of time. */
function isDisturbed({disturbedAtMs}: SoakDaemon, fromMs: number, toMs: number): boolean {
	return disturbedAtMs.some(atMs => atMs >= fromMs && atMs <= toMs);
}
