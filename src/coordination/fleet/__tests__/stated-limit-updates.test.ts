/** Each daemon learned a replica's limit by its own answers, and all sent at once. */
import {describe, expect, it} from 'vitest';
import {Permission} from '../../stated-limits.js';
import {startNet, type TestDaemon, type TestNet} from '../__fixtures__/test-net.js';

const backendId = 'i-limited';
/** What the operators allow a limited backend server, as in their rules. */
const spanMs = 4000;
const contactMs = 3000;
const allowed = (perSecond: number) => (perSecond * 1.5 * spanMs / 1000) + 5;

/** A backend server to which every daemon sends as soon as it may; its answers name the limit that it has now. */
class LimitedBackend {
	/** When each request came. */
	readonly arrivals: number[] = [];

	constructor(private readonly net: TestNet, public perSecond: number | undefined) {}

	/** Lets time pass under load; each daemon has something to send at every step. */
	load(forMs: number): void {
		this.net.run(forMs, () => {
			for (const daemon of this.net.running()) {
				this.offer(daemon);
			}
		});
	}

	mostInSpan(fromMs: number): number {
		const times = this.arrivals.filter(atMs => atMs >= fromMs);
		return Math.max(0, ...times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + spanMs).length));
	}

	/** A daemon sends one request if it may; without a limit every fiftieth step, since there are other backend servers. */
	private offer({statedLimits}: TestDaemon): void {
		const {nowMs} = this.net;
		if (statedLimits.permission(backendId, nowMs) === Permission.Withheld || (!statedLimits.isLimited(backendId) && nowMs % 500 !== 0)) {
			return;
		}

		statedLimits.noteSent(backendId, nowMs);
		this.arrivals.push(nowMs);
		statedLimits.noteStated(backendId, this.perSecond, nowMs);
	}
}

describe('a backend server that states a limit', () => {
	it.each([
		{
			name: '1 a second, 6 daemons', perSecond: 1, daemons: 6, domains: 4,
		},
		{
			name: '1.3 a second, 9 daemons', perSecond: 1.3, daemons: 9, domains: 4,
		},
		{
			name: '0.2 a second, 12 daemons', perSecond: 0.2, daemons: 12, domains: 4,
		},
		{
			name: '20 a second, 9 daemons', perSecond: 20, daemons: 9, domains: 4,
		},
		{
			name: '0 a second, 9 daemons', perSecond: 0, daemons: 9, domains: 4,
		},
		{
			name: '1 a second, 80 daemons', perSecond: 1, daemons: 80, domains: 4,
		},
		{
			name: '1 a second, 195 daemons', perSecond: 1, daemons: 195, domains: 6,
		},
	])('gets no more than it allows, and more than half of what it takes: $name', async ({perSecond, daemons, domains}) => {
		const net = await startNet(daemons, domains);
		const backend = new LimitedBackend(net, perSecond);
		const startMs = net.nowMs;
		backend.load(contactMs + (spanMs * 2));
		expect(backend.mostInSpan(startMs + contactMs)).toBeLessThanOrEqual(allowed(perSecond));
		expect(backend.arrivals.filter(atMs => atMs >= startMs + contactMs).length).toBeGreaterThanOrEqual(Math.floor(perSecond * spanMs * 2 / 1000 / 2));
	}, 60_000);

	it.each<{name: string; daemons: number; disturb: (net: TestNet) => void}>([
		{
			name: 'half of the daemons die one after the other', daemons: 9, disturb(net) {
				net.running().at(-1)!.isRunning = false;
			},
		},
		{
			name: 'daemons restart one after the other', daemons: 9, disturb(net) {
				net.restart(net.daemons[Math.floor(net.nowMs / 1000) % net.daemons.length]);
			},
		},
		{
			name: 'relays die', daemons: 40, disturb(net) {
				net.running()[0].isRunning = false;
			},
		},
	])('gets no more than it allows when $name', async ({daemons, disturb}) => {
		const net = await startNet(daemons, 4);
		const backend = new LimitedBackend(net, 1);
		backend.load(contactMs);
		const fromMs = net.nowMs;
		for (let step = 0; step < 4; step++) {
			disturb(net);
			// eslint-disable-next-line no-await-in-loop -- those that restarted find the others.
			await net.discover();
			backend.load(1500);
		}

		expect(backend.mostInSpan(fromMs)).toBeLessThanOrEqual(allowed(1));
		expect(backend.arrivals.filter(atMs => atMs >= fromMs).length).toBeGreaterThan(0);
	}, 60_000);

	it('is sent nothing by a daemon that hears few of the others', async () => {
		const net = await startNet(6, 4);
		const [alone, ...others] = net.daemons;
		for (const other of others) {
			net.cut(alone, other);
		}

		alone.statedLimits.noteStated(backendId, 1, net.nowMs);
		net.run(3000);
		expect(alone.statedLimits.permission(backendId, net.nowMs)).toBe(Permission.Withheld);
	});

	it.each([
		{name: '9 daemons', daemons: 9},
		{name: '80 daemons', daemons: 80},
	])('is free again for all of $name within three seconds after it has stopped stating it', async ({daemons}) => {
		const net = await startNet(daemons, 4);
		const backend = new LimitedBackend(net, 1);
		backend.load(3000);
		expect(net.running().filter(({statedLimits}) => !statedLimits.isLimited(backendId))).toEqual([]);
		backend.perSecond = undefined;
		backend.load(3000);
		expect(net.running().filter(({statedLimits}) => statedLimits.isLimited(backendId))).toEqual([]);
	}, 60_000);

	it('is known to a daemon that starts later', async () => {
		const net = await startNet(80, 4);
		net.daemons[0].statedLimits.noteStated(backendId, 1, net.nowMs);
		net.run(10_000);
		const fresh = net.restart(net.daemons.at(-1)!);
		await fresh.messenger.discover(new AbortController().signal);
		net.run(2000);
		expect(fresh.statedLimits.isLimited(backendId)).toBe(true);
	}, 60_000);
});
