import {describe, expect, it} from 'vitest';
import {type Offer, planCost, planFleet} from '../fleet-plan.js';

const domains = ['a', 'b', 'c', 'd'];
const reclaimable = (failureDomain: string, perHour: number, limit?: number): Offer => ({
	failureDomain, machineClass: 'small', reclaimable: true, perHour, limit,
});
const onDemand: Offer[] = domains.map(failureDomain => ({
	failureDomain, machineClass: 'small', reclaimable: false, perHour: 10,
}));
const cheap = [reclaimable('a', 3), reclaimable('b', 2), reclaimable('c', 4), reclaimable('d', 1)];

describe('planFleet', () => {
	it.each([
		{
			name: 'the cheapest domain alone when nothing must survive', need: {replicas: 4, surviving: 0}, offers: cheap, expected: {d: 4}, cost: 4,
		},
		{
			name: 'no domain holds more than the rest can bear to lose', need: {replicas: 8, surviving: 6}, offers: cheap, expected: {
				a: 2, b: 2, c: 2, d: 2,
			}, cost: 20,
		},
		{
			name: 'more reclaimable VMs rather than an on-demand one that costs more', need: {replicas: 4, surviving: 4}, offers: cheap, expected: {
				a: 2, b: 2, d: 2,
			}, cost: 12,
		},
		{
			name: 'on-demand VMs when one domain must not carry it alone', need: {replicas: 2, surviving: 1}, offers: [reclaimable('a', 1)], expected: {a: 1, 'on-demand': 1}, cost: 11,
		},
		{
			name: 'a limited domain gets no more than its limit', need: {replicas: 4, surviving: 2}, offers: [reclaimable('a', 1, 0), reclaimable('b', 2), reclaimable('c', 3)],
			expected: {b: 2, c: 2},
			cost: 10,
		},
		{
			name: 'nothing needed, nothing bought', need: {replicas: 0, surviving: 0}, offers: cheap, expected: {}, cost: 0,
		},
	])('$name', ({need, offers, expected, cost}) => {
		const plan = planFleet(need, [...offers, ...onDemand]);
		const counts: Record<string, number> = {};
		for (const [offer, count] of plan) {
			const key = offer.reclaimable ? offer.failureDomain : 'on-demand';
			counts[key] = (counts[key] ?? 0) + count;
		}

		expect(counts).toEqual(expected);
		expect(planCost(plan)).toBe(cost);
	});

	it('takes what there is when the need cannot be met', () => {
		const plan = planFleet({replicas: 4, surviving: 2}, [reclaimable('a', 1, 1), reclaimable('b', 1, 1)]);
		expect([...plan.values()]).toEqual([1, 1]);
	});
});
