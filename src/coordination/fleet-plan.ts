/**
 * How many VMs of which kind one model should have: the cheapest mix of reclaimable and
 * on-demand VMs that serves the demand, and that still has enough left after any one
 * failure domain loses all its reclaimable VMs.
 */
import {type Price} from '../protocol/cloud-api.js';

/** A kind of VM that can be bought, without limit unless one is given. */
export type Offer = Price & {limit?: number};

/** What one model needs. */
export type FleetNeed = {
	/** Replicas that serve the demand within the latency target. */
	replicas: number;
	/** Replicas that must be left after the loss of any one failure domain's reclaimable VMs. */
	surviving: number;
};

/** How many VMs of each offer to have; offers not named get none. */
export type FleetPlan = Map<Offer, number>;

/** What a plan costs per hour. */
export function planCost(plan: FleetPlan): number {
	let cost = 0;
	for (const [offer, count] of plan) {
		cost += offer.perHour * count;
	}

	return cost;
}

/**
 * Plans one model's VMs. For each number of on-demand VMs, reclaimable VMs fill the
 * cheapest failure domains, none beyond the share whose loss the rest can bear.
 *
 * @param offers The offers that may be bought now.
 * @returns The cheapest plan that meets the need; otherwise as many VMs as can be had.
 */
export function planFleet(need: FleetNeed, offers: Offer[]): FleetPlan {
	const byPrice = offers.toSorted((a, b) => a.perHour - b.perHour);
	const reclaimable = byPrice.filter(offer => offer.reclaimable);
	const onDemand = byPrice.filter(offer => !offer.reclaimable);
	let best: FleetPlan | undefined;
	for (let bought = 0; bought <= Math.max(need.replicas, need.surviving); bought++) {
		const plan = spread(bought, onDemand);
		const isFilled = countOf(plan) === bought && addReclaimable(plan, need, reclaimable);
		if (isFilled && (!best || planCost(plan) < planCost(best))) {
			best = plan;
		}
	}

	return best ?? spread(Math.max(need.replicas, need.surviving), byPrice);
}

/** Adds the fewest reclaimable VMs that meet the need; false when none suffice. */
function addReclaimable(plan: FleetPlan, need: FleetNeed, offers: Offer[]): boolean {
	const onDemand = countOf(plan);
	const least = Math.max(0, need.replicas - onDemand);
	const most = least + (2 * need.surviving);
	for (let total = least; total <= most; total++) {
		// Losing the fullest domain must leave `surviving`.
		const perDomain = Math.max(0, total + onDemand - need.surviving);
		const room = (offer: Offer) => Math.min(perDomain, offer.limit ?? perDomain);
		const isEnoughWithoutAny = total === 0 && onDemand >= need.surviving;
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

/** Spreads a number of VMs: lowest price first, evenly over the offers that ask the same. */
function spread(count: number, offers: Offer[]): FleetPlan {
	const plan: FleetPlan = new Map();
	let left = count;
	for (const price of new Set(offers.map(offer => offer.perHour))) {
		// The most limited first, so that what they cannot take falls to the others.
		const peers = offers.filter(offer => offer.perHour === price).toSorted((a, b) => (a.limit ?? count) - (b.limit ?? count));
		for (const [index, offer] of peers.entries()) {
			const share = Math.ceil(left / (peers.length - index));
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
