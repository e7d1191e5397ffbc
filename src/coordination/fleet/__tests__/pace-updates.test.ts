/** Guards against daemons that treat slow engines as fast ones until they have heard from each several times themselves, and against updates that take too much of the network. */
import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {startNet, type TestDaemon, type TestNet} from '../__fixtures__/test-net.js';

/** Time in which a share of the backend servers is slow, in milliseconds. */
const periodMs = 600;
const slowShare = 0.15;
const slowness = 2.5;
/** The control traffic that operators allow a daemon, in bytes a second. */
const maxBytesPerSecond = 3000;

const backends = Array.from({length: 46}, (_, index) => ({id: `i-${index}`, service: index < 42 ? 'engines' : 'plain', usual: index % 2 === 0 ? 70 : 170}));

/** Returns the usual pace of each backend server as a daemon knows it. */
const usualPaces = ({paces}: TestDaemon) => backends.map(({id}) => paces.usualPercent(id));

/** Simulates daemons that hear from backend servers at random, of which some are slow at any time. Without `states` they state no pace. */
function load(net: TestNet, {forMs, answersPerSecond, states, seed}: {forMs: number; answersPerSecond: number; states: boolean; seed: number}): void {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	let stated = new Map<string, number>();
	let due = 0;
	net.run(forMs, () => {
		if (net.nowMs % periodMs < net.stepMs) {
			stated = new Map(backends.map(({id, usual}) => [id, random() < slowShare ? usual * slowness : usual]));
		}

		const running = net.runningDaemons();
		for (due += answersPerSecond * net.stepMs / 1000; due >= 1; due--) {
			const daemon = running[Math.floor(random() * running.length)];
			const backend = backends[Math.floor(random() * backends.length)];
			if (states) {
				daemon.paces.note(backend, stated.get(backend.id) ?? backend.usual, net.nowMs);
			}
		}
	});
}

/** Returns the bytes that each daemon sends per second. */
function measureBytes(net: TestNet, seconds: number, run: () => void): number[] {
	const before = net.daemons.map(({bytesSent}) => bytesSent);
	run();
	return net.daemons.map(({bytesSent}, index) => (bytesSent - before[index]) / seconds);
}

const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Returns the bytes that each daemon sends a second under load, without paces and added by them, and the daemons. */
async function measureAdded(daemons: number, seed: number): Promise<{net: TestNet; base: number[]; added: number[]}> {
	const options = {forMs: 20_000, answersPerSecond: 480, seed};
	const measure = async (states: boolean) => {
		const net = await startNet(daemons, 4);
		load(net, {...options, forMs: 10_000, states});
		return {
			net, bytes: measureBytes(net, options.forMs / 1000, () => {
				load(net, {...options, states});
			}),
		};
	};

	const [{bytes: base}, {net, bytes}] = [await measure(false), await measure(true)];
	const added = bytes.map((each, index) => each - base[index]);
	return {net, base, added};
}

describe('usual paces', () => {
	it.each([
		{daemons: 6, lossShare: 0, withinMs: 1000}, {daemons: 6, lossShare: 0.1, withinMs: 5000}, {daemons: 72, lossShare: 0, withinMs: 1000}, {daemons: 72, lossShare: 0.1, withinMs: 5000},
	])('are known to all of $daemons daemons $withinMs ms after one hears of them, with $lossShare of the datagrams lost', async ({daemons, lossShare, withinMs}) => {
		const net = await startNet(daemons, 4);
		net.lossShare = lossShare;
		for (const [index, backend] of backends.entries()) {
			net.daemons[(index * 7) % daemons].paces.note(backend, backend.usual, net.nowMs);
		}

		net.run(withinMs);
		for (const daemon of net.daemons) {
			expect(usualPaces(daemon), daemon.name).toEqual(backends.map(({usual}) => usual));
		}
	}, 30_000);

	it.each([{daemons: 6}, {daemons: 72}])('that change are known to all of $daemons daemons, and each daemon goes by its own observations', async ({daemons}) => {
		const net = await startNet(daemons, 4);
		const [first, second] = net.daemons;
		const [backend] = backends;
		first.paces.note(backend, 175, net.nowMs);
		net.run(1000);
		for (const known of [175, 175, 70, 70]) {
			second.paces.note(backend, 70, net.nowMs);
			expect(second.paces.usualPercent(backend.id)).toBe(known);
			expect(net.daemons.filter(daemon => daemon !== second && daemon.paces.usualPercent(backend.id) !== 175)).toEqual([]);
			net.run(1000);
		}

		expect(net.daemons.filter(daemon => daemon.paces.usualPercent(backend.id) !== 70)).toEqual([]);
	}, 30_000);

	it.each([{daemons: 6}, {daemons: 72}])('are known to one of $daemons daemons that starts later', async ({daemons}) => {
		const net = await startNet(daemons, 4);
		for (const backend of backends) {
			net.daemons[0].paces.note(backend, backend.usual, net.nowMs);
		}

		net.run(10_000);
		const restarted = net.restart(net.daemons.at(-1)!);
		await restarted.messenger.discover(new AbortController().signal);
		net.run(2000);
		expect(usualPaces(restarted)).toEqual(backends.map(({usual}) => usual));
	}, 30_000);

	it.each([{daemons: 6}, {daemons: 72}])('reach one of $daemons daemons that was cut off when they were stated', async ({daemons}) => {
		const net = await startNet(daemons, 4);
		const cutOff = net.daemons.at(-1)!;
		for (const daemon of net.daemons.slice(0, -1)) {
			net.cut(cutOff, daemon);
		}

		net.daemons[0].paces.note(backends[0], 70, net.nowMs);
		net.run(1500);
		expect(cutOff.paces.usualPercent(backends[0].id)).toBeUndefined();
		net.cuts.clear();
		net.run(5000);
		expect(cutOff.paces.usualPercent(backends[0].id)).toBe(70);
	}, 30_000);

	it.each([
		{daemons: 6, seed: 1}, {daemons: 6, seed: 2}, {daemons: 72, seed: 1}, {daemons: 72, seed: 2},
	])('take few bytes of $daemons daemons under load, and are mostly right at all of them, seed $seed', async ({daemons, seed}) => {
		const {net, base, added} = await measureAdded(daemons, seed);
		const known = net.daemons.flatMap(daemon => usualPaces(daemon));
		const rightShare = known.filter((percent, index) => percent === backends[index % backends.length].usual).length / known.length;
		const figures = `${daemons} daemons, seed ${seed}: ${Math.round(mean(base))} bytes/s a daemon without paces (at most ${Math.round(Math.max(...base))}); paces add ${Math.round(mean(added))} (at most ${Math.round(Math.max(...added))}); ${(rightShare * 100).toFixed(1)} % right`;
		console.log(figures);
		expect(mean(added), figures).toBeLessThan(maxBytesPerSecond);
		expect(rightShare, figures).toBeGreaterThan(0.95);
	}, 60_000);

	it.each([
		{daemons: 6, seed: 1}, {daemons: 6, seed: 2}, {daemons: 72, seed: 1}, {daemons: 72, seed: 2},
	])('take no more than the control traffic allowed of any one of $daemons daemons, seed $seed', async ({daemons, seed}) => {
		const {added} = await measureAdded(daemons, seed);
		expect(Math.max(...added)).toBeLessThan(maxBytesPerSecond);
	}, 60_000);

	it('take no messages where no pace is stated', async () => {
		const kinds = new Set<string>();
		const net = await startNet(6, 4);
		for (const {messenger} of net.daemons) {
			messenger.open({
				send(message) {
					kinds.add((message as {kind: string}).kind);
				},
			});
		}

		net.run(5000);
		expect([...kinds]).toEqual(['report']);
	});
});
