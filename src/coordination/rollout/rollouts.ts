/**
 * Which versions of a service may receive requests. It decides from the roll-outs that the duty
 * holder has committed, the operators' orders and the versions that are listed. Placement,
 * retries, moves and the pool ask here, and know nothing of phases, shares or verdicts.
 */
import {type RolloutUpdate} from '../../protocol/fleet-messages.js';
import {type ServiceBounds} from '../../protocol/platform.js';
import {type Backend, type RolloutOrder} from '../../protocol/serving.js';
import {createLogger} from '../../log.js';
import {CanaryTraffic, selectCanaries} from './canary-traffic.js';
import {
	fromUpdate, isFinalPhase, type Rollout, RolloutPhase, supersedes, toUpdate,
} from './rollout.js';
import {ServingVersions, type VersionEvidence} from './serving-versions.js';
import {UsualTimes, VersionOutcomes} from './version-outcomes.js';
import {OutcomeMetric} from './version-verdict.js';

const log = createLogger('rollout');

/** A change is sent to other daemons for this many milliseconds: eight rounds, since some datagrams may be lost. */
const gossipMs = 2000;
/** Time before an order is due at which engines of the current version are treated as gone, in milliseconds. */
const stopLeadMs = 500;
/** A request that got no answer in time counts as slower than any other, in milliseconds. */
const noAnswerMs = Number.POSITIVE_INFINITY;

const noVersions: ReadonlySet<string> = new Set();

/** An order as it was read from the store. */
export type ReceivedOrder = RolloutOrder & {orderId: number; receivedAtMs: number};

type KnownRollout = {rollout: Rollout; changedAtMs: number; traffic: CanaryTraffic};

/** The roll-outs that one daemon knows of. */
export class Rollouts {
	readonly outcomes = new VersionOutcomes();
	private readonly usualTimes = new UsualTimes();
	private readonly known = new Map<string, KnownRollout>();
	private readonly orders = new Map<string, ReceivedOrder>();
	/** The versions that may serve without a roll-out. */
	private readonly servingVersions: ServingVersions;

	/** @param random Returns a uniform random number from 0 to 1. */
	constructor(
		private readonly bounds: Pick<ServiceBounds, 'canaryShare'>,
		private readonly random: () => number,
		evidence: VersionEvidence,
	) {
		this.servingVersions = new ServingVersions(evidence);
	}

	/** Records the operator's newest order for a service; undefined when there is none any more, or none that can be read. */
	noteOrder(service: string, order: ReceivedOrder | undefined): void {
		if (order) {
			this.orders.set(service, order);
		} else {
			this.orders.delete(service);
		}
	}

	/** Drops the orders of all services but those given. */
	retainOrders(services: ReadonlySet<string>): void {
		for (const service of this.orders.keys()) {
			if (!services.has(service)) {
				this.orders.delete(service);
			}
		}
	}

	/** The operator's newest orders, by service. */
	get openOrders(): ReadonlyMap<string, ReceivedOrder> {
		return this.orders;
	}

	/** Learns the versions from a full list of backend servers. */
	noteBackends(backends: Backend[], nowMs: number): void {
		for (const service of new Set(backends.map(backend => backend.service))) {
			this.versionsOf(service, backends.filter(backend => backend.service === service), nowMs);
		}
	}

	/** Returns the roll-out of a service, also after its end. */
	get(service: string): Rollout | undefined {
		return this.known.get(service)?.rollout;
	}

	/** Returns all roll-outs that were not superseded. */
	all(): Rollout[] {
		return [...this.known.values()].map(({rollout}) => rollout);
	}

	/** Applies a committed roll-out; returns whether it was new. */
	apply(rollout: Rollout, nowMs: number): boolean {
		const previous = this.known.get(rollout.service);
		if (!supersedes(rollout, previous?.rollout)) {
			return false;
		}

		const isSameOrder = previous?.rollout.orderId === rollout.orderId;
		this.known.set(rollout.service, {rollout, changedAtMs: nowMs, traffic: isSameOrder ? previous.traffic : new CanaryTraffic(this.random)});
		this.servingVersions.replace(rollout.service, rollout.phase === RolloutPhase.Completed ? [rollout.version] : rollout.currentVersions);
		this.outcomes.retain(new Set(this.all().filter(({phase}) => !isFinalPhase(phase)).map(({orderId}) => orderId)));
		log.info('roll-out phase applied.', {
			service: rollout.service, order: rollout.orderId, version: rollout.version, currentVersions: rollout.currentVersions.join(','), phase: rollout.phase, ageMs: Math.round(nowMs - rollout.startedAtMs),
		});
		return true;
	}

	/** Returns the updates for other daemons: recent changes, or all roll-outs with `includesAll`. */
	updates(includesAll: boolean, nowMs: number): RolloutUpdate[] {
		return [...this.known.values()]
			.filter(({changedAtMs, rollout}) => includesAll || !isFinalPhase(rollout.phase) || nowMs - changedAtMs <= gossipMs)
			.map(({rollout}) => toUpdate(rollout, nowMs));
	}

	/** Applies the updates that another daemon sent. */
	applyUpdates(updates: RolloutUpdate[], nowMs: number): void {
		for (const update of updates) {
			const rollout = fromUpdate(update, 0, nowMs);
			if (rollout) {
				this.apply(rollout, nowMs);
			}
		}
	}

	/** Whether nothing was ever rolled out, so that there is nothing to send. */
	get isEmpty(): boolean {
		return this.known.size === 0;
	}

	/** Draws whether the next request of a route tests the new version of its service. */
	drawCanary(service: string, route: string): boolean {
		const known = this.known.get(service);
		return known?.rollout.phase === RolloutPhase.Canary && known.traffic.draw(route, this.bounds.canaryShare);
	}

	/** Returns the backend servers of a service that may receive a request, among those that accept work. */
	filter(service: string, candidates: Backend[], isCanary: boolean, nowMs: number): Backend[] {
		const rollout = this.get(service);
		const next = rollout && !isFinalPhase(rollout.phase) ? candidates.filter(({version}) => version === rollout.version) : [];
		if (rollout && next.length > 0 && rollout.phase === RolloutPhase.Shift) {
			return next;
		}

		if (rollout && next.length > 0 && isCanary && rollout.phase === RolloutPhase.Canary) {
			return selectCanaries(rollout.orderId, next, this.bounds.canaryShare);
		}

		const versions = this.versionsOf(service, candidates, nowMs);
		return candidates.every(({version}) => versions.has(version)) ? candidates : candidates.filter(({version}) => versions.has(version));
	}

	/** Whether a backend server that was selected before may still receive a request. */
	mayReceive(backend: Backend, nowMs: number): boolean {
		const rollout = this.get(backend.service);
		const isNext = rollout !== undefined && !isFinalPhase(rollout.phase) && backend.version === rollout.version;
		return isNext || this.versionsOf(backend.service, [backend], nowMs).has(backend.version);
	}

	/** Whether a backend server is part of the pool that serves the traffic, rather than being tested or replaced. */
	belongsToPool({service, version}: Backend): boolean {
		const rollout = this.get(service);
		if (rollout?.phase === RolloutPhase.Shift) {
			return version === rollout.version;
		}

		return !this.servingVersions.isWithheld(service, version, this.withheldVersions(service));
	}

	/** When a backend server stops because its version has been replaced; undefined if it does not. */
	stopsAtMs({service, version}: Backend): number | undefined {
		const rollout = this.get(service);
		if (rollout?.phase !== RolloutPhase.Shift || !rollout.currentVersions.includes(version)) {
			return undefined;
		}

		return rollout.startedAtMs + rollout.durationMs - stopLeadMs;
	}

	/** Records an answer: its status, and the time until it began, in milliseconds; an undefined status means that there was none in time. */
	noteAnswer(backend: Backend, route: string, status: number | undefined, ms: number): void {
		const isFailure = status !== undefined && status >= 500;
		const rollout = this.get(backend.service);
		const isNext = backend.version === rollout?.version;
		if (rollout && !isFinalPhase(rollout.phase)) {
			const source = {
				orderId: rollout.orderId, isNext, failureDomain: backend.failureDomain, route,
			};
			this.outcomes.count(source, OutcomeMetric.Failure, isFailure);
			if (!isFailure) {
				this.outcomes.count(source, OutcomeMetric.Slow, this.usualTimes.isSlow(route, status === undefined ? noAnswerMs : ms));
			}
		}

		if (status !== undefined && !isFailure && !isNext) {
			this.usualTimes.note(route, ms);
		}
	}

	/** Returns the roll-outs and the serving versions for the state dump. */
	toJson(): unknown {
		return {
			rollouts: this.all(),
			orders: [...this.orders.values()],
			servingVersions: this.servingVersions.toJson(),
		};
	}

	/** Returns the versions that may serve a service without a roll-out. */
	private versionsOf(service: string, backends: Backend[], nowMs: number): ReadonlySet<string> {
		// An order whose roll-out is not known yet may have been preceded by others, whose versions must not serve.
		const mayAdd = this.orders.has(service) ? this.known.has(service) : true;
		return this.servingVersions.update(service, backends, {withheld: this.withheldVersions(service), mayAdd}, nowMs);
	}

	/** Returns the versions that must not serve: those that are or were ordered and are not proven, and those that a completed roll-out has replaced. */
	private withheldVersions(service: string): ReadonlySet<string> {
		const rollout = this.get(service);
		const order = this.orders.get(service);
		if (!rollout && !order) {
			return noVersions;
		}

		const isCompleted = rollout?.phase === RolloutPhase.Completed;
		const replaced = isCompleted ? rollout.currentVersions.filter(version => version !== rollout.version) : [];
		const ordered = [isCompleted ? undefined : rollout?.version, order?.version].filter(version => version !== undefined && !(isCompleted && version === rollout.version));
		return new Set([...replaced, ...rollout?.rejectedVersions ?? [], ...ordered as string[]]);
	}
}
