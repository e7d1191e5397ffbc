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
import {type PoolNeed} from '../pool-plan.js';
import {UsageLedger} from '../usage-ledger.js';

const service: Service = {
	name: 's', engine: undefined, scaling: {
		min: 1, max: 64, bootMs: 4000, reclaimablePriceRatio: 0.18, prices: new Map([['fd-a', 1], ['fd-b', 1]]),
	},
};
const {signal} = new AbortController();

/** A holder of the duties whose list of backend servers has been followed for some time. */
async function createRunner(fixedNeed?: PoolNeed, isFirstStart = false) {
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
		isFirstStart,
		list: () => state,
		need() {
			demand ??= new PoolDemand(backends.listed().length, time.ms);
			return fixedNeed ?? demand.need();
		},
	});
	const list = (count: number) => {
		for (let index = 0; index < count; index++) {
			backends.upsert({
				id: `b-${index}`, name: `b-${index}`, startedAtMs: undefined, service: 's', host: '10.0.0.1', port: index, failureDomain: index % 2 === 0 ? 'fd-a' : 'fd-b', slots: 16, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
			}, time.ms);
		}
	};

	return {
		runner, orders, list, state, backends, time, lease,
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

	it.each([
		{
			name: 'orders the fewest reclaimable ones when all starts for the first time, and gives nothing up', isFirstStart: true, hasReclaimable: false, expected: [4, 4],
		},
		{
			name: 'orders nothing so early when the system starts again', isFirstStart: false, hasReclaimable: false, expected: [],
		},
		{
			name: 'orders nothing so early where there are reclaimable ones already', isFirstStart: true, hasReclaimable: true, expected: [],
		},
	])('$name', async ({isFirstStart, hasReclaimable, expected}) => {
		const {runner, orders, list, state, backends, time} = await createRunner(undefined, isFirstStart);
		list(5);
		if (hasReclaimable) {
			backends.upsert({
				id: 'r', name: 'r', startedAtMs: undefined, service: 's', host: '10.0.0.2', port: 1, failureDomain: 'fd-a', slots: 16, state: BackendState.Ready, isReclaimable: true, leavesInMs: undefined, coldForMs: 0,
			}, time.ms);
		}

		state.followedForMs = 1400;
		await runner.step(signal);
		expect(orders.filter(order => !order.isReclaimable)).toEqual([]);
		expect(orders.map(order => order.count)).toEqual(expected);
	});

	/** A settled runner that needs four replicas and ordered its reclaimable ones, all of which serve. */
	async function createServing() {
		const parts = await createRunner({replicas: 4, surviving: 3, spare: 4});
		const {runner, backends, state, time} = parts;
		state.followedForMs = 10_000;
		state.unchangedForMs = 10_000;
		const put = (index: number, backendState = BackendState.Ready) => {
			backends.upsert({
				id: `r-${index}`, name: `r-${index}`, startedAtMs: undefined, service: 's', host: '10.0.0.2', port: index, failureDomain: index % 2 === 0 ? 'fd-a' : 'fd-b', slots: 16, state: backendState, isReclaimable: true, leavesInMs: 2500, coldForMs: 0,
			}, time.ms);
		};

		for (let index = 0; index < 8; index++) {
			put(index);
		}

		await runner.step(signal);
		parts.orders.length = 0;
		const reclaim = () => {
			for (const index of [0, 2, 4, 6]) {
				put(index, BackendState.Draining);
			}
		};

		const onDemand = () => parts.orders.filter(order => !order.isReclaimable).map(order => order.count);
		return {...parts, reclaim, onDemand};
	}

	it('replaces what is reclaimed right after an order that it does not come back by', async () => {
		const {runner, reclaim, onDemand, time, lease} = await createServing();
		time.ms += 500;
		reclaim();
		await lease.step({rank: 0, hearsMost: true, startedAtMs: 0}, signal);
		await runner.step(signal);
		expect(Math.max(...onDemand())).toBeGreaterThanOrEqual(2);
	});

	it('replaces what is reclaimed while its list may lack some, and gives nothing up', async () => {
		const {runner, reclaim, orders, onDemand, state, time, lease, backends} = await createServing();
		time.ms += 10_000;
		state.followedForMs = 0;
		reclaim();
		await lease.step({rank: 0, hearsMost: true, startedAtMs: 0}, signal);
		await runner.step(signal);
		expect(Math.max(...onDemand())).toBeGreaterThanOrEqual(2);
		const ordered = orders.length;
		for (const index of [0, 2, 4, 6]) {
			backends.upsert({
				id: `n-${index}`, name: `n-${index}`, startedAtMs: undefined, service: 's', host: '10.0.0.3', port: index, failureDomain: 'fd-a', slots: 16, state: BackendState.Ready, isReclaimable: true, leavesInMs: undefined, coldForMs: 0,
			}, time.ms);
		}

		await runner.step(signal);
		expect(orders).toHaveLength(ordered);
	});
});
