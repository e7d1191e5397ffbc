/** Replicas in trouble of their own: a request that crashes them, and limits that they state. */
import {type ReplicaStandin} from '../platform/__tests__/standins.js';
import {fatalBody, type SoakWorld} from './world.js';

/** Ends of replicas after which the request that crashes them is known. */
const enoughCrashes = 3;
/** Time without faults after which what is known of a request or of a limit holds for every daemon, in milliseconds. */
const contactMs = 3000;
/** The limit that a replica states, in requests a second, and what the operators allow beyond it in a span. */
const statedPerSecond = 1;
const spanMs = 4000;
const allowedInSpan = (statedPerSecond * 1.5 * spanMs / 1000) + 5;
/** Time for a whole span beyond the usual end of a run, in milliseconds. */
export const limitedMs = contactMs + spanMs;

/** A replica that states a limit, and since when. */
export type LimitedReplica = {replica: ReplicaStandin; sinceMs: number};

/** The newest replica, which neither crashed nor leaves, states a limit from now on. */
export function stateLimit({replicas}: SoakWorld): LimitedReplica {
	const replica = replicas.at(-1)!;
	replica.statedLimit = String(statedPerSecond);
	return {replica, sinceMs: Date.now()};
}

/** No replica gets the request that crashed three once every daemon is calm. */
export function judgeCrashes({replicas}: SoakWorld, faultsEndMs: number): string[] {
	const times = replicas.flatMap(replica => replica.received).filter(({body}) => body === fatalBody).map(({atMs}) => atMs).toSorted((a, b) => a - b);
	const knownMs = Math.max(faultsEndMs, times.at(enoughCrashes - 1) ?? Number.POSITIVE_INFINITY) + contactMs;
	const late = times.filter(atMs => atMs > knownMs).length;
	return late > 0 ? [`the request that crashes replicas reached ${late} more of them, ${times.length} in all`] : [];
}

/** A limited replica gets no more than is allowed once every daemon is calm, and not nothing. */
export function judgeLimit({replica, sinceMs}: LimitedReplica): string[] {
	const times = replica.received.map(({atMs}) => atMs).filter(atMs => atMs > sinceMs + contactMs);
	const most = Math.max(0, ...times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + spanMs).length));
	return most > allowedInSpan || most === 0 ? [`replica ${replica.id} with a limit of ${statedPerSecond} a second got ${most} requests in ${spanMs} ms`] : [];
}
