import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../clock.js';
import {
	type Cloud, DutyResult, type PoolOrder, Topic,
} from '../../protocol/platform.js';
import {BackendState, type Service} from '../../protocol/serving.js';
import {BackendTable} from '../../state/backend-table.js';
import {RouteTable} from '../../state/route-table.js';
import {FakeStore} from '../../testing/fake-store.js';
import {DutyLease} from '../duty-lease.js';
import {DutyRunner, isListComplete} from '../duty-runner.js';
import {PoolDemand} from '../pool-demand.js';
import {UsageLedger} from '../usage-ledger.js';

const service: Service = {
	name: 's', engine: undefined, scaling: {
		min: 1, max: 64, bootMs: 4000, reclaimablePriceRatio: 0.18, prices: new Map([['fd-a', 1], ['fd-b', 1]]),
	},
};
const {signal} = new AbortController();

/** A holder of the duties with a list of backend servers that the test fills. */
async function createRunner() {
	const time = {ms: 100_000};
	const clock = new SteadyClock({monotonicMs: () => time.ms, wallMs: () => time.ms, uptimeMs: () => time.ms});
	const lease = new DutyLease(new FakeStore(), 'a', 3000, clock);
	await lease.step({
		rank: 0, isMajorityResponsive: true, startedAtMs: 0, storeAnsweringForMs: 10_000,
	}, signal);
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
	const stability = {followedForMs: 0, unchangedForMs: 0};
	const runner = new DutyRunner({
		cloud,
		lease,
		usage: new UsageLedger('fd-a', 'a', 5000),
		routes,
		backends,
		clock,
		name: 'a',
		usageWindowMs: 5000,
		listStability: () => stability,
		poolNeed() {
			demand ??= new PoolDemand(backends.listed().length, time.ms);
			return demand.need();
		},
		belongsToPool: () => true,
	});
	const addBackends = (count: number) => {
		for (let index = 0; index < count; index++) {
			backends.upsert({
				id: `b-${index}`, name: `b-${index}`, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: index, failureDomain: index % 2 === 0 ? 'fd-a' : 'fd-b', slots: 16, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
			}, time.ms);
		}
	};

	return {
		runner, orders, addBackends, stability,
	};
}

/** Two daemons that share a store and a cloud without fencing checks; each has a usage report to send for every window. */
function createUnfencedPair() {
	const time = {ms: 100_000};
	const clock = new SteadyClock({monotonicMs: () => time.ms, wallMs: () => time.ms, uptimeMs: () => time.ms});
	const store = new FakeStore();
	const calls: Array<{holder: string; token: number; atMs: number; window: number; counts: string}> = [];
	const routes = new RouteTable();
	const daemons = ['a', 'b'].map(name => {
		/** The daemon's connection to the store, which a test can interrupt. */
		const ownStore = Object.create(store) as FakeStore;
		const lease = new DutyLease(ownStore, name, 3000, clock);
		const usage = new UsageLedger('fd-a', name, 5000);
		const cloud: Cloud = {
			async reportUsage(holder, window, counts) {
				calls.push({
					holder: name, token: holder.token, atMs: time.ms, window, counts: JSON.stringify(counts),
				});
				return DutyResult.Accepted;
			},
			orderPool: async () => DutyResult.Accepted,
		};
		const runner = new DutyRunner({
			cloud, lease, usage, routes, backends: new BackendTable({drainMs: 2000}), clock, name, usageWindowMs: 5000, listStability: () => ({followedForMs: 0, unchangedForMs: 0}), poolNeed: undefined as never, belongsToPool: () => true,
		});
		return {
			name, ownStore, lease, usage, runner,
		};
	});
	return {
		daemons, calls, time, store,
	};
}

describe('isListComplete', () => {
	it.each([
		{followedForMs: 2000, unchangedForMs: 2000, expected: false},
		{followedForMs: 3000, unchangedForMs: 500, expected: false},
		{followedForMs: 3000, unchangedForMs: 1500, expected: true},
		{followedForMs: 9000, unchangedForMs: 100, expected: true},
	])('is $expected after $followedForMs ms of following and $unchangedForMs ms without additions', ({expected, ...stability}) => {
		expect(isListComplete(stability)).toBe(expected);
	});
});

describe('DutyRunner', () => {
	it('orders nothing from an incomplete list, and then releases no VM before its replacement is ordered', async () => {
		const {runner, orders, addBackends, stability} = await createRunner();
		addBackends(3);
		await runner.step(signal);
		expect(orders).toEqual([]);
		addBackends(40);
		stability.followedForMs = 3000;
		stability.unchangedForMs = 1600;
		await runner.step(signal);
		const reclaimable = orders.filter(order => order.isReclaimable).map(order => order.count);
		const onDemand = orders.filter(order => !order.isReclaimable).map(order => order.count);
		expect(reclaimable).toEqual([20, 20]);
		expect(onDemand[0] + onDemand[1]).toBeGreaterThanOrEqual(30);
	});
});

describe('on a platform without fencing checks', () => {
	it.each([
		{
			name: 'the store is restored while the holder is cut off from it', outages: [{daemon: 0, fromMs: 11_000, untilMs: 25_000}], restores: [{atMs: 17_500, lostRecords: 1}],
		},
		{
			name: 'a restore loses the last report of a holder that is then cut off', outages: [{daemon: 0, fromMs: 11_500, untilMs: 25_000}], restores: [{atMs: 11_500, lostRecords: 1}],
		},
		{
			name: 'the store loses a claim and what was committed since', outages: [{daemon: 0, fromMs: 11_000, untilMs: 25_000}], restores: [{atMs: 23_500, lostRecords: 4}],
		},
		{
			name: 'the store is restored twice, once with the last report lost', outages: [{daemon: 0, fromMs: 26_000, untilMs: 28_000}, {daemon: 1, fromMs: 26_000, untilMs: 28_000}], restores: [{atMs: 13_000, lostRecords: 1}, {atMs: 27_000, lostRecords: 2}],
		},
		{name: 'the holder loses the store and regains it', outages: [{daemon: 0, fromMs: 11_000, untilMs: 25_000}]},
		{name: 'both daemons lose the store in turn', outages: [{daemon: 0, fromMs: 11_000, untilMs: 18_000}, {daemon: 1, fromMs: 25_000, untilMs: 35_000}]},
		{name: 'the interruptions are shorter than a lease', outages: [{daemon: 0, fromMs: 11_000, untilMs: 13_000}, {daemon: 0, fromMs: 14_500, untilMs: 17_500}]},
	])('no daemon acts under a lower token, or before and after another one within a lease, when $name', async ({outages, restores = []}) => {
		const {daemons, calls, time, store} = createUnfencedPair();
		const startMs = time.ms;
		for (; time.ms < startMs + 60_000; time.ms += 100) {
			const atMs = time.ms - startMs;
			for (const {lostRecords} of restores.filter(restore => restore.atMs === atMs)) {
				store.restore(Topic.Duties, lostRecords);
			}

			for (const [index, daemon] of daemons.entries()) {
				const isDown = outages.some(outage => outage.daemon === index && atMs >= outage.fromMs && atMs < outage.untilMs);
				daemon.ownStore.isDown = isDown;
				// Their counts differ, as daemons' do that have not heard of each other.
				for (let count = 0; count <= index; count++) {
					daemon.usage.count('x', time.ms);
				}

				const others = daemons.filter(other => other !== daemon && !other.ownStore.isDown && !isDown);
				for (const update of others.map(other => other.lease.createHolderUpdate(time.ms)).filter(update => update !== undefined)) {
					daemon.lease.applyHolderUpdate(update, time.ms);
				}

				// eslint-disable-next-line no-await-in-loop -- the steps run in time order.
				await daemon.lease.step({
					rank: index, isMajorityResponsive: true, startedAtMs: startMs, storeAnsweringForMs: 10_000,
				}, signal).catch(() => undefined);
				// eslint-disable-next-line no-await-in-loop
				await daemon.runner.step(signal).catch(() => undefined);
			}
		}

		expect(new Set(calls.map(call => call.holder)).size).toBeGreaterThanOrEqual(restores.length > 0 ? 1 : 2);
		const reports = new Set(calls.map(({window, counts}) => `${window} ${counts}`));
		expect(reports.size).toBe(new Set(calls.map(({window}) => window)).size);
		for (const [index, call] of calls.entries()) {
			const earlierCalls = calls.slice(0, index);
			expect(call.token).toBeGreaterThanOrEqual(Math.max(0, ...earlierCalls.map(other => other.token)));
			const lastOther = earlierCalls.findLast(other => other.holder !== call.holder);
			const ownBefore = lastOther && earlierCalls.slice(0, earlierCalls.indexOf(lastOther)).findLast(other => other.holder === call.holder);
			expect(ownBefore === undefined || call.atMs - ownBefore.atMs > 3000).toBe(true);
		}
	});
});
