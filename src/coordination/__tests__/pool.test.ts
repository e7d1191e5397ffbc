import {describe, expect, it} from 'vitest';
import {DutyResult} from '../../protocol/platform.js';
import {type Scaling} from '../../protocol/serving.js';
import {isOrderDue} from '../duty-runner.js';
import {carriedInFlight, PoolDemand} from '../pool-demand.js';
import {type DomainState, planPool} from '../pool-plan.js';

const scaling: Scaling = {
	min: 1, max: 6, bootMs: 4000, reclaimablePriceRatio: 0.18, prices: new Map([['a', 1], ['b', 0.8], ['c', 1.25], ['d', 0.9]]),
};
const need = {replicas: 4, surviving: 3, spare: 4};
const sum = (numbers: number[]) => {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
};

/** States in which reclaimable VMs serve as given, and on-demand VMs were ordered. */
function states(serving: Record<string, number>, expected: Record<string, number> = serving, onDemand: Record<string, number> = {}): Map<string, DomainState> {
	return new Map(['a', 'b', 'c', 'd'].map(name => [name, {serving: serving[name] ?? 0, expected: expected[name] ?? 0, onDemand: onDemand[name] ?? 0}]));
}

describe('planPool', () => {
	it.each([
		{
			name: 'a calm pool has no on-demand VM', states: states({
				a: 2, b: 2, c: 2, d: 2,
			}), onDemand: 0,
		},
		{name: 'two failure domains lost: one more must not take too many', states: states({a: 2, b: 2}), onDemand: 1},
		{name: 'three lost: on-demand VMs stand in', states: states({a: 2}), onDemand: 3},
		{name: 'none to be had: the demand is met on demand', states: states({}), onDemand: 4},
		{
			name: 'promised ones are waited for', states: states({}, {
				a: 2, b: 2, c: 2, d: 2,
			}), onDemand: 0,
		},
		{
			name: 'stand-ins stay until what replaces them serves', states: states({}, {
				a: 2, b: 2, c: 2, d: 2,
			}, {b: 2, d: 2}), onDemand: 4,
		},
		{
			name: 'stand-ins go when what replaces them serves', states: states({
				a: 2, b: 2, c: 2, d: 2,
			}, undefined, {b: 2, d: 2}), onDemand: 0,
		},
	])('$name', ({states, onDemand}) => {
		const pools = planPool(scaling, need, states);
		expect(sum(pools.map(pool => pool.onDemand))).toBe(onDemand);
		expect(pools.every(pool => pool.onDemand + pool.reclaimable >= scaling.min)).toBe(true);
	});

	it('keeps each failure domain within its limit, cheapest first', () => {
		const pools = planPool({...scaling, max: 2}, {replicas: 7, surviving: 3, spare: 0}, states({}));
		expect(pools.map(pool => pool.onDemand)).toEqual([2, 2, 2, 1]);
		expect(pools.every(pool => pool.onDemand + pool.reclaimable <= 2)).toBe(true);
		expect(pools[0].failureDomain).toBe('b');
	});
});

describe('PoolDemand', () => {
	it('follows a rise at once and a fall slowly', () => {
		const demand = new PoolDemand(0, 0);
		demand.note(10, 0);
		expect(demand.need().replicas).toBe(10);
		demand.note(0, 2000);
		expect(demand.need().replicas).toBeGreaterThan(7);
		demand.note(0, 60_000);
		expect(demand.need().replicas).toBe(3);
	});
});

describe('PoolDemand before it knows the traffic', () => {
	it.each([
		{name: 'keeps the pool it found', present: 90, expected: 90},
		{name: 'a small one too', present: 8, expected: 8},
	])('$name', ({present, expected}) => {
		const demand = new PoolDemand(present, 0);
		demand.note(0, 20_000);
		const {replicas, spare} = demand.need();
		expect(replicas + spare).toBeGreaterThanOrEqual(expected - 1);
		expect(replicas + spare).toBeLessThanOrEqual(expected);
	});

	it('follows the traffic once there is any', () => {
		const demand = new PoolDemand(90, 0);
		demand.note(0, 15_000);
		demand.note(20, 16_000);
		demand.note(20, 60_000);
		expect(demand.need().replicas).toBeLessThan(25);
	});

	it('has room for the loss of a failure domain of four', () => {
		const demand = new PoolDemand(0, 0);
		demand.note(40, 0);
		const {replicas, spare} = demand.need();
		expect((replicas + spare) * 0.75).toBeGreaterThanOrEqual(replicas);
	});

	it.each([{slots: 64, expected: 12}, {slots: 16, expected: 8}])('a replica of $slots slots carries $expected requests', ({slots, expected}) => {
		expect(carriedInFlight(slots)).toBe(expected);
	});
});

describe('isOrderDue', () => {
	const at = {bootMs: 4000, nowMs: 10_000, token: 5};
	it.each([
		{
			name: 'first order', wanted: 2, present: 2, last: undefined, expected: true,
		},
		{
			name: 'same count, pool as ordered', wanted: 2, present: 2, last: {
				count: 2, atMs: 0, result: DutyResult.Accepted, token: 5,
			}, expected: false,
		},
		{
			name: 'another count', wanted: 3, present: 2, last: {
				count: 2, atMs: 9000, result: DutyResult.Accepted, token: 5,
			}, expected: true,
		},
		{
			name: 'still booting', wanted: 2, present: 0, last: {
				count: 2, atMs: 6000, result: DutyResult.Accepted, token: 5,
			}, expected: false,
		},
		{
			name: 'never came', wanted: 2, present: 0, last: {
				count: 2, atMs: 1000, result: DutyResult.Accepted, token: 5,
			}, expected: true,
		},
		{
			name: 'just refused', wanted: 2, present: 0, last: {
				count: 2, atMs: 9000, result: DutyResult.Refused, token: 5,
			}, expected: false,
		},
		{
			name: 'refused a while ago', wanted: 2, present: 0, last: {
				count: 2, atMs: 5000, result: DutyResult.Refused, token: 5,
			}, expected: true,
		},
		{
			name: 'no answer a while ago', wanted: 2, present: 2, last: {
				count: 2, atMs: 5000, result: DutyResult.Unknown, token: 5,
			}, expected: true,
		},
	])('$name: $expected', ({wanted, present, last, expected}) => {
		expect(isOrderDue(wanted, present, last, at)).toBe(expected);
	});
});
