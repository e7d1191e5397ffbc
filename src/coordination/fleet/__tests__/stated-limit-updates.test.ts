/** Guards against a fleet that exceeds a backend server's stated limit because each daemon learns it only from the answers that it receives itself, and all daemons send at once. */
import {describe, expect, it} from 'vitest';
import {SendPermission} from '../../stated-limits.js';
import {startNet, type TestDaemon, type TestNet} from '../__fixtures__/test-net.js';

const backendId = 'i-limited';
/** Length of the window in which the operators bound the requests to a limited backend server, in milliseconds. */
const windowMs = 4000;
/** Time from the first stated limit until the bound applies, in milliseconds. */
const boundAppliesAfterMs = 3000;
/** Largest number of requests in a window that the operators allow. */
const maxRequestsInWindow = (perSecond: number) => (perSecond * 1.5 * windowMs / 1000) + 5;

/** A backend server to which every daemon sends as soon as it is permitted; its answers state its current limit. */
class LimitedBackend {
	/** When each request arrived. */
	readonly arrivals: number[] = [];

	constructor(private readonly net: TestNet, public perSecond: number | undefined) {}

	/** Advances the simulated time under load; each daemon has a request to send at every step. */
	load(forMs: number): void {
		this.net.run(forMs, () => {
			for (const daemon of this.net.runningDaemons()) {
				this.sendIfPermitted(daemon);
			}
		});
	}

	maxInWindow(fromMs: number): number {
		const times = this.arrivals.filter(atMs => atMs >= fromMs);
		return Math.max(0, ...times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length));
	}

	/** Sends one request of a daemon if it is permitted; without a limit only at every fiftieth step, since there are other backend servers. */
	private sendIfPermitted({statedLimits}: TestDaemon): void {
		const {nowMs} = this.net;
		if (statedLimits.permission(backendId, nowMs) === SendPermission.Withheld || (!statedLimits.isLimited(backendId) && nowMs % 500 !== 0)) {
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
	])('receives no more than its limit allows, and at least half of it: $name', async ({perSecond, daemons, domains}) => {
		const net = await startNet(daemons, domains);
		const backend = new LimitedBackend(net, perSecond);
		const startMs = net.nowMs;
		backend.load(boundAppliesAfterMs + (windowMs * 2));
		expect(backend.maxInWindow(startMs + boundAppliesAfterMs)).toBeLessThanOrEqual(maxRequestsInWindow(perSecond));
		expect(backend.arrivals.filter(atMs => atMs >= startMs + boundAppliesAfterMs).length).toBeGreaterThanOrEqual(Math.floor(perSecond * windowMs * 2 / 1000 / 2));
	}, 60_000);

	it.each<{name: string; daemons: number; disturb: (net: TestNet) => void}>([
		{
			name: 'half of the daemons die one after the other', daemons: 9, disturb(net) {
				net.runningDaemons().at(-1)!.isRunning = false;
			},
		},
		{
			name: 'daemons restart one after the other', daemons: 9, disturb(net) {
				net.restart(net.daemons[Math.floor(net.nowMs / 1000) % net.daemons.length]);
			},
		},
		{
			name: 'relays die', daemons: 40, disturb(net) {
				net.runningDaemons()[0].isRunning = false;
			},
		},
	])('receives no more than its limit allows when $name', async ({daemons, disturb}) => {
		const net = await startNet(daemons, 4);
		const backend = new LimitedBackend(net, 1);
		backend.load(boundAppliesAfterMs);
		const fromMs = net.nowMs;
		for (let step = 0; step < 4; step++) {
			disturb(net);
			// eslint-disable-next-line no-await-in-loop -- restarted daemons discover the others.
			await net.discover();
			backend.load(1500);
		}

		expect(backend.maxInWindow(fromMs)).toBeLessThanOrEqual(maxRequestsInWindow(1));
		expect(backend.arrivals.filter(atMs => atMs >= fromMs).length).toBeGreaterThan(0);
	}, 60_000);

	it('receives nothing from a daemon that hears from few of the others', async () => {
		const net = await startNet(6, 4);
		const [isolated, ...others] = net.daemons;
		for (const other of others) {
			net.cut(isolated, other);
		}

		isolated.statedLimits.noteStated(backendId, 1, net.nowMs);
		net.run(3000);
		expect(isolated.statedLimits.permission(backendId, net.nowMs)).toBe(SendPermission.Withheld);
	});

	it.each([
		{name: '9 daemons', daemons: 9},
		{name: '80 daemons', daemons: 80},
	])('is unlimited again at all of $name within three seconds after it stops stating a limit', async ({daemons}) => {
		const net = await startNet(daemons, 4);
		const backend = new LimitedBackend(net, 1);
		backend.load(3000);
		expect(net.runningDaemons().filter(({statedLimits}) => !statedLimits.isLimited(backendId))).toEqual([]);
		backend.perSecond = undefined;
		backend.load(3000);
		expect(net.runningDaemons().filter(({statedLimits}) => statedLimits.isLimited(backendId))).toEqual([]);
	}, 60_000);

	it('has its limit known to a daemon that starts later', async () => {
		const net = await startNet(80, 4);
		net.daemons[0].statedLimits.noteStated(backendId, 1, net.nowMs);
		net.run(10_000);
		const restarted = net.restart(net.daemons.at(-1)!);
		await restarted.messenger.discover(new AbortController().signal);
		net.run(2000);
		expect(restarted.statedLimits.isLimited(backendId)).toBe(true);
	}, 60_000);
});
