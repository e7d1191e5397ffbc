/** Guards against small requests that are refused for large ones, and against a part of the cost that is missed where requests differ in cost. */
import {describe, expect, it} from 'vitest';
import {CostMix} from '../cost-mix.js';

const costs = [200, 1100, 2400, 12_000];

function mixOf(requested: number[], rounds = 50): CostMix {
	const mix = new CostMix();
	for (let round = 0; round < rounds; round++) {
		for (const cost of requested) {
			mix.add(cost);
		}
	}

	return mix;
}

describe('CostMix', () => {
	it.each([0, 0.05, 0.2, 0.5, 0.9, 1, 3])('admits %d of the cost, small requests first', part => {
		const mix = mixOf(costs);
		const shares = costs.map(cost => mix.shareOf(cost, part));
		let admitted = 0;
		let total = 0;
		for (const [index, cost] of costs.entries()) {
			admitted += cost * shares[index];
			total += cost;
		}

		// The latest requests weigh most, so the mix is not quite even.
		expect(admitted / total).toBeGreaterThan(Math.min(1, part) - 0.03);
		expect(admitted / total).toBeLessThan(Math.min(1, part) + 0.03);
		expect(shares).toEqual(shares.toSorted((a, b) => b - a));
	});

	it.each([
		{name: 'requests of one cost', requested: [9000], cost: 9000},
		{name: 'a single request', requested: [200], cost: 200},
		{name: 'requests of cost 1', requested: [1], cost: 1},
	])('admits the same part of $name', ({requested, cost}) => {
		expect(mixOf(requested).shareOf(cost, 0.3)).toBeCloseTo(0.3);
	});

	it.each([
		{name: 'without any request', requested: []},
		{name: 'of requests that cost nothing', requested: [0]},
	])('returns a share from 0 to 1 $name', ({requested}) => {
		const share = mixOf(requested).shareOf(0, 0.3);
		expect(share).toBeGreaterThanOrEqual(0);
		expect(share).toBeLessThanOrEqual(1);
	});

	it('forgets costs that are no longer requested, also after its weights were scaled down', () => {
		const mix = mixOf([12_000], 3000);
		for (let index = 0; index < 3000; index++) {
			mix.add(200);
		}

		expect(mix.shareOf(200, 0.3)).toBeCloseTo(0.3);
	});
});
