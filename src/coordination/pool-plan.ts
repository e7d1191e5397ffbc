/**
 * How many VMs of which kind a service should have in each failure domain. It answers
 * reclaim waves: all reclaimable VMs of a failure domain go at a few seconds' notice, the
 * next failure domain follows within seconds, and none may be had anywhere for many
 * seconds. So reclaimable VMs are spread over all failure domains, and on-demand VMs
 * stand in for those that cannot be had, before the loss of one more failure domain would
 * leave too few.
 */
import {type Scaling} from '../protocol/serving.js';

/** What a service has, or will have once an order that was taken is carried out. */
export type DomainPool = {
	failureDomain: string;
	onDemand: number;
	reclaimable: number;
};

/** What a plan is made for. */
export type PoolNeed = {
	/** Replicas that serve the demand within the latency target. */
	replicas: number;
	/** Replicas that must be left when any one failure domain loses its reclaimable VMs. */
	surviving: number;
	/** Reclaimable VMs wanted beyond the replicas needed, over all failure domains. */
	spare: number;
};

/**
 * Plans a service's VMs.
 *
 * @param expected Reclaimable VMs that each failure domain can be counted on to have soon.
 */
export function planPool(scaling: Scaling, need: PoolNeed, expected: ReadonlyMap<string, number>): DomainPool[] {
	const domains = [...scaling.prices].toSorted((a, b) => a[1] - b[1]).map(([failureDomain]) => failureDomain);
	const pools = domains.map(failureDomain => ({failureDomain, onDemand: 0, reclaimable: 0}));
	if (scaling.reclaimablePriceRatio === undefined) {
		fillOnDemand(pools, need.replicas, scaling, () => 0);
		return pools;
	}

	const perDomain = Math.min(scaling.max, Math.max(scaling.min, Math.ceil((need.replicas + need.spare) / domains.length)));
	for (const pool of pools) {
		pool.reclaimable = perDomain;
	}

	const counted = (pool: DomainPool) => Math.min(pool.reclaimable, expected.get(pool.failureDomain) ?? 0);
	let total = 0;
	let fullest = 0;
	for (const pool of pools) {
		total += counted(pool);
		fullest = Math.max(fullest, counted(pool));
	}

	const lacking = Math.max(need.replicas - total, need.surviving - (total - fullest), 0);
	fillOnDemand(pools, lacking, scaling, counted);
	for (const pool of pools) {
		// A failure domain's limit holds for both kinds together.
		pool.reclaimable = Math.min(pool.reclaimable, scaling.max - pool.onDemand);
	}

	return pools;
}

/** Spreads on-demand VMs over the failure domains, the cheapest first, where there is room beside the reclaimable ones. */
function fillOnDemand(pools: DomainPool[], count: number, scaling: Scaling, reclaimable: (pool: DomainPool) => number): void {
	for (let left = count; left > 0;) {
		const open = pools.filter(pool => pool.onDemand + reclaimable(pool) < scaling.max);
		if (open.length === 0) {
			return;
		}

		for (const pool of open.slice(0, left)) {
			pool.onDemand++;
			left--;
		}
	}
}
