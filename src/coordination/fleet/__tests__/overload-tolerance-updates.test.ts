/** Guards against backend servers that fail since each daemon tries for itself whether they have room. */
import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RunningRequest} from '../../placement.js';
import {SlotEnd, type SlotLease} from '../../slots/slot-leases.js';
import {startNet, type TestDaemon, type TestNet} from '../__fixtures__/test-net.js';
import {backendKey} from '../backend-key.js';

/** Time from the first statement until refusals count, in milliseconds. */
const noticeMs = 3000;
const refusalWindowMs = 1000;
const downMs = 4000;

/** A backend server that crashes when it refuses too much. */
class FragileBackend {
	crashes = 0;
	private refusals: number[] = [];
	private running: Array<{endMs: number; end: () => void}> = [];
	private downUntilMs = Number.NEGATIVE_INFINITY;

	constructor(readonly id: string, private readonly options: {slots: number; runMs: number; refusalsPerSecond: number}) {}

	/** Receives a request; returns whether it runs it, or undefined while it is down. */
	receive(running: RunningRequest, nowMs: number, {counts, onRefusal}: {counts: boolean; onRefusal: () => void}): boolean | undefined {
		const {slots, runMs, refusalsPerSecond} = this.options;
		if (nowMs < this.downUntilMs) {
			running.end();
			return undefined;
		}

		if (this.running.length < slots) {
			this.running.push({
				endMs: nowMs + runMs, end() {
					running.end();
				},
			});
			return true;
		}

		onRefusal();
		running.end();
		this.refusals = [...this.refusals.filter(atMs => nowMs - atMs < refusalWindowMs), nowMs];
		if (counts && this.refusals.length > refusalsPerSecond) {
			this.crash(nowMs);
		}

		return false;
	}

	step(nowMs: number): void {
		for (const {endMs, end} of this.running) {
			if (endMs <= nowMs) {
				end();
			}
		}

		this.running = this.running.filter(({endMs}) => endMs > nowMs);
	}

	private crash(nowMs: number): void {
		this.crashes++;
		this.downUntilMs = nowMs + downMs;
		for (const {end} of this.running) {
			end();
		}

		this.running = [];
		this.refusals = [];
	}
}

/** Asks for a slot of a backend server, for a request that may take long. */
function requestSlot(daemon: TestDaemon, {id, slots}: {id: string; slots: number}, nowMs: number, onDecision: (lease: SlotLease | undefined) => void): void {
	daemon.slots.leases.request({id, service: 's', slots}, 10_000, nowMs, onDecision);
}

/** Asks for slots of a backend server, a number at each daemon; returns those that were granted. */
function requestSlots(net: TestNet, slots: number, each: number): SlotLease[] {
	const granted: SlotLease[] = [];
	for (const daemon of net.daemons) {
		for (let count = 0; count < each; count++) {
			requestSlot(daemon, {id: 'i-1', slots}, net.nowMs, lease => {
				granted.push(...(lease ? [lease] : []));
			});
		}
	}

	net.run(100);
	return granted;
}

type Scenario = {daemons: number; backends: number; slots: number; runMs: number; refusalsPerSecond: number; requestsPerSecond: number; seed: number};

/** Simulates a service whose backend servers fail under overload; returns how often they did, and the share of their capacity that was used. */
async function simulate({daemons, backends: count, slots, runMs, refusalsPerSecond, requestsPerSecond, seed}: Scenario): Promise<{crashes: number; usedShare: number; served: number; refusedAtOnce: number}> {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const net = await startNet(daemons, 4);
	const backends = Array.from({length: count}, (_, index) => new FragileBackend(`i-${index}`, {slots, runMs, refusalsPerSecond}));
	const startMs = net.nowMs;
	const durationMs = 20_000;
	let due = 0;
	let served = 0;
	let refusedAtOnce = 0;
	const sendOne = (daemon: TestDaemon) => {
		const {nowMs} = net;
		const load = ({id}: FragileBackend) => daemon.placement.expectedLoad(id, daemon.fleet.inFlight(backendKey(id), nowMs), nowMs);
		const usable = backends.filter(({id}) => daemon.slots.leases.hasRoom(id, nowMs));
		// The better of two, as placement chooses among many.
		const [first, second] = [usable[Math.floor(random() * usable.length)], usable[Math.floor(random() * usable.length)]];
		const backend = first && load(first).ownInFlight > load(second).ownInFlight ? second : first;
		if (!backend) {
			refusedAtOnce++;
			return;
		}

		requestSlot(daemon, {id: backend.id, slots}, nowMs, lease => {
			if (lease) {
				deliver(daemon, backend, lease);
			} else {
				refusedAtOnce++;
			}
		});
	};

	const deliver = (daemon: TestDaemon, backend: FragileBackend, lease: SlotLease) => {
		const {nowMs} = net;
		let slotEnd = SlotEnd.Free;
		const running = daemon.placement.begin(backend.id, 0, [], nowMs, () => {
			lease.end(slotEnd, net.nowMs);
		});
		const isRun = backend.receive(running, nowMs, {
			counts: nowMs - startMs >= noticeMs, onRefusal() {
				slotEnd = SlotEnd.Refused;
			},
		});
		if (isRun !== undefined) {
			daemon.tolerances.noteAnswer(backend.id, refusalsPerSecond, nowMs);
			served += isRun && nowMs - startMs >= noticeMs ? 1 : 0;
		}
	};

	net.run(durationMs, () => {
		for (const backend of backends) {
			backend.step(net.nowMs);
		}

		const running = net.runningDaemons();
		for (const {slots: {leases}} of running) {
			leases.expire(net.nowMs);
		}

		for (due += requestsPerSecond / 100; due >= 1; due--) {
			sendOne(running[Math.floor(random() * running.length)]);
		}
	});
	let crashes = 0;
	for (const backend of backends) {
		crashes += backend.crashes;
	}

	const capacity = count * slots * (durationMs - noticeMs) / runMs;
	return {
		crashes, usedShare: served / Math.min(capacity, requestsPerSecond * (durationMs - noticeMs) / 1000), served, refusedAtOnce,
	};
}

describe('backend servers that fail under overload', () => {
	it.each([
		{
			name: 'half of their capacity, 6 daemons', daemons: 6, backends: 4, slots: 6, runMs: 250, refusalsPerSecond: 3, requestsPerSecond: 48, minUsed: 0.9,
		},
		{
			name: 'twice their capacity, 6 daemons', daemons: 6, backends: 4, slots: 6, runMs: 250, refusalsPerSecond: 3, requestsPerSecond: 192, minUsed: 0.5,
		},
		{
			name: 'twice their capacity, 9 daemons', daemons: 9, backends: 12, slots: 32, runMs: 2000, refusalsPerSecond: 4, requestsPerSecond: 384, minUsed: 0.5,
		},
		{
			name: 'three times their capacity, 40 daemons', daemons: 40, backends: 12, slots: 16, runMs: 1000, refusalsPerSecond: 2, requestsPerSecond: 576, minUsed: 0.4,
		},
		{
			name: 'half of their capacity, 40 daemons', daemons: 40, backends: 20, slots: 16, runMs: 1000, refusalsPerSecond: 2, requestsPerSecond: 160, minUsed: 0.9,
		},
		{
			name: 'a tenth of a few slots, 40 daemons', daemons: 40, backends: 4, slots: 6, runMs: 100, refusalsPerSecond: 2, requestsPerSecond: 24, minUsed: 0.9,
		},
		{
			name: 'twice a few slots, 40 daemons', daemons: 40, backends: 4, slots: 6, runMs: 100, refusalsPerSecond: 2, requestsPerSecond: 480, minUsed: 0.2,
		},
	])('hardly do at $name', async ({name, minUsed, ...scenario}) => {
		for (const seed of [1, 2, 3]) {
			// eslint-disable-next-line no-await-in-loop -- one simulation after the other.
			const {crashes, usedShare} = await simulate({...scenario, seed});
			expect(crashes, `${name}, seed ${seed}`).toBeLessThanOrEqual(2 + (scenario.backends / 10));
			expect(usedShare, `${name}, seed ${seed}`).toBeGreaterThan(minUsed);
		}
	});

	it.each([{daemons: 6}, {daemons: 40}])('are known to all of $daemons daemons, and no longer once they state nothing', async ({daemons}) => {
		const net: TestNet = await startNet(daemons, 4);
		const [origin] = net.daemons;
		const binding = () => net.daemons.map(daemon => daemon.tolerances.isBinding('i-1', net.nowMs));
		expect(binding()).not.toContain(true);
		origin.tolerances.noteAnswer('i-1', 3, net.nowMs);
		net.run(noticeMs);
		expect(binding()).not.toContain(false);
		const granted = requestSlots(net, 8, 2);
		expect(granted).toHaveLength(8);
		origin.tolerances.noteAnswer('i-1', undefined, net.nowMs);
		net.run(1500);
		expect(binding()).not.toContain(true);
		expect(requestSlots(net, 8, 2)).toHaveLength(2 * daemons);
	});

	it('get nothing from any daemon for a second after a refusal', async () => {
		const net = await startNet(6, 4);
		const [origin] = net.daemons;
		origin.tolerances.noteAnswer('i-1', 3, net.nowMs);
		net.run(noticeMs);
		const [lease] = requestSlots(net, 30, 1);
		lease.end(SlotEnd.Refused, net.nowMs);
		net.run(400);
		expect(requestSlots(net, 30, 1)).toHaveLength(0);
		net.run(2000);
		for (const daemon of net.daemons) {
			const granted: unknown[] = [];
			requestSlot(daemon, {id: 'i-1', slots: 30}, net.nowMs, found => {
				granted.push(found);
				found?.end(SlotEnd.Free, net.nowMs);
			});
			net.run(100);
			expect(granted).toEqual([expect.anything()]);
		}
	});
});
