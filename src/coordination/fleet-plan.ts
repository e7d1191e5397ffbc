/**
 * Plans how many VMs of which kind one model should have: the cheapest mix of reclaimable and
 * on-demand VMs that serves the demand and has enough left after any one failure domain loses
 * all its reclaimable VMs.
 */
import {type Price} from '../protocol/cloud-api.js';

/** A kind of VM that can be started, in any number unless `limit` is given. */
export type Offer = Price & {limit?: number};

/** The number of replicas that one model needs. */
export type FleetNeed = {
	/** Replicas that serve the demand within the latency target. */
	replicas: number;
	/** Replicas that must be left after the loss of any one failure domain's reclaimable VMs. */
	surviving: number;
};

/** The number of VMs to have of each offer; none of offers that it does not list. */
export type FleetPlan = Map<Offer, number>;

/** Returns the cost of a plan per hour. */
export function planCost(plan: FleetPlan): number {
	let cost = 0;
	for (const [offer, count] of plan) {
		cost += offer.perHour * count;
	}

	return cost;
}

/**
 * Plans one model's VMs. For each number of on-demand VMs, it fills the cheapest failure
 * domains with reclaimable VMs, each up to the number whose loss the others can make up for.
 *
 * @param offers The offers that are available now.
 * @returns The cheapest plan that meets the need, or as many VMs as are available when none does.
 */
export function planFleet(need: FleetNeed, offers: Offer[]): FleetPlan {
	const byPrice = offers.toSorted((a, b) => a.perHour - b.perHour);
	const reclaimable = byPrice.filter(offer => offer.reclaimable);
	const onDemand = byPrice.filter(offer => !offer.reclaimable);
	let best: FleetPlan | undefined;
	for (let onDemandCount = 0; onDemandCount <= Math.max(need.replicas, need.surviving); onDemandCount++) {
		const plan = spread(onDemandCount, onDemand);
		const isFilled = countOf(plan) === onDemandCount && addReclaimable(plan, need, reclaimable);
		if (isFilled && (!best || planCost(plan) < planCost(best))) {
			best = plan;
		}
	}

	return best ?? spread(Math.max(need.replicas, need.surviving), byPrice);
}

/** Adds the fewest reclaimable VMs that meet the need; returns false when no number does. */
function addReclaimable(plan: FleetPlan, need: FleetNeed, offers: Offer[]): boolean {
	const onDemandCount = countOf(plan);
	const minTotal = Math.max(0, need.replicas - onDemandCount);
	const maxTotal = minTotal + (2 * need.surviving);
	for (let total = minTotal; total <= maxTotal; total++) {
		// The loss of the failure domain with the most VMs must leave `surviving`.
		const maxPerDomain = Math.max(0, total + onDemandCount - need.surviving);
		const room = (offer: Offer) => Math.min(maxPerDomain, offer.limit ?? maxPerDomain);
		const isEnoughWithoutAny = total === 0 && onDemandCount >= need.surviving;
		if (isEnoughWithoutAny || (total > 0 && sumOf(offers.map(offer => room(offer))) >= total)) {
			fillInOrder(plan, total, offers, room);
			return true;
		}
	}

	return false;
}

function fillInOrder(plan: FleetPlan, total: number, offers: Offer[], room: (offer: Offer) => number): void {
	let left = total;
	for (const offer of offers) {
		const count = Math.min(room(offer), left);
		if (count > 0) {
			plan.set(offer, count);
		}

		left -= count;
	}
}

/** Plans a number of VMs from the cheapest offers, evenly over offers at the same price. */
function spread(count: number, offers: Offer[]): FleetPlan {
	const plan: FleetPlan = new Map();
	let left = count;
	for (const price of new Set(offers.map(offer => offer.perHour))) {
		// Offers with the lowest limits come first, so that the others take what these cannot.
		const equalOffers = offers.filter(offer => offer.perHour === price).toSorted((a, b) => (a.limit ?? count) - (b.limit ?? count));
		for (const [index, offer] of equalOffers.entries()) {
			const share = Math.ceil(left / (equalOffers.length - index));
			const taken = Math.min(share, offer.limit ?? share);
			left -= taken;
			if (taken > 0) {
				plan.set(offer, taken);
			}
		}
	}

	return plan;
}

function countOf(plan: FleetPlan): number {
	return sumOf([...plan.values()]);
}

function sumOf(numbers: number[]): number {
	let sum = 0;
	for (const number of numbers) {
		sum += number;
	}

	return sum;
}
