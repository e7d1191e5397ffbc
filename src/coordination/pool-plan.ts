/**
 * Plans how many VMs of which kind a service should have in each failure domain. The plan must
 * withstand waves of reclaims: a failure domain loses all its reclaimable VMs at a few
 * seconds' notice, the next one follows within seconds, and no new ones are available anywhere
 * for many seconds. So reclaimable VMs are spread over all failure domains, and on-demand VMs
 * replace those that are not available, before the loss of one more failure domain would leave
 * too few. On-demand VMs are removed only when the reclaimable VMs that replace them serve.
 */
import {type Scaling} from '../protocol/serving.js';

/** The VMs planned for one failure domain. */
export type DomainPool = {
	failureDomain: string;
	onDemand: number;
	reclaimable: number;
};

/** What is known of one failure domain's VMs. */
export type DomainState = {
	/** Reclaimable VMs that serve. */
	serving: number;
	/** Reclaimable VMs that serve, or that were ordered and may still be booting. */
	expected: number;
	/** On-demand VMs in the last order. */
	onDemand: number;
};

/** What a plan is made for. */
export type PoolNeed = {
	/** Replicas that serve the demand within the latency target. */
	replicas: number;
	/** Replicas that must be left after any one failure domain loses its reclaimable VMs. */
	surviving: number;
	/** Reclaimable VMs wanted beyond the replicas needed, over all failure domains. */
	spare: number;
};

type PlannedDomain = DomainPool & {state: DomainState};

const unknownState: DomainState = {serving: 0, expected: 0, onDemand: 0};

/** Plans a service's VMs in all failure domains, the cheapest first. */
export function planPool(scaling: Scaling, need: PoolNeed, states: ReadonlyMap<string, DomainState>): DomainPool[] {
	const isReclaimable = scaling.reclaimablePriceRatio !== undefined;
	const domainCount = scaling.prices.size;
	const reclaimablePerDomain = isReclaimable ? Math.min(scaling.max, Math.max(scaling.min, Math.ceil((need.replicas + need.spare) / domainCount))) : 0;
	const domains: PlannedDomain[] = [...scaling.prices]
		.toSorted((a, b) => a[1] - b[1])
		.map(([failureDomain]) => ({
			failureDomain, reclaimable: reclaimablePerDomain, onDemand: states.get(failureDomain)?.onDemand ?? 0, state: states.get(failureDomain) ?? unknownState,
		}));
	const orderedOnDemand = sumOf(domains.map(domain => domain.onDemand));
	const minOnDemand = onDemandNeeded(need, domains.map(domain => Math.min(reclaimablePerDomain, domain.state.expected)));
	const maxOnDemand = Math.max(minOnDemand, onDemandNeeded(need, domains.map(domain => Math.min(reclaimablePerDomain, domain.state.serving))));
	adjustOnDemand(domains, Math.min(Math.max(orderedOnDemand, minOnDemand), maxOnDemand) - orderedOnDemand, scaling);
	return domains.map(({failureDomain, onDemand, reclaimable}) => ({
		failureDomain,
		onDemand: isReclaimable ? onDemand : Math.max(onDemand, scaling.min),
		// The maximum of a failure domain holds for both kinds together.
		reclaimable: Math.min(reclaimable, scaling.max - onDemand),
	}));
}

/** Returns the number of on-demand VMs needed in addition to the given reclaimable VMs of each failure domain. */
function onDemandNeeded(need: PoolNeed, reclaimable: number[]): number {
	const total = sumOf(reclaimable);
	return Math.max(need.replicas - total, need.surviving - (total - Math.max(0, ...reclaimable)), 0);
}

/** Adds on-demand VMs in the failure domains with room, those with the fewest first, or removes the most expensive ones. */
function adjustOnDemand(domains: PlannedDomain[], change: number, scaling: Scaling): void {
	for (let remaining = change; remaining > 0; remaining--) {
		const open = domains.filter(domain => domain.onDemand + Math.min(domain.reclaimable, domain.state.expected) < scaling.max);
		if (open.length === 0) {
			return;
		}

		// An even spread keeps the loss small when a whole failure domain fails.
		open.toSorted((a, b) => a.onDemand - b.onDemand)[0].onDemand++;
	}

	for (let remaining = change; remaining < 0; remaining++) {
		const last = domains.findLast(domain => domain.onDemand > 0);
		if (last) {
			last.onDemand--;
		}
	}
}

function sumOf(numbers: number[]): number {
	let sum = 0;
	for (const number of numbers) {
		sum += number;
	}

	return sum;
}
