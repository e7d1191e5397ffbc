/**
 * Plays roll-outs in virtual time with the store in memory: what the duty holder commits and
 * writes for operators, also when it dies between the two, and when orders are unusual.
 */
import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../../clock.js';
import {
	type RecordCodec, RolloutState, type RolloutStatus, Topic,
} from '../../../protocol/platform.js';
import {type Backend, BackendState, type Service} from '../../../protocol/serving.js';
import {BackendTable} from '../../../state/backend-table.js';
import {FakeStore} from '../../../testing/fake-store.js';
import {DutyLease} from '../../duty-lease.js';
import {RolloutPhase} from '../rollout.js';
import {RolloutRunner} from '../rollout-runner.js';
import {Rollouts} from '../rollouts.js';
import {noEvidence} from '../__fixtures__/no-evidence.js';

const {signal} = new AbortController();
const service: Service = {name: 's', engine: undefined, scaling: undefined};
const durationMs = 12_000;

const backend = (index: number, version: string): Backend => ({
	id: `${version}-${index}`, name: `${version}-${index}`, startedAtMs: undefined, service: 's', version, host: '10.0.0.1', port: 1, failureDomain: `fd-${index % 2}`, slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});

const records: Partial<RecordCodec> = {
	encodeRolloutStatus: status => ({key: `status/${status.service}`, value: new TextEncoder().encode(JSON.stringify(status))}),
};

/** Records answers of a quarter second at both versions; one in eleven is of the new one. */
function noteAnswers(rollouts: Rollouts, status: (answer: number) => number): void {
	for (let answer = 0; answer < 80; answer++) {
		rollouts.noteAnswer(backend(answer, 'v1'), 'r', 200, 50);
		if (answer % 10 === 0) {
			rollouts.noteAnswer(backend(answer / 10, 'v2'), 'r', status(answer / 10), 50);
		}
	}
}

/** A service with four backend servers of version v1, and daemons that share a store. */
class Play {
	readonly time = {ms: 100_000};
	readonly store = new FakeStore();
	inFlightAtOld = 3;
	private readonly clock = new SteadyClock({monotonicMs: () => this.time.ms, wallMs: () => this.time.ms, uptimeMs: () => this.time.ms});

	/** Starts a daemon that knows the given backend servers. */
	start(name: string, versions = ['v1']) {
		const backends = new BackendTable({drainMs: 2000});
		const rollouts = new Rollouts({canaryShare: 0.1}, () => 0, noEvidence);
		const lease = new DutyLease(this.store, name, 3000, this.clock);
		const addVersion = (version: string) => {
			for (let index = 0; index < 4; index++) {
				backends.upsert(backend(index, version), this.time.ms);
			}
		};

		for (const version of versions) {
			addVersion(version);
		}

		rollouts.noteBackends(backends.listed().map(entry => entry.backend), 0);
		const runner = new RolloutRunner({
			store: this.store,
			records: records as RecordCodec,
			lease,
			rollouts,
			backends,
			clock: this.clock,
			service: serviceName => serviceName === 's' ? service : undefined,
			inFlight: id => id.startsWith('v1') ? this.inFlightAtOld : 0,
		});
		return {
			rollouts, lease, runner, addVersion,
		};
	}

	/** Lets a daemon act for a while, during which the new version answers as stated. */
	async run(daemon: ReturnType<Play['start']>, forMs: number, status?: (answer: number) => number): Promise<void> {
		for (const endMs = this.time.ms + forMs; this.time.ms < endMs; this.time.ms += 250) {
			if (status) {
				noteAnswers(daemon.rollouts, status);
			}

			// eslint-disable-next-line no-await-in-loop -- in the order of time.
			await daemon.lease.step({
				rank: 0, isMajorityResponsive: true, startedAtMs: 0, storeAnsweringForMs: 10_000,
			}, signal).catch(() => undefined);
			// eslint-disable-next-line no-await-in-loop
			await daemon.runner.step(signal).catch(() => undefined);
		}
	}

	/** The versions and states that operators could read, one after the other. */
	async states(): Promise<string[]> {
		const statuses = await this.readStatuses();
		return statuses.map(({version, state}) => `${version} ${state}`);
	}

	/** The state that operators read now. */
	async lastState(): Promise<RolloutState | undefined> {
		const statuses = await this.readStatuses();
		return statuses.at(-1)?.state;
	}

	order(daemon: ReturnType<Play['start']>, version: string, orderId: number, ordered = 's'): void {
		daemon.rollouts.noteOrder(ordered, {
			service: ordered, version, durationMs, orderId, receivedAtMs: this.time.ms,
		});
	}

	private async readStatuses(): Promise<RolloutStatus[]> {
		const batch = await this.store.read(Topic.Status, 0, {waitMs: 0});
		return batch!.records.map(({value}) => JSON.parse(new TextDecoder().decode(value)) as RolloutStatus);
	}
}

const good = () => 200;
const bad = (answer: number) => Math.floor(answer / 2) % 2 === 0 ? 500 : 200;

describe('RolloutRunner', () => {
	it('completes a good version before the order is due, once no request is left on the old one', async () => {
		const play = new Play();
		const daemon = play.start('a');
		await play.run(daemon, 500);
		play.order(daemon, 'v2', 7);
		daemon.addVersion('v2');
		await play.run(daemon, 7500, good);
		expect(daemon.rollouts.get('s')?.phase).toBe(RolloutPhase.Canary);
		await play.run(daemon, 2000, good);
		expect(daemon.rollouts.get('s')?.phase).toBe(RolloutPhase.Shift);
		play.inFlightAtOld = 0;
		await play.run(daemon, 2000, good);
		expect(await play.states()).toEqual(['v2 active', 'v2 active', 'v2 completed']);
	});

	it('rolls a bad version back within seconds', async () => {
		const play = new Play();
		const daemon = play.start('a');
		await play.run(daemon, 500);
		play.order(daemon, 'v2', 7);
		daemon.addVersion('v2');
		await play.run(daemon, 3000, bad);
		expect(await play.lastState()).toBe(RolloutState.RolledBack);
		await play.run(daemon, 12_000, good);
		expect(await play.lastState()).toBe(RolloutState.RolledBack);
	});

	it.each([
		{name: 'a version without any answers', status: undefined, hasReplicas: true},
		{name: 'a version without backend servers', status: undefined, hasReplicas: false},
	])('rolls $name back before the order is due', async ({status, hasReplicas}) => {
		const play = new Play();
		const daemon = play.start('a');
		await play.run(daemon, 500);
		play.order(daemon, 'v2', 7);
		if (hasReplicas) {
			daemon.addVersion('v2');
		}

		await play.run(daemon, durationMs - 1000, status);
		expect(await play.lastState()).toBe(RolloutState.RolledBack);
	});

	it.each([
		{
			name: 'rolls back a version whose order was withdrawn', change(play: Play, daemon: ReturnType<Play['start']>) {
				daemon.rollouts.noteOrder('s', undefined);
			}, expected: ['v2 active', 'v2 rolled-back'],
		},
		{
			name: 'starts anew from the proven version when another order follows', change(play: Play, daemon: ReturnType<Play['start']>) {
				play.order(daemon, 'v3', 9);
			}, expected: ['v2 active', 'v3 active'],
		},
		{
			name: 'ends at once when the order names the version that serves', change(play: Play, daemon: ReturnType<Play['start']>) {
				play.order(daemon, 'v1', 9);
			}, expected: ['v2 active', 'v1 completed'],
		},
		{
			name: 'ignores an order for an unknown service', change(play: Play, daemon: ReturnType<Play['start']>) {
				play.order(daemon, 'v9', 9, 'other');
			}, expected: ['v2 active'],
		},
	])('$name', async ({change, expected}) => {
		const play = new Play();
		const daemon = play.start('a');
		await play.run(daemon, 500);
		play.order(daemon, 'v2', 7);
		daemon.addVersion('v2');
		await play.run(daemon, 1000, good);
		change(play, daemon);
		await play.run(daemon, 1000, good);
		expect(await play.states()).toEqual(expected);
		expect(daemon.rollouts.get('s')?.currentVersions).toEqual(['v1']);
	});

	it('continues where a dead holder stopped: the committed phase stands, and its status is written again', async () => {
		const play = new Play();
		const first = play.start('a');
		await play.run(first, 500);
		play.order(first, 'v2', 7);
		first.addVersion('v2');
		await play.run(first, 3000, bad);
		expect(first.rollouts.get('s')?.phase).toBe(RolloutPhase.RolledBack);

		const second = play.start('b', ['v1', 'v2']);
		play.order(second, 'v2', 7);
		second.lease.applyHolderUpdate({token: 1, ageMs: 5000}, play.time.ms);
		await play.run(second, 8000, good);
		expect(second.rollouts.get('s')?.phase).toBe(RolloutPhase.RolledBack);
		expect(await play.lastState()).toBe(RolloutState.RolledBack);
	});

	it('does not let a former holder commit a phase or overwrite a later status', async () => {
		const play = new Play();
		const first = play.start('a');
		await play.run(first, 500);
		play.order(first, 'v2', 7);
		first.addVersion('v2');
		await play.run(first, 1000, good);
		const second = play.start('b', ['v1', 'v2']);
		play.order(second, 'v2', 7);
		second.lease.applyHolderUpdate({token: 1, ageMs: 5000}, play.time.ms);
		await play.run(second, 5000, bad);
		expect(await play.lastState()).toBe(RolloutState.RolledBack);

		const before = play.store.length(Topic.Status);
		await first.runner.step(signal).catch(() => undefined);
		expect(play.store.length(Topic.Status)).toBe(before);
	});

	it('writes the status once the store is back', async () => {
		const play = new Play();
		const daemon = play.start('a');
		await play.run(daemon, 500);
		play.order(daemon, 'v2', 7);
		daemon.addVersion('v2');
		play.store.isDown = true;
		await play.run(daemon, 1000, good);
		play.store.isDown = false;
		expect(await play.states()).toEqual([]);
		await play.run(daemon, 1000, good);
		expect(await play.states()).toEqual(['v2 active']);
	});
});
