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
			name: 'uses only the cheapest failure domain when no replica must survive a reclaim', need: {replicas: 4, surviving: 0}, offers: cheap, expected: {d: 4}, cost: 4,
		},
		{
			name: 'gives no failure domain more VMs than may be lost', need: {replicas: 8, surviving: 6}, offers: cheap, expected: {
				a: 2, b: 2, c: 2, d: 2,
			}, cost: 20,
		},
		{
			name: 'adds reclaimable VMs rather than an on-demand VM that costs more', need: {replicas: 4, surviving: 4}, offers: cheap, expected: {
				a: 2, b: 2, d: 2,
			}, cost: 12,
		},
		{
			name: 'adds an on-demand VM to a single failure domain', need: {replicas: 2, surviving: 1}, offers: [reclaimable('a', 1)], expected: {a: 1, 'on-demand': 1}, cost: 11,
		},
		{
			name: 'gives a limited offer no more VMs than its limit', need: {replicas: 4, surviving: 2}, offers: [reclaimable('a', 1, 0), reclaimable('b', 2), reclaimable('c', 3)],
			expected: {b: 2, c: 2},
			cost: 10,
		},
		{
			name: 'plans no VM when none is needed', need: {replicas: 0, surviving: 0}, offers: cheap, expected: {}, cost: 0,
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

	it('plans all available VMs when the need cannot be met', () => {
		const plan = planFleet({replicas: 4, surviving: 2}, [reclaimable('a', 1, 1), reclaimable('b', 1, 1)]);
		expect([...plan.values()]).toEqual([1, 1]);
	});
});
