import {describe, expect, it} from 'vitest';
import {DutyResult} from '../../protocol/platform.js';
import {type Scaling} from '../../protocol/serving.js';
import {isOrderDue} from '../duty-runner.js';
import {targetInFlight, PoolDemand} from '../pool-demand.js';
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

/** Returns domain states with the given numbers of serving and expected reclaimable VMs and ordered on-demand VMs. */
function states(serving: Record<string, number>, expected: Record<string, number> = serving, onDemand: Record<string, number> = {}): Map<string, DomainState> {
	return new Map(['a', 'b', 'c', 'd'].map(name => [name, {serving: serving[name] ?? 0, expected: expected[name] ?? 0, onDemand: onDemand[name] ?? 0}]));
}

describe('planPool', () => {
	it.each([
		{
			name: 'plans no on-demand VM while all reclaimable VMs serve', states: states({
				a: 2, b: 2, c: 2, d: 2,
			}), onDemand: 0,
		},
		{name: 'plans for the loss of a third failure domain after two are lost', states: states({a: 2, b: 2}), onDemand: 1},
		{name: 'replaces the VMs of three lost failure domains by on-demand VMs', states: states({a: 2}), onDemand: 3},
		{name: 'meets the demand with on-demand VMs when no reclaimable VM is available', states: states({}), onDemand: 4},
		{
			name: 'waits for reclaimable VMs that are booting', states: states({}, {
				a: 2, b: 2, c: 2, d: 2,
			}), onDemand: 0,
		},
		{
			name: 'keeps on-demand VMs until the reclaimable VMs that replace them serve', states: states({}, {
				a: 2, b: 2, c: 2, d: 2,
			}, {b: 2, d: 2}), onDemand: 4,
		},
		{
			name: 'removes on-demand VMs when the reclaimable VMs that replace them serve', states: states({
				a: 2, b: 2, c: 2, d: 2,
			}, undefined, {b: 2, d: 2}), onDemand: 0,
		},
	])('$name', ({states, onDemand}) => {
		const pools = planPool(scaling, need, states);
		expect(sum(pools.map(pool => pool.onDemand))).toBe(onDemand);
		expect(pools.every(pool => pool.onDemand + pool.reclaimable >= scaling.min)).toBe(true);
	});

	it('keeps each failure domain within its maximum and lists the cheapest first', () => {
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

describe('PoolDemand without traffic so far', () => {
	it.each([
		{name: 'keeps a large pool', present: 90, expected: 90},
		{name: 'keeps a small pool', present: 8, expected: 8},
	])('$name', ({present, expected}) => {
		const demand = new PoolDemand(present, 0);
		demand.note(0, 20_000);
		const {replicas, spare} = demand.need();
		expect(replicas + spare).toBeGreaterThanOrEqual(expected - 1);
		expect(replicas + spare).toBeLessThanOrEqual(expected);
	});

	it('follows the traffic once there is some', () => {
		const demand = new PoolDemand(90, 0);
		demand.note(0, 15_000);
		demand.note(20, 16_000);
		demand.note(20, 60_000);
		expect(demand.need().replicas).toBeLessThan(25);
	});

	it('plans enough spare replicas for the loss of one failure domain of four', () => {
		const demand = new PoolDemand(0, 0);
		demand.note(40, 0);
		const {replicas, spare} = demand.need();
		expect((replicas + spare) * 0.75).toBeGreaterThanOrEqual(replicas);
	});

	it.each([{slots: 64, expected: 12}, {slots: 16, expected: 8}])('plans $expected requests in flight for a replica with $slots slots', ({slots, expected}) => {
		expect(targetInFlight(slots)).toBe(expected);
	});
});

describe('isOrderDue', () => {
	const at = {bootMs: 4000, nowMs: 10_000, token: 5};
	it.each([
		{
			name: 'before the first order', wanted: 2, present: 2, last: undefined, expected: true,
		},
		{
			name: 'when the pool is as ordered', wanted: 2, present: 2, last: {
				count: 2, atMs: 0, result: DutyResult.Accepted, token: 5,
			}, expected: false,
		},
		{
			name: 'when another count is wanted', wanted: 3, present: 2, last: {
				count: 2, atMs: 9000, result: DutyResult.Accepted, token: 5,
			}, expected: true,
		},
		{
			name: 'while the ordered VMs may still be booting', wanted: 2, present: 0, last: {
				count: 2, atMs: 6000, result: DutyResult.Accepted, token: 5,
			}, expected: false,
		},
		{
			name: 'when the ordered VMs did not start in time', wanted: 2, present: 0, last: {
				count: 2, atMs: 1000, result: DutyResult.Accepted, token: 5,
			}, expected: true,
		},
		{
			name: 'just after a refusal', wanted: 2, present: 0, last: {
				count: 2, atMs: 9000, result: DutyResult.Refused, token: 5,
			}, expected: false,
		},
		{
			name: 'some time after a refusal', wanted: 2, present: 0, last: {
				count: 2, atMs: 5000, result: DutyResult.Refused, token: 5,
			}, expected: true,
		},
		{
			name: 'some time after an order without an answer', wanted: 2, present: 2, last: {
				count: 2, atMs: 5000, result: DutyResult.Unknown, token: 5,
			}, expected: true,
		},
	])('is $expected $name', ({wanted, present, last, expected}) => {
		expect(isOrderDue(wanted, present, last, at)).toBe(expected);
	});
});
