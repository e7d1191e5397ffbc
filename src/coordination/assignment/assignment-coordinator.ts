/**
 * Coordinates the groups of backend servers that fall to this daemon: keeps a ledger for each
 * and feeds it with what the daemon knows of the backend servers. A daemon that has just become
 * the coordinator, or was paused, declines requests until its predecessor has certainly ceased
 * to decide; what that one assigned counts by the requests in flight that daemons report.
 */
import {
	type AssignmentDecision, type AssignmentEnd, type AssignmentExplanation, type AssignmentId, type AssignmentRequest, type AssignableBackend,
} from '../../protocol/assignment.js';
import {type Backend} from '../../protocol/serving.js';
import {backendKey} from '../fleet/backend-key.js';
import {RecentMaximum} from '../recent-maximum.js';
import {AssignmentLedger} from './assignment-ledger.js';
import {type AssignmentGroup, type GroupIdentity} from './assignment-groups.js';

/** Time for which a daemon must have been the coordinator before it decides, in milliseconds: the time after which others see that its predecessor is silent. */
const settleMs = 300;
/** Pause of the daemon after which another one may have decided in its place, in milliseconds. */
const maxPauseMs = 600;
/** Interval at which the backend servers of a group are looked up, in milliseconds. */
const refreshMs = 20;
/** Window over which the minimum of the requests in flight beyond the assigned ones is taken, in milliseconds: the reports lag behind the assignments by up to a second. */
const elsewhereWindowMs = 1000;

/** What a {@link AssignmentCoordinator} depends on. */
export type CoordinatorParts = {
	/** Returns the backend servers of a group that may get new work. */
	backends: (group: Pick<AssignmentGroup, 'service' | 'failureDomain'>, nowMs: number) => Backend[];
	/** Returns the requests in flight at a backend server, as all daemons report. */
	inFlight: (backend: Backend, nowMs: number) => number;
	/** Returns the traits of a service's engines; undefined for a plain service. */
	engine: (service: string) => {kvTokens?: number} | undefined;
	paceFactor: (backend: Backend, nowMs: number) => number;
	/** Whether a daemon has certainly ended. */
	isGone: (daemon: string, nowMs: number) => boolean;
	/** Whether this daemon coordinates a group now. */
	isCoordinator: (group: string, nowMs: number) => boolean;
};

type Coordination = {
	group: GroupIdentity;
	ledger: AssignmentLedger;
	sinceMs: number;
	refreshedAtMs: number;
	elsewhere: Map<number, RecentMaximum>;
	/** The last known start of each daemon that has asked. */
	incarnations: Map<string, string>;
};

/** The groups that this daemon coordinates. */
export class AssignmentCoordinator {
	private readonly coordinations = new Map<string, Coordination>();
	private activeAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: CoordinatorParts) {}

	/** The groups that this daemon coordinates, and decides on. */
	get groups(): GroupIdentity[] {
		return [...this.coordinations.values()].map(({group}) => group);
	}

	/** Keeps track of the groups that fall to this daemon; called in each round for all groups of assigned services. */
	update(groups: AssignmentGroup[], nowMs: number): void {
		this.noteActive(nowMs);
		const coordinated = new Map(groups.filter(({name}) => this.parts.isCoordinator(name, nowMs)).map(group => [group.name, group]));
		for (const name of this.coordinations.keys()) {
			if (!coordinated.has(name)) {
				this.coordinations.delete(name);
			}
		}

		for (const [name, {service, failureDomain}] of coordinated) {
			if (!this.coordinations.has(name)) {
				this.coordinations.set(name, {
					group: {name, service, failureDomain}, ledger: new AssignmentLedger(), sinceMs: nowMs, refreshedAtMs: Number.NEGATIVE_INFINITY, elsewhere: new Map(), incarnations: new Map(),
				});
			}
		}
	}

	/** Decides on a request; undefined if this daemon does not decide on the group now. */
	request(group: GroupIdentity, request: AssignmentRequest, nowMs: number): {decisions: AssignmentDecision[]; waitMs: number} | undefined {
		const ledger = this.ledger(group, nowMs);
		if (!ledger) {
			return undefined;
		}

		const earlier = [...this.noteIncarnation(group, request, nowMs), ...this.refresh(group, nowMs)];
		// A view without backend servers may be a stale one, by which nobody is refused.
		if (ledger.isEmpty) {
			return undefined;
		}

		const decisions = [...earlier, ...ledger.request(request, nowMs)];
		return {decisions, waitMs: ledger.waitMs(request.priority, nowMs)};
	}

	/** Records the end of an assigned request. */
	end(group: GroupIdentity, end: AssignmentEnd, nowMs: number): AssignmentDecision[] {
		return this.ledger(group, nowMs)?.end(end, nowMs) ?? [];
	}

	withdraw(group: GroupIdentity, id: AssignmentId, nowMs: number): AssignmentDecision[] {
		return this.ledger(group, nowMs)?.withdraw(id, nowMs) ?? [];
	}

	/** Drops expired and abandoned requests of a group, and assigns queued ones. */
	check(group: GroupIdentity, nowMs: number): AssignmentDecision[] {
		const ledger = this.ledger(group, nowMs);
		return ledger ? [...this.dropGone(group, nowMs), ...this.refresh(group, nowMs), ...ledger.expire(nowMs)] : [];
	}

	/** Whether requests wait in a group. */
	hasQueue(group: string): boolean {
		return (this.coordinations.get(group)?.ledger.queued ?? 0) > 0;
	}

	/** Returns the present predictions for the requests that wait in a group and whose daemons have not heard of them for long. */
	queueNotices(group: GroupIdentity, nowMs: number): AssignmentDecision[] {
		return this.ledger(group, nowMs)?.queueNotices(nowMs) ?? [];
	}

	/** Tells what would be decided on a request; undefined if this daemon does not decide on the group now. */
	explain(group: GroupIdentity, request: AssignmentRequest, nowMs: number): AssignmentExplanation | undefined {
		return this.ledger(group, nowMs)?.explain(request, nowMs);
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.coordinations].map(([group, {ledger, sinceMs}]) => ({group, forMs: Math.round(nowMs - sinceMs), ...ledger.toJson(nowMs) as Record<string, unknown>}));
	}

	/** Returns the ledger of a group if this daemon may decide on it. */
	private ledger({name}: GroupIdentity, nowMs: number): AssignmentLedger | undefined {
		this.noteActive(nowMs);
		const coordination = this.coordinations.get(name);
		return coordination && nowMs - coordination.sinceMs >= settleMs ? coordination.ledger : undefined;
	}

	/** Records that this daemon runs: after a pause, another one may have decided in its place. */
	private noteActive(nowMs: number): void {
		if (nowMs - this.activeAtMs > maxPauseMs) {
			this.coordinations.clear();
		}

		this.activeAtMs = nowMs;
	}

	/** Drops what daemons held that are gone. */
	private dropGone({name}: GroupIdentity, nowMs: number): AssignmentDecision[] {
		const {ledger, incarnations} = this.coordinations.get(name)!;
		const gone = [...incarnations.keys()].filter(daemon => this.parts.isGone(daemon, nowMs));
		for (const daemon of gone) {
			incarnations.delete(daemon);
		}

		return gone.flatMap(daemon => ledger.drop(daemon, undefined, nowMs));
	}

	/** Drops what an earlier start of a daemon held. */
	private noteIncarnation({name}: GroupIdentity, {daemon, incarnation}: AssignmentId, nowMs: number): AssignmentDecision[] {
		const {ledger, incarnations} = this.coordinations.get(name)!;
		const known = incarnations.get(daemon);
		incarnations.set(daemon, incarnation);
		return known === undefined || known === incarnation ? [] : ledger.drop(daemon, incarnation, nowMs);
	}

	/** Brings the backend servers of a group up to date. */
	private refresh(group: GroupIdentity, nowMs: number): AssignmentDecision[] {
		const coordination = this.coordinations.get(group.name);
		if (!coordination || nowMs - coordination.refreshedAtMs < refreshMs) {
			return [];
		}

		coordination.refreshedAtMs = nowMs;
		const {backends, engine} = this.parts;
		const traits = engine(group.service);
		const usable = backends(group, nowMs);
		dropMissing(coordination.elsewhere, usable);
		return coordination.ledger.update(usable.map(backend => this.describe(backend, coordination, traits, nowMs)), nowMs);
	}

	private describe(backend: Backend, {ledger, elsewhere}: Coordination, traits: {kvTokens?: number} | undefined, nowMs: number): AssignableBackend {
		const key = backendKey(backend.id);
		const leastElsewhere = elsewhere.get(key) ?? new RecentMaximum(elsewhereWindowMs);
		elsewhere.set(key, leastElsewhere);
		return {
			key,
			slots: backend.slots,
			kvTokens: traits?.kvTokens,
			paceFactor: this.parts.paceFactor(backend, nowMs),
			// The minimum, as the negative of the maximum of the negative values.
			inFlightElsewhere: Math.max(0, -leastElsewhere.note(ledger.assigned(key) - this.parts.inFlight(backend, nowMs), nowMs)),
			isEngine: traits !== undefined,
			isCold: backend.coldForMs > 0,
		};
	}
}

/** Drops what is kept of backend servers that are not in use any more. */
function dropMissing(kept: Map<number, unknown>, usable: Backend[]): void {
	const keys = new Set(usable.map(({id}) => backendKey(id)));
	for (const key of kept.keys()) {
		if (!keys.has(key)) {
			kept.delete(key);
		}
	}
}
