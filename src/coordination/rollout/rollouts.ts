/**
 * Which versions of a service may receive requests. It decides from the roll-outs that the duty
 * holder has committed and from the versions that ran when this daemon first read the list of
 * backend servers. Placement, retries, moves and the pool ask here, and know nothing of phases,
 * shares or verdicts.
 *
 * A version that neither ran before nor is part of a roll-out receives nothing: a daemon that
 * has not learned of an order yet must not send requests to an untested version.
 */
import {type RolloutUpdate} from '../../protocol/fleet-messages.js';
import {type ServiceBounds} from '../../protocol/platform.js';
import {type Backend, type RolloutOrder} from '../../protocol/serving.js';
import {createLogger} from '../../log.js';
import {CanaryTraffic, selectCanaries} from './canary-traffic.js';
import {
	fromUpdate, isFinalPhase, type Rollout, RolloutPhase, supersedes, toUpdate,
} from './rollout.js';
import {UsualTimes, VersionOutcomes} from './version-outcomes.js';
import {OutcomeMetric} from './version-verdict.js';

const log = createLogger('rollout');

/** A change is sent to other daemons for this many milliseconds: eight rounds, since some datagrams may be lost. */
const gossipMs = 2000;
/** Time before an order is due at which engines of the current version are treated as gone, in milliseconds. */
const stopLeadMs = 500;
/** A request that got no answer in time counts as slower than any other, in milliseconds. */
const noAnswerMs = Number.POSITIVE_INFINITY;

/** An order as it was read from the store. */
export type ReceivedOrder = RolloutOrder & {orderId: number; receivedAtMs: number};

type KnownRollout = {rollout: Rollout; changedAtMs: number; traffic: CanaryTraffic};

/** The roll-outs that one daemon knows of. */
export class Rollouts {
	readonly outcomes = new VersionOutcomes();
	private readonly usualTimes = new UsualTimes();
	private readonly known = new Map<string, KnownRollout>();
	private readonly orders = new Map<string, ReceivedOrder>();
	/** The versions that may serve without a roll-out, by service. */
	private readonly servingVersions = new Map<string, ReadonlySet<string>>();

	/** @param random Returns a uniform random number from 0 to 1. */
	constructor(
		private readonly bounds: Pick<ServiceBounds, 'canaryShare'>,
		private readonly random: () => number,
	) {}

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

	/** Learns the serving versions from the first full list of backend servers. */
	noteBackends(backends: Backend[]): void {
		for (const service of new Set(backends.map(backend => backend.service))) {
			this.versionsOf(service, backends.filter(backend => backend.service === service));
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
		this.servingVersions.set(rollout.service, new Set(rollout.phase === RolloutPhase.Completed ? [rollout.version] : rollout.currentVersions));
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
	filter(service: string, candidates: Backend[], isCanary: boolean): Backend[] {
		const rollout = this.get(service);
		const next = rollout && !isFinalPhase(rollout.phase) ? candidates.filter(({version}) => version === rollout.version) : [];
		if (rollout && next.length > 0 && rollout.phase === RolloutPhase.Shift) {
			return next;
		}

		if (rollout && next.length > 0 && isCanary && rollout.phase === RolloutPhase.Canary) {
			return selectCanaries(rollout.orderId, next, this.bounds.canaryShare);
		}

		const versions = this.versionsOf(service, candidates);
		return candidates.every(({version}) => versions.has(version)) ? candidates : candidates.filter(({version}) => versions.has(version));
	}

	/** Whether a backend server that was selected before may still receive a request. */
	mayReceive(backend: Backend): boolean {
		const rollout = this.get(backend.service);
		const isNext = rollout !== undefined && !isFinalPhase(rollout.phase) && backend.version === rollout.version;
		return isNext || this.versionsOf(backend.service, [backend]).has(backend.version);
	}

	/** Whether a backend server is part of the pool that serves the traffic, rather than being tested or replaced. */
	belongsToPool({service, version}: Backend): boolean {
		const rollout = this.get(service);
		if (rollout?.phase === RolloutPhase.Shift) {
			return version === rollout.version;
		}

		return this.servingVersions.get(service)?.has(version) ?? true;
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
			servingVersions: Object.fromEntries([...this.servingVersions].map(([service, versions]) => [service, [...versions]])),
		};
	}

	/**
	 * Returns the versions that may serve a service without a roll-out. Where several run and
	 * nothing is known, an ordered version is not yet one of them, and of the others it is the
	 * one that most backend servers run.
	 */
	private versionsOf(service: string, backends: Backend[]): ReadonlySet<string> {
		const known = this.servingVersions.get(service);
		if (known) {
			return known;
		}

		if (backends.length === 0) {
			return new Set();
		}

		const counts = new Map<string, number>();
		for (const {version} of backends) {
			counts.set(version, (counts.get(version) ?? 0) + 1);
		}

		const ordered = this.orders.get(service)?.version;
		const untested = counts.size > 1 ? ordered : undefined;
		const [version] = [...counts].filter(([candidate]) => candidate !== untested).toSorted((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))[0];
		const versions = new Set([version]);
		this.servingVersions.set(service, versions);
		if (counts.size > 1) {
			log.warn('several versions of a service run, only one of them is used.', {service, used: version, found: [...counts.keys()].join(',')});
		}

		return versions;
	}
}
