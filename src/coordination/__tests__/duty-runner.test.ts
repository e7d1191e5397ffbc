import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../clock.js';
import {type Cloud, DutyResult, type PoolOrder} from '../../protocol/platform.js';
import {BackendState, type Service} from '../../protocol/serving.js';
import {BackendTable} from '../../state/backend-table.js';
import {RouteTable} from '../../state/route-table.js';
import {FakeStore} from '../../testing/fake-store.js';
import {DutyLease} from '../duty-lease.js';
import {DutyRunner, isListSettled} from '../duty-runner.js';
import {PoolDemand} from '../pool-demand.js';
import {UsageLedger} from '../usage-ledger.js';

const service: Service = {
	name: 's', engine: undefined, scaling: {
		min: 1, max: 64, bootMs: 4000, reclaimablePriceRatio: 0.18, prices: new Map([['fd-a', 1], ['fd-b', 1]]),
	},
};
const {signal} = new AbortController();

/** A holder of the duties whose list of backend servers has been followed for some time. */
async function createRunner() {
	const time = {ms: 100_000};
	const clock = new SteadyClock({monotonicMs: () => time.ms, wallMs: () => time.ms, uptimeMs: () => time.ms});
	const lease = new DutyLease(new FakeStore(), 'a', 3000, clock);
	await lease.step({rank: 0, hearsMost: true, startedAtMs: 0}, signal);
	const orders: PoolOrder[] = [];
	const cloud: Cloud = {
		reportUsage: async () => DutyResult.Accepted,
		async orderPool(holder, order) {
			orders.push(order);
			return DutyResult.Accepted;
		},
	};
	const backends = new BackendTable({drainMs: 2000});
	const routes = new RouteTable();
	routes.apply({
		version: 1, routes: [], services: [service], accounts: [], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	});
	let demand: PoolDemand | undefined;
	const state = {followedForMs: 0, unchangedForMs: 0};
	const runner = new DutyRunner({
		cloud,
		lease,
		usage: new UsageLedger('fd-a', 'a', 5000),
		routes,
		backends,
		clock,
		name: 'a',
		usageWindowMs: 5000,
		list: () => state,
		need() {
			demand ??= new PoolDemand(backends.listed().length, time.ms);
			return demand.need();
		},
	});
	const list = (count: number) => {
		for (let index = 0; index < count; index++) {
			backends.upsert({
				id: `b-${index}`, service: 's', host: '10.0.0.1', port: index, failureDomain: index % 2 === 0 ? 'fd-a' : 'fd-b', slots: 16, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
			}, time.ms);
		}
	};

	return {
		runner, orders, list, state,
	};
}

describe('isListSettled', () => {
	it.each([
		{followedForMs: 2000, unchangedForMs: 2000, expected: false},
		{followedForMs: 3000, unchangedForMs: 500, expected: false},
		{followedForMs: 3000, unchangedForMs: 1500, expected: true},
		{followedForMs: 9000, unchangedForMs: 100, expected: true},
	])('followed for $followedForMs ms, unchanged for $unchangedForMs: $expected', ({expected, ...list}) => {
		expect(isListSettled(list)).toBe(expected);
	});
});

describe('DutyRunner', () => {
	it('orders nothing from a list that is still filling, and gives up none of what it then finds before it is replaced', async () => {
		const {runner, orders, list, state} = await createRunner();
		list(3);
		await runner.step(signal);
		expect(orders).toEqual([]);
		list(40);
		state.followedForMs = 3000;
		state.unchangedForMs = 1600;
		await runner.step(signal);
		const reclaimable = orders.filter(order => order.isReclaimable).map(order => order.count);
		const onDemand = orders.filter(order => !order.isReclaimable).map(order => order.count);
		expect(reclaimable).toEqual([20, 20]);
		expect(onDemand[0] + onDemand[1]).toBeGreaterThanOrEqual(30);
	});
});
