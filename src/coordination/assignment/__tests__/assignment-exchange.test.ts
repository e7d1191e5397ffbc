/**
 * Guards against requests that depend on a coordinator: ones without a decision while it fails,
 * ones refused since it fails, and places that stay taken after their requests are gone.
 */
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {AssignmentResult} from '../../../protocol/assignment.js';
import {type AssignmentDecisionMessage, FleetMessageKind} from '../../../protocol/fleet-messages.js';
import {BackendState} from '../../../protocol/serving.js';
import {startNet, type TestDaemon, type TestNet} from '../../fleet/__fixtures__/test-net.js';
import {type AssignmentOutcome, type AssignmentQuery} from '../assignment-exchange.js';

/** Time for which a call occupies its slot, in milliseconds. */
const callMs = 60;
const slots = 6;
/** Longest time until the first answer of a coordinator, with a step of the simulated time, in milliseconds. */
const maxAnswerMs = 65;
/** Time in which daemons see that a coordinator is silent and another one has settled, in milliseconds. */
const failoverMs = 3500;

const query: AssignmentQuery = {
	service: 's', account: 'a', accountWeight: 1, priority: 2, cost: 1, latencyTargetMs: 336, targetMs: 336, remainingMs: 2000, route: 'call', promptTokens: 0, promptParts: [], excluded: new Set(), returnKey: undefined,
};

type Ended = {askedAtMs: number; tookMs: number; outcome: AssignmentOutcome};
type Coordinated = {group: string; queued: number; backends: Array<{assigned: number}>};

/** A fleet that assigns the calls of one plain service. */
class AssigningFleet {
	readonly ended: Ended[] = [];
	asked = 0;
	private running: Array<{endsAtMs: number; end: () => void}> = [];
	private nextDaemon = 0;
	private dueCalls = 0;

	constructor(readonly net: TestNet, replicas: number) {
		for (const daemon of net.daemons) {
			this.prepare(daemon, replicas);
		}
	}

	prepare(daemon: TestDaemon, replicas = 4): void {
		daemon.isAssigning = true;
		for (let index = 0; index < replicas; index++) {
			daemon.backends.upsert({
				id: `s-${index}`, name: `s-${index}`, startedAtMs: 1, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd-0', slots, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
			}, this.net.nowMs);
		}
	}

	get usable(): TestDaemon[] {
		return this.net.daemons.filter(({isRunning, isFrozen}) => isRunning && !isFrozen);
	}

	/** The daemon that coordinates the service. */
	get coordinator(): TestDaemon {
		return this.usable.find(daemon => this.coordinated(daemon) !== undefined)!;
	}

	coordinated(daemon: TestDaemon): Coordinated | undefined {
		const {coordinated} = daemon.assignments.toJson(this.net.nowMs) as {coordinated: Coordinated[]};
		return coordinated.find(({group}) => group === 's');
	}

	/** Places taken and requests waiting in all ledgers, and requests pending at all daemons. */
	get remains(): {assigned: number; queued: number; pending: number} {
		const remains = {assigned: 0, queued: 0, pending: 0};
		for (const daemon of this.usable) {
			const ledger = this.coordinated(daemon);
			remains.assigned += ledger?.backends.reduce((sum, {assigned}) => sum + assigned, 0) ?? 0;
			remains.queued += ledger?.queued ?? 0;
			remains.pending += (daemon.assignments.toJson(this.net.nowMs) as {pending: number}).pending;
		}

		return remains;
	}

	async ask(daemon: TestDaemon, fields: Partial<AssignmentQuery> = {}, signal = new AbortController().signal): Promise<AssignmentOutcome> {
		const askedAtMs = this.net.nowMs;
		this.asked++;
		const outcome = await daemon.assignments.assign({...query, ...fields}, signal);
		this.ended.push({askedAtMs, tookMs: this.net.nowMs - askedAtMs, outcome});
		return outcome;
	}

	/** Advances the simulated time, with calls at the running daemons in turn. */
	async run(forMs: number, callsPerSecond = 0): Promise<void> {
		const {net} = this;
		for (const endMs = net.nowMs + forMs; net.nowMs < endMs;) {
			this.dueCalls += callsPerSecond * net.stepMs / 1000;
			for (; this.dueCalls >= 1; this.dueCalls--) {
				void this.call(this.usable[this.nextDaemon++ % this.usable.length]);
			}

			net.run(net.stepMs);
			for (const {end} of this.running.filter(({endsAtMs}) => endsAtMs <= net.nowMs)) {
				end();
			}

			this.running = this.running.filter(({endsAtMs}) => endsAtMs > net.nowMs);
			// eslint-disable-next-line no-await-in-loop -- the timers follow the simulated time.
			await vi.advanceTimersByTimeAsync(net.stepMs);
		}
	}

	/** Outcomes of requests that were asked for from a time on, by kind. */
	outcomes(fromMs = 0): Record<string, number> {
		const counts: Record<string, number> = {assigned: 0, refused: 0, unavailable: 0};
		for (const {outcome} of this.ended.filter(({askedAtMs}) => askedAtMs >= fromMs)) {
			counts[outcome.kind]++;
		}

		return counts;
	}

	private async call(daemon: TestDaemon): Promise<void> {
		const outcome = await this.ask(daemon);
		if (outcome.kind === 'assigned') {
			const {backend, end} = outcome.assignment;
			const running = daemon.placement.begin(backend.id, 0, [], this.net.nowMs);
			this.running.push({
				endsAtMs: this.net.nowMs + callMs, end() {
					running.end();
					if (daemon.isRunning) {
						end(AssignmentResult.Completed, callMs);
					}
				},
			});
		}
	}
}

async function startFleet(daemons: number, replicas = 4): Promise<AssigningFleet> {
	const net = await startNet(daemons, Math.min(4, daemons));
	net.stepMs = 5;
	const fleet = new AssigningFleet(net, replicas);
	await fleet.run(1000);
	return fleet;
}

function isolate({net}: AssigningFleet, daemon: TestDaemon): void {
	for (const other of net.daemons.filter(each => each !== daemon)) {
		net.cut(daemon, other);
	}
}

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval']});
});

afterEach(() => {
	vi.useRealTimers();
});

type Fault = {
	name: string;
	cause: (fleet: AssigningFleet) => void;
	end?: (fleet: AssigningFleet) => void;
	faultMs?: number;
	/** Share of the requests that is assigned once the fleet has adapted. */
	minAssigned?: number;
	maxTookMs?: number;
};

const faults: Fault[] = [
	{name: 'nothing fails', cause() {/* None. */}},
	{
		name: 'the coordinator is killed', cause(fleet) {
			fleet.coordinator.isRunning = false;
		},
	},
	{
		// The daemon that is cut off has one sixth of the requests, and hears from no majority.
		name: 'the coordinator is cut off', cause(fleet) {
			isolate(fleet, fleet.coordinator);
		}, minAssigned: 0.8,
	},
	{
		name: 'the coordinator is frozen for a second', cause(fleet) {
			fleet.coordinator.isFrozen = true;
		}, end({net}) {
			for (const daemon of net.daemons) {
				daemon.isFrozen = false;
			}
		}, faultMs: 1000,
	},
	{
		name: 'the coordinator restarts', cause(fleet) {
			fleet.prepare(fleet.net.restart(fleet.coordinator));
		},
	},
	{
		// No daemon hears from a majority of the others.
		name: 'half of the fleet is silent', cause({net}) {
			const silent = net.daemons.filter((_, index) => index % 2 === 1);
			for (const one of silent) {
				one.isRunning = false;
			}
		}, minAssigned: 0,
	},
	{
		// Each daemon of six sends 33 requests a second, and does not ask for 300 ms after each one without an answer.
		name: 'a hundredth of the datagrams is lost', cause({net}) {
			net.lossShare = 0.01;
		}, minAssigned: 0.75,
	},
	{
		name: 'a tenth of the datagrams is lost', cause({net}) {
			net.lossShare = 0.1;
		}, minAssigned: 0.3, maxTookMs: 400,
	},
];

describe('AssignmentExchange', () => {
	it.each(faults.flatMap(fault => [6, 72].map(daemons => ({...fault, daemons}))))('decides or falls back in time, refuses nobody and keeps no place in $daemons daemons if $name', async ({daemons, cause, end, faultMs = failoverMs, minAssigned = 0.95, maxTookMs = maxAnswerMs}) => {
		const fleet = await startFleet(daemons);
		await fleet.run(1000, 200);
		cause(fleet);
		await fleet.run(faultMs, 200);
		end?.(fleet);
		await fleet.run(failoverMs - faultMs, 200);
		const recoveredAtMs = fleet.net.nowMs;
		await fleet.run(1500, 200);
		const late = fleet.ended.filter(({tookMs, outcome}) => outcome.kind !== 'assigned' && tookMs > maxTookMs).length;
		const {assigned, unavailable} = fleet.outcomes(recoveredAtMs);
		expect({refused: fleet.outcomes().refused, late}).toEqual({refused: 0, late: 0});
		expect(assigned / (assigned + unavailable)).toBeGreaterThanOrEqual(minAssigned);
		await fleet.run(query.remainingMs + 1500);
		expect(fleet.remains).toEqual({assigned: 0, queued: 0, pending: 0});
	}, 30_000);

	it.each([
		{name: 'in time', lossShare: 0},
		{name: 'by a withdrawal that is lost', lossShare: 1},
	])('removes a request from the queue whose client leaves while it waits, $name', async ({lossShare}) => {
		const fleet = await startFleet(6, 1);
		const {coordinator, net} = fleet;
		const daemon = fleet.usable.find(each => each !== coordinator)!;
		const client = new AbortController();
		for (let call = 0; call < slots; call++) {
			void fleet.ask(daemon);
		}

		await fleet.run(20);
		void fleet.ask(daemon, {}, client.signal);
		await fleet.run(20);
		expect(fleet.remains).toEqual({assigned: slots, queued: 1, pending: 1});
		net.lossShare = lossShare;
		client.abort();
		await fleet.run(net.stepMs);
		net.lossShare = 0;
		expect(fleet.remains.pending).toBe(0);
		await fleet.run(300);
		expect(fleet.remains).toEqual({assigned: slots, queued: 0, pending: 0});
	});

	it('asks nobody for a request whose client has left', async () => {
		const fleet = await startFleet(6);
		const daemon = fleet.usable.find(each => each !== fleet.coordinator)!;
		const {datagramsSent} = daemon;
		const outcome = await fleet.ask(daemon, {}, AbortSignal.abort());
		expect(outcome.kind).toBe('unavailable');
		expect(daemon.datagramsSent).toBe(datagramsSent);
		expect(fleet.remains).toEqual({assigned: 0, queued: 0, pending: 0});
	});

	it('lets a queued request fall back within twice its expected time and 100 ms if its coordinator is killed', async () => {
		const fleet = await startFleet(6, 1);
		const {coordinator} = fleet;
		const daemon = fleet.usable.find(each => each !== coordinator)!;
		const expectations: number[] = [];
		const receive = daemon.messenger.receive.bind(daemon.messenger);
		vi.spyOn(daemon.messenger, 'receive').mockImplementation(message => {
			const {kind, decisions} = message as AssignmentDecisionMessage;
			for (const decision of kind === FleetMessageKind.AssignmentDecision ? decisions : []) {
				expectations.push(...('expectedMs' in decision ? [decision.expectedMs] : []));
			}

			receive(message);
		});
		for (let call = 0; call <= slots; call++) {
			void fleet.ask(daemon);
		}

		await fleet.run(20);
		expect(fleet.remains.queued).toBe(1);
		coordinator.isRunning = false;
		await fleet.run(500);
		expect(fleet.ended.at(-1)!.outcome.kind).toBe('unavailable');
		expect(fleet.ended.at(-1)!.tookMs).toBeLessThanOrEqual((2 * expectations[0]) + 100 + 30);
	});

	it.each([6, 72])('lets all queued requests of %d daemons end, and decides again, after their coordinator was killed while capacity was short', async daemons => {
		const fleet = await startFleet(daemons, 1);
		await fleet.run(1000, 120);
		expect(fleet.remains.queued).toBeGreaterThan(0);
		const killedAtMs = fleet.net.nowMs;
		fleet.coordinator.isRunning = false;
		await fleet.run(failoverMs, 40);
		expect(fleet.outcomes(killedAtMs).refused).toBe(0);
		const afterMs = fleet.net.nowMs;
		await fleet.run(1000, 40);
		const {assigned, refused, unavailable} = fleet.outcomes(afterMs);
		expect(refused).toBe(0);
		expect(assigned / (assigned + unavailable)).toBeGreaterThanOrEqual(0.95);
		await fleet.run(query.remainingMs + 1500);
		expect(fleet.ended.length).toBe(fleet.asked);
		expect(fleet.remains).toEqual({assigned: 0, queued: 0, pending: 0});
	}, 30_000);

	it('frees the place of a request that was assigned too late', async () => {
		const fleet = await startFleet(6);
		const {coordinator, net} = fleet;
		const daemon = fleet.usable.find(each => each !== coordinator)!;
		coordinator.isFrozen = true;
		void fleet.ask(daemon);
		await fleet.run(100);
		coordinator.isFrozen = false;
		expect(fleet.outcomes()).toEqual({assigned: 0, refused: 0, unavailable: 1});
		await fleet.run(50);
		expect(net.daemons.includes(coordinator)).toBe(true);
		expect(fleet.remains).toEqual({assigned: 0, queued: 0, pending: 0});
	});

	it('frees the places of a daemon that is gone, before the deadlines of its requests', async () => {
		const fleet = await startFleet(6);
		const daemon = fleet.usable.find(each => each !== fleet.coordinator)!;
		void fleet.ask(daemon, {remainingMs: 60_000});
		await fleet.run(50);
		expect(fleet.remains.assigned).toBe(1);
		daemon.isRunning = false;
		await fleet.run(21_000);
		expect(fleet.remains.assigned).toBe(0);
	}, 30_000);

	it('refuses nobody by a view without backend servers', async () => {
		const fleet = await startFleet(6, 1);
		fleet.coordinator.backends.markRemoved('s-0', fleet.net.nowMs);
		await fleet.run(1500, 100);
		expect(fleet.outcomes().refused).toBe(0);
		expect(fleet.outcomes(fleet.net.nowMs - 400)).toMatchObject({assigned: 0, refused: 0});
	});

	it('frees the places of requests assigned to a backend server that their daemon does not know any more', async () => {
		const fleet = await startFleet(6, 2);
		const daemon = fleet.usable.find(each => each !== fleet.coordinator)!;
		daemon.backends.markRemoved('s-0', fleet.net.nowMs);
		for (let call = 0; call < 2 * slots; call++) {
			void fleet.ask(daemon);
		}

		await fleet.run(100);
		expect(fleet.outcomes()).toEqual({assigned: slots, refused: 0, unavailable: slots});
		expect(fleet.remains).toEqual({assigned: slots, queued: 0, pending: 0});
	});

	it('moves the queue on when a backend server vanishes, and stops its timer when nothing waits', async () => {
		const fleet = await startFleet(6, 4);
		await fleet.run(500, 480);
		for (const {backends} of fleet.usable) {
			backends.markRemoved('s-0', fleet.net.nowMs);
		}

		await fleet.run(1000, 100);
		expect(fleet.ended.length).toBeGreaterThan(0.9 * fleet.asked);
		await fleet.run(query.remainingMs + 1500);
		expect(fleet.ended.length).toBe(fleet.asked);
		expect(fleet.remains).toEqual({assigned: 0, queued: 0, pending: 0});
		expect(vi.getTimerCount()).toBe(0);
	});
});
