/**
 * Guards against a fleet that refuses most requests while one daemon receives most of them: what
 * a daemon may send on its own, as its share of a backend server, must follow the demand.
 */
import {describe, expect, it} from 'vitest';
import {SlotEnd} from '../../slots/slot-leases.js';
import {SendPermission} from '../../stated-limits.js';
import {
	startNet, type TestDaemon, type TestNet, tickMs,
} from '../__fixtures__/test-net.js';

/** Time from which the demand has moved until requests must be served as before, in milliseconds, and the share of before that must be reached. */
const contactMs = 3000;
const minServedShare = 3 / 4;
/** Share of the requests that the flooded daemon receives. */
const floodedShare = 0.8;
const service = 's';
const backendIds = ['i-1', 'i-2', 'i-3', 'i-4'];

/** Requests that the daemons received and that were sent, over a time. */
type Counts = {received: number; sent: number};

/** Tries to send a request; reports whether it was sent, and what to call when it ends. */
type Attempt = (daemon: TestDaemon, id: string, onResult: (isSent: boolean, onEnd?: () => void) => void) => void;

/** Distributes requests to the daemons, evenly or mostly to one of them. */
class Load {
	/** When requests arrived at each backend server. */
	readonly arrivals = new Map<string, number[]>(backendIds.map(id => [id, []]));
	private inFlight: Array<{id: string; endsAtMs: number; onEnd: (() => void) | undefined}> = [];
	private due = 0;
	private sequence = 0;

	constructor(
		private readonly net: TestNet,
		private readonly perSecond: number,
		private readonly durationMs: number,
	) {}

	run(forMs: number, flooded: TestDaemon | undefined, trySend: Attempt): Counts {
		const counts = {received: 0, sent: 0};
		this.net.run(forMs, () => {
			this.endRequests();
			for (const {slots: {leases}} of this.net.runningDaemons()) {
				leases.expire(this.net.nowMs);
			}

			this.due += this.perSecond * tickMs / 1000;
			for (; this.due >= 1; this.due--) {
				counts.received++;
				const daemon = this.pickDaemon(flooded);
				daemon.retryBudget.countRequest(service, this.net.nowMs);
				this.send(daemon, backendIds, {trySend, counts});
			}
		});
		return counts;
	}

	/** Returns the requests in flight at a backend server. */
	inFlightAt(id: string): number {
		return this.inFlight.filter(request => request.id === id).length;
	}

	private pickDaemon(flooded: TestDaemon | undefined): TestDaemon {
		const daemons = this.net.runningDaemons();
		const number = this.sequence++;
		return flooded && number % 10 < floodedShare * 10 ? flooded : daemons[number % daemons.length];
	}

	/** Tries one backend server after the other. */
	private send(daemon: TestDaemon, [id, ...others]: string[], attempt: {trySend: Attempt; counts: Counts}): void {
		if (id === undefined) {
			return;
		}

		attempt.trySend(daemon, id, (isSent, onEnd) => {
			if (!isSent) {
				this.send(daemon, others, attempt);
				return;
			}

			attempt.counts.sent++;
			this.arrivals.get(id)!.push(this.net.nowMs);
			this.inFlight.push({id, endsAtMs: this.net.nowMs + this.durationMs, onEnd});
		});
	}

	private endRequests(): void {
		const ended = this.inFlight.filter(({endsAtMs}) => endsAtMs <= this.net.nowMs);
		this.inFlight = this.inFlight.filter(request => !ended.includes(request));
		for (const {onEnd} of ended) {
			onEnd?.();
		}
	}
}

describe('a service whose backend servers state limits', () => {
	const limit = 10;
	/** In any span of this length, a backend server may receive at most so many requests. */
	const windowMs = 4000;
	const maxInWindow = (limit * 1.5 * windowMs / 1000) + 5;

	it.each([
		{daemons: 6, domains: 4},
		{daemons: 9, domains: 4},
		{daemons: 12, domains: 4},
	])('is served as before while one of $daemons daemons receives most requests, and then another one', async ({daemons, domains}) => {
		const net = await startNet(daemons, domains);
		const load = new Load(net, 30, 0);
		for (const daemon of net.daemons) {
			for (const id of backendIds) {
				daemon.statedLimits.noteStated(id, limit, net.nowMs);
			}
		}

		const trySend: Attempt = ({statedLimits}, id, onResult) => {
			if (statedLimits.permission(id, net.nowMs) === SendPermission.Withheld) {
				onResult(false);
				return;
			}

			statedLimits.noteSent(id, net.nowMs);
			statedLimits.noteStated(id, limit, net.nowMs);
			onResult(true);
		};

		load.run(contactMs, undefined, trySend);
		const before = load.run(windowMs, undefined, trySend);
		for (const flooded of net.daemons.slice(0, 2)) {
			load.run(contactMs, flooded, trySend);
			const during = load.run(windowMs, flooded, trySend);
			expect(during.sent / during.received).toBeGreaterThanOrEqual(before.sent / before.received * minServedShare);
		}

		for (const times of load.arrivals.values()) {
			const counts = times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length);
			expect(Math.max(...counts)).toBeLessThanOrEqual(maxInWindow);
		}
	}, 60_000);
});

describe('a service whose backend servers fail under overload', () => {
	const slots = 12;
	/** Refusals in a second at which a backend server does not fail yet. */
	const tolerance = 2;

	it.each([
		{daemons: 6, domains: 4},
		{daemons: 12, domains: 4},
	])('is served as before while one of $daemons daemons receives most requests, and then another one', async ({daemons, domains}) => {
		const net = await startNet(daemons, domains);
		const load = new Load(net, 30, 1000);
		const startMs = net.nowMs;
		const refusals = new Map<string, number[]>(backendIds.map(id => [id, []]));
		for (const daemon of net.daemons) {
			for (const id of backendIds) {
				daemon.tolerances.noteAnswer(id, tolerance, net.nowMs);
			}
		}

		const trySend: Attempt = (daemon, id, onResult) => {
			daemon.slots.leases.request({id, service, slots}, 10_000, net.nowMs, lease => {
				const isRefused = lease !== undefined && load.inFlightAt(id) >= slots;
				if (isRefused) {
					// From then on a backend server that states its tolerance may fail.
					refusals.get(id)!.push(...(net.nowMs - startMs >= contactMs ? [net.nowMs] : []));
					lease.end(SlotEnd.Refused, net.nowMs);
				}

				onResult(lease !== undefined && !isRefused, () => {
					lease?.end(SlotEnd.Free, net.nowMs);
				});
			});
		};

		load.run(contactMs, undefined, trySend);
		const before = load.run(4000, undefined, trySend);
		for (const flooded of net.daemons.slice(0, 2)) {
			load.run(contactMs, flooded, trySend);
			const during = load.run(4000, flooded, trySend);
			expect(during.sent / during.received).toBeGreaterThanOrEqual(before.sent / before.received * minServedShare);
		}

		for (const times of refusals.values()) {
			const counts = times.map(startMs => times.filter(atMs => atMs >= startMs && atMs < startMs + 1000).length);
			expect(Math.max(0, ...counts)).toBeLessThanOrEqual(tolerance);
		}
	}, 60_000);
});
