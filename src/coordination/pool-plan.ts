/**
 * How many VMs of which kind a service should have in each failure domain. It answers
 * reclaim waves: all reclaimable VMs of a failure domain go at a few seconds' notice, the
 * next failure domain follows within seconds, and none may be had anywhere for many
 * seconds. So reclaimable VMs are spread over all failure domains, and on-demand VMs
 * stand in for those that cannot be had, before the loss of one more failure domain would
 * leave too few. They are given up only when what replaces them serves.
 */
import {type Scaling} from '../protocol/serving.js';

/** VMs of one failure domain. */
export type DomainPool = {
	failureDomain: string;
	onDemand: number;
	reclaimable: number;
};

/** What is known of one failure domain's VMs. */
export type DomainState = {
	/** Reclaimable VMs that serve. */
	serving: number;
	/** Reclaimable VMs that serve or were promised and may still be booting. */
	expected: number;
	/** On-demand VMs ordered last. */
	onDemand: number;
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

type PlannedDomain = DomainPool & {state: DomainState};

const unknownState: DomainState = {serving: 0, expected: 0, onDemand: 0};

/** Plans a service's VMs. */
export function planPool(scaling: Scaling, need: PoolNeed, states: ReadonlyMap<string, DomainState>): DomainPool[] {
	const isReclaimable = scaling.reclaimablePriceRatio !== undefined;
	const count = scaling.prices.size;
	const perDomain = isReclaimable ? Math.min(scaling.max, Math.max(scaling.min, Math.ceil((need.replicas + need.spare) / count))) : 0;
	const domains: PlannedDomain[] = [...scaling.prices]
		.toSorted((a, b) => a[1] - b[1])
		.map(([failureDomain]) => ({
			failureDomain, reclaimable: perDomain, onDemand: states.get(failureDomain)?.onDemand ?? 0, state: states.get(failureDomain) ?? unknownState,
		}));
	const ordered = sumOf(domains.map(domain => domain.onDemand));
	const fewest = lacking(need, domains.map(domain => Math.min(perDomain, domain.state.expected)));
	const most = Math.max(fewest, lacking(need, domains.map(domain => Math.min(perDomain, domain.state.serving))));
	resize(domains, Math.min(Math.max(ordered, fewest), most) - ordered, scaling);
	return domains.map(({failureDomain, onDemand, reclaimable}) => ({
		failureDomain,
		onDemand: isReclaimable ? onDemand : Math.max(onDemand, scaling.min),
		// A failure domain's limit holds for both kinds together.
		reclaimable: Math.min(reclaimable, scaling.max - onDemand),
	}));
}

/** On-demand VMs needed beside the reclaimable ones of each failure domain. */
function lacking(need: PoolNeed, reclaimable: number[]): number {
	const total = sumOf(reclaimable);
	return Math.max(need.replicas - total, need.surviving - (total - Math.max(0, ...reclaimable)), 0);
}

/** Adds on-demand VMs in the cheapest failure domains with room, or gives up the dearest. */
function resize(domains: PlannedDomain[], change: number, scaling: Scaling): void {
	for (let left = change; left > 0; left--) {
		const open = domains.filter(domain => domain.onDemand + Math.min(domain.reclaimable, domain.state.expected) < scaling.max);
		if (open.length === 0) {
			return;
		}

		// Evenly, so that the loss of a whole failure domain takes few.
		open.toSorted((a, b) => a.onDemand - b.onDemand)[0].onDemand++;
	}

	for (let left = change; left < 0; left++) {
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
