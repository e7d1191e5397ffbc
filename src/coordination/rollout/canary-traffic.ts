/**
 * Decides which requests test a new version and on which backend servers. The bound on the
 * share holds over all daemons together without any exchange between them: each exposes the
 * same share of its own requests, so restarts, partitions and new daemons change nothing.
 *
 * The share is kept for each route, so that a version that is bad on one route only is found.
 * It goes to few backend servers, so that these see the load that all of them would see.
 */
import {createHash} from 'node:crypto';
import {type Backend} from '../../protocol/serving.js';

/** Share of the operators' bound that is used; the rest covers chance, since many daemons draw few requests each. */
const usedShare = 0.8;
/** Fewest backend servers that test a version: the fault of a single one must not look like the version's. */
const minCanaries = 2;

/** Draws the requests that test a new version, at an even pace for each route. */
export class CanaryTraffic {
	private readonly creditByRoute = new Map<string, number>();

	/** @param random Returns a uniform random number from 0 to 1; daemons begin at different points, so that they don't expose their first requests together. */
	constructor(private readonly random: () => number) {}

	/** Whether the next request of a route tests the new version. */
	draw(route: string, maxShare: number): boolean {
		const credit = (this.creditByRoute.get(route) ?? this.random()) + (maxShare * usedShare);
		const isDrawn = credit >= 1;
		this.creditByRoute.set(route, isDrawn ? credit - 1 : credit);
		return isDrawn;
	}
}

/** Selects the backend servers that test a version, the same ones at all daemons, over as many failure domains as possible. */
export function selectCanaries(orderId: number, candidates: Backend[], maxShare: number): Backend[] {
	const count = Math.max(minCanaries, Math.ceil(candidates.length * maxShare * usedShare));
	const ranked = candidates
		.map(backend => ({backend, rank: createHash('md5').update(`${orderId}/${backend.id}`).digest().readUInt32BE(0)}))
		.toSorted((a, b) => a.rank - b.rank)
		.map(({backend}) => backend);
	const canaries: Backend[] = [];
	while (canaries.length < Math.min(count, ranked.length)) {
		const usedDomains = canaries.map(({failureDomain}) => failureDomain);
		const remaining = ranked.filter(backend => !canaries.includes(backend));
		const timesUsed = ({failureDomain}: Backend) => usedDomains.filter(domain => domain === failureDomain).length;
		canaries.push(remaining.toSorted((a, b) => timesUsed(a) - timesUsed(b))[0]);
	}

	return canaries;
}
