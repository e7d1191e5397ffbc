/**
 * Carries out the operators' roll-out orders while this daemon holds the duties. Each change of
 * phase is committed to the topic of the duties, which only the holder can append to, before
 * any daemon learns of it; so a new holder continues where the last one stopped, and no order
 * ends in two ways. The status for the operators follows the committed phases.
 */
import {Buffer} from 'node:buffer';
import {isRolloutUpdates, type RolloutUpdate} from '../../protocol/fleet-messages.js';
import {
	type RecordCodec, RolloutState, type Store, Topic,
} from '../../protocol/platform.js';
import {type Service} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {createLogger} from '../../log.js';
import {type BackendTable} from '../../state/backend-table.js';
import {DutyKey, type DutyLease} from '../duty-lease.js';
import {fieldsOf, decodeDaemonRecord} from '../daemon-record.js';
import {
	fromUpdate, isFinalPhase, type Rollout, RolloutPhase, toUpdate,
} from './rollout.js';
import {decidePhase} from './rollout-decision.js';
import {OutcomeHistory} from './outcome-history.js';
import {type ReceivedOrder, type Rollouts} from './rollouts.js';
import {type Evidence} from './version-verdict.js';

const log = createLogger('rollout');

/** Time allowed for reading the status records, in milliseconds. */
const statusReadTimeoutMs = 900;

const statesByPhase: Record<RolloutPhase, RolloutState> = {
	[RolloutPhase.Canary]: RolloutState.Active,
	[RolloutPhase.Shift]: RolloutState.Active,
	[RolloutPhase.Completed]: RolloutState.Completed,
	[RolloutPhase.RolledBack]: RolloutState.RolledBack,
};

/** The committed roll-outs; ages count back from `atMs`, the time of writing in milliseconds since 1970. */
type CommittedRollouts = {atMs: number; rollouts: RolloutUpdate[]};

function isCommittedRollouts(value: unknown): value is CommittedRollouts {
	const {atMs, rollouts} = fieldsOf(value);
	return typeof atMs === 'number' && isRolloutUpdates(rollouts);
}

/** What a {@link RolloutRunner} depends on. */
export type RolloutRunnerDependencies = {
	store: Store;
	records: RecordCodec;
	lease: DutyLease;
	rollouts: Rollouts;
	backends: BackendTable;
	clock: SteadyClock;
	/** Returns the service with a name, if the configuration has one. */
	service: (name: string) => Service | undefined;
	/** Returns the requests that all daemons have in flight at a backend server. */
	inFlight: (backendId: string, nowMs: number) => number;
};

/** Carries out roll-outs as the duty holder. */
export class RolloutRunner {
	/** The fencing token under which the committed roll-outs were last taken over. */
	private restoredToken: number | undefined;
	/** When the present phase of each order was committed or taken over, by order id. */
	private readonly phaseSinceMs = new Map<number, number>();
	/** The answers under each order that is being carried out, by order id. */
	private readonly histories = new Map<number, OutcomeHistory>();
	/** Orders that cannot be carried out, so that each is logged once. */
	private readonly rejectedOrders = new Set<number>();
	/** Services whose status record may differ from the committed phase. */
	private readonly outdatedStatuses = new Set<string>();
	/** End of the status topic as last read; appends expect it, so that a former holder cannot overwrite a later status. */
	private statusEnd: number | undefined;

	constructor(private readonly dependencies: RolloutRunnerDependencies) {}

	/**
	 * Takes the next step of every roll-out.
	 *
	 * @throws {StateError} When the store cannot be read or written.
	 */
	async step(signal: AbortSignal): Promise<void> {
		const {lease, clock, rollouts} = this.dependencies;
		const token = lease.tokenAt(clock.now());
		if (token === undefined) {
			this.restoredToken = undefined;
			this.statusEnd = undefined;
			this.histories.clear();
			return;
		}

		this.restore(token);
		for (const [service, order] of rollouts.openOrders) {
			// eslint-disable-next-line no-await-in-loop -- one commit after the other.
			await this.startOrder(service, order, signal);
		}

		this.retainHistories();
		for (const rollout of rollouts.all()) {
			// eslint-disable-next-line no-await-in-loop
			await this.advance(rollout, signal);
		}

		await this.writeStatuses(signal);
	}

	/** Takes over what the previous holder committed, and lets all status records be written again. */
	private restore(token: number): void {
		const {lease, clock, rollouts} = this.dependencies;
		if (this.restoredToken === token) {
			return;
		}

		this.restoredToken = token;
		const record = lease.record(DutyKey.Rollouts);
		const committed = record && decodeDaemonRecord(record, isCommittedRollouts, 'committed roll-outs');
		// If the clock was set back, a roll-out must not appear to begin in the future.
		const delayMs = committed ? Math.max(0, clock.wallTimeMs() - committed.atMs) : 0;
		for (const update of committed?.rollouts ?? []) {
			const rollout = fromUpdate(update, delayMs, clock.now());
			if (rollout) {
				rollouts.apply(rollout, clock.now());
			}
		}

		for (const {service} of rollouts.all()) {
			this.outdatedStatuses.add(service);
		}
	}

	/** Begins to carry out an order that is new. */
	private async startOrder(service: string, order: ReceivedOrder, signal: AbortSignal): Promise<void> {
		const {rollouts} = this.dependencies;
		const previous = rollouts.get(service);
		if (previous && previous.orderId >= order.orderId) {
			return;
		}

		if (!this.dependencies.service(service)) {
			this.rejectOnce(order, 'the configuration has no such service');
			return;
		}

		const currentVersions = this.versionsBefore(service, order, previous);
		const isServingAlready = currentVersions.includes(order.version);
		const isStarted = await this.commit({
			service,
			orderId: order.orderId,
			version: order.version,
			currentVersions,
			rejectedVersions: rejectedBefore(order, previous),
			phase: isServingAlready ? RolloutPhase.Completed : RolloutPhase.Canary,
			startedAtMs: order.receivedAtMs,
			durationMs: order.durationMs,
		}, signal);
		if (isStarted) {
			log.info(isServingAlready ? 'ordered version serves already.' : 'roll-out started.', {
				service, order: order.orderId, version: order.version, currentVersions: currentVersions.join(','), durationMs: order.durationMs, supersedes: previous && !isFinalPhase(previous.phase) ? previous.orderId : undefined,
			});
		}
	}

	/** Returns the versions that serve as an order arrives: after an unfinished roll-out those from before it, since its version is not proven. */
	private versionsBefore(service: string, order: ReceivedOrder, previous: Rollout | undefined): string[] {
		if (previous) {
			return previous.phase === RolloutPhase.Completed ? [previous.version] : previous.currentVersions;
		}

		const {rollouts, backends} = this.dependencies;
		const running = [...new Set(this.readyBackends(service).map(({version}) => version))];
		const serving = running.filter(version => backends.listed().some(({backend}) => backend.version === version && backend.service === service && rollouts.belongsToPool(backend)));
		return serving.length > 0 ? serving : running.filter(version => version !== order.version);
	}

	/** Commits the next phase of a roll-out once it is due. */
	private async advance(rollout: Rollout, signal: AbortSignal): Promise<void> {
		const {rollouts, clock} = this.dependencies;
		if (isFinalPhase(rollout.phase)) {
			return;
		}

		const nowMs = clock.now();
		const order = rollouts.openOrders.get(rollout.service);
		const evidence = this.historyOf(rollout).compare(rollouts.outcomes.strata(rollout.orderId), nowMs);
		const change = order === undefined
			? {phase: RolloutPhase.RolledBack, reason: 'the order was withdrawn'}
			: decidePhase({...this.progressOf(rollout, nowMs), verdict: evidence.verdict});
		if (change && await this.commit({...rollout, phase: change.phase}, signal)) {
			log.info('roll-out changes phase.', {
				service: rollout.service, order: rollout.orderId, version: rollout.version, from: rollout.phase, to: change.phase, reason: change.reason, elapsedMs: Math.round(nowMs - rollout.startedAtMs), ...toLogContext(evidence),
			});
		}
	}

	/** Drops the answers under orders that have ended or were superseded. */
	private retainHistories(): void {
		const openIds = new Set(this.dependencies.rollouts.all().filter(({phase}) => !isFinalPhase(phase)).map(({orderId}) => orderId));
		for (const orderId of this.histories.keys()) {
			if (!openIds.has(orderId)) {
				this.histories.delete(orderId);
			}
		}
	}

	private historyOf({orderId}: Rollout): OutcomeHistory {
		const history = this.histories.get(orderId) ?? new OutcomeHistory();
		this.histories.set(orderId, history);
		return history;
	}

	private progressOf(rollout: Rollout, nowMs: number) {
		const ready = this.readyBackends(rollout.service);
		const isCurrent = ({version}: {version: string}) => rollout.currentVersions.includes(version);
		const current = this.dependencies.backends.listed().filter(({backend}) => backend.service === rollout.service && isCurrent(backend));
		let inFlightCurrent = 0;
		for (const {backend} of current) {
			inFlightCurrent += this.dependencies.inFlight(backend.id, nowMs);
		}

		return {
			phase: rollout.phase,
			elapsedMs: nowMs - rollout.startedAtMs,
			inPhaseMs: nowMs - (this.phaseSinceMs.get(rollout.orderId) ?? nowMs),
			durationMs: rollout.durationMs,
			readyCurrent: ready.filter(backend => isCurrent(backend)).length,
			readyNext: ready.filter(({version}) => version === rollout.version).length,
			inFlightCurrent,
		};
	}

	private readyBackends(service: string) {
		return this.dependencies.backends.listed().filter(({backend, leavingSinceMs}) => backend.service === service && leavingSinceMs === undefined).map(({backend}) => backend);
	}

	/** Commits a roll-out's phase to the store, and applies it; returns false when another daemon has appended meanwhile. */
	private async commit(rollout: Rollout, signal: AbortSignal): Promise<boolean> {
		const {lease, clock, rollouts} = this.dependencies;
		const nowMs = clock.now();
		const others = rollouts.all().filter(({service}) => service !== rollout.service);
		const committed: CommittedRollouts = {atMs: clock.wallTimeMs(), rollouts: [...others, rollout].map(each => toUpdate(each, nowMs))};
		if (!await lease.commit(DutyKey.Rollouts, Buffer.from(JSON.stringify(committed)), signal)) {
			return false;
		}

		rollouts.apply(rollout, clock.now());
		this.phaseSinceMs.set(rollout.orderId, clock.now());
		this.outdatedStatuses.add(rollout.service);
		return true;
	}

	/** Writes the status of services whose phase has changed. */
	private async writeStatuses(signal: AbortSignal): Promise<void> {
		const {store, records, rollouts, lease, clock} = this.dependencies;
		for (const service of this.outdatedStatuses) {
			const {version, phase} = rollouts.get(service)!;
			if (this.statusEnd === undefined) {
				// eslint-disable-next-line no-await-in-loop -- each append expects the end that the one before left.
				const newest = await store.readNewest(Topic.Status, statusReadTimeoutMs, signal);
				this.statusEnd = newest.end;
			}

			if (lease.tokenAt(clock.now()) === undefined) {
				return;
			}

			const status = records.encodeRolloutStatus({service, version, state: statesByPhase[phase]});
			// eslint-disable-next-line no-await-in-loop
			const result = await store.append(Topic.Status, status, this.statusEnd, signal);
			if (result.kind === 'conflict') {
				this.statusEnd = undefined;
				return;
			}

			this.statusEnd = result.offset + 1;
			this.outdatedStatuses.delete(service);
			log.info('roll-out status written.', {service, version, state: statesByPhase[phase]});
		}
	}

	private rejectOnce({orderId, service, version}: ReceivedOrder, reason: string): void {
		if (!this.rejectedOrders.has(orderId)) {
			this.rejectedOrders.add(orderId);
			log.warn('roll-out order cannot be carried out.', {
				order: orderId, service, version, reason,
			});
		}
	}
}

/** Returns the versions that must not serve after a new order: those of earlier orders that were not completed. */
function rejectedBefore(order: ReceivedOrder, previous: Rollout | undefined): string[] | undefined {
	const unfinished = previous && previous.phase !== RolloutPhase.Completed ? [previous.version] : [];
	const rejected = [...previous?.rejectedVersions ?? [], ...unfinished].filter(version => version !== order.version);
	return rejected.length > 0 ? [...new Set(rejected)] : undefined;
}

function toLogContext({verdict, answers, bad, worst, worstRoute, worstMetric}: Evidence): Record<string, unknown> {
	return {
		verdict, answers, failures: bad, evidence: Number.isFinite(worst) ? Math.round(worst * 10) / 10 : undefined, evidenceRoute: worstRoute, evidenceMetric: worstMetric,
	};
}
