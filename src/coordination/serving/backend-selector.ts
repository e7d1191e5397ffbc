/** Selects the backend server for a request's next attempt, among those that may receive it. */
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {backendKey} from '../fleet/backend-key.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type PlacementChoice, type Placement} from '../placement.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {SendPermission, type StatedLimits} from '../stated-limits.js';
import {type ServedRequest} from './served-request.js';

/** What a {@link BackendSelector} depends on. */
export type BackendSelectorDependencies = {
	backends: BackendTable;
	placement: Placement;
	fleet: FleetTable;
	quarantine: Quarantine;
	statedLimits: StatedLimits;
	rollouts: Rollouts;
	clock: SteadyClock;
};

/** Selects backend servers by load, health, stated rate limits and version. */
export class BackendSelector {
	constructor(private readonly dependencies: BackendSelectorDependencies) {}

	/** Selects the backend server that a request would be sent to now, other than the one that is running it. */
	select(served: ServedRequest, currentBackendId?: string): PlacementChoice | undefined {
		const {backends, placement, fleet, quarantine, rollouts, clock} = this.dependencies;
		const {request, service} = served.inputs;
		const nowMs = clock.now();
		const excluded = currentBackendId === undefined ? served.excluded : new Set([...served.excluded, currentBackendId]);
		return placement.choose({
			candidates: this.filterByRateLimit(rollouts.filter(service, backends.candidates(service, nowMs), this.isCanary(served)), excluded, nowMs),
			excluded,
			promptTokens: request.promptTokens ?? 0,
			promptParts: request.promptParts,
			isSuspect: !quarantine.isEmpty && quarantine.isSuspect(served.fingerprint),
			peersInFlight: id => fleet.inFlight(backendKey(id), nowMs),
			random: () => Math.random(),
			nowMs,
		});
	}

	/**
	 * Charges a run to the rate limit of its backend server. This happens on selection, not on
	 * sending: many streams that select their next engines at once would exceed the limit.
	 *
	 * @returns Whether the backend server has a rate limit.
	 */
	chargeRateLimit({id}: Backend): boolean {
		const {statedLimits, clock} = this.dependencies;
		statedLimits.noteSent(id, clock.now());
		return statedLimits.isLimited(id);
	}

	/** Whether a backend server that was selected earlier may still receive the request; `isRateLimitCharged` tells whether the request is already charged to its rate limit. */
	isUsable(served: ServedRequest, backend: Backend, isRateLimitCharged: boolean): boolean {
		const {backends, statedLimits, rollouts, clock} = this.dependencies;
		const entry = backends.get(backend.id);
		const isStaying = entry !== undefined && entry.leavingSinceMs === undefined;
		return isStaying && rollouts.mayReceive(backend) && !served.excluded.has(backend.id) && (isRateLimitCharged || statedLimits.permission(backend.id, clock.now()) !== SendPermission.Withheld);
	}

	/** Milliseconds until a rate-limited backend server of the request's service may receive a request; undefined when none of them is rate-limited. */
	rateLimitWaitMs(served: ServedRequest, nowMs: number): number | undefined {
		const {statedLimits, backends} = this.dependencies;
		return statedLimits.isEmpty ? undefined : statedLimits.retryAfterMs(backends.candidates(served.inputs.service, nowMs).map(({id}) => id), nowMs);
	}

	/** Whether a request tests the version that is being rolled out. Only first attempts do: a request that failed must not meet an untested version again. */
	private isCanary(served: ServedRequest): boolean {
		if (served.attempts.length > 0) {
			return false;
		}

		const {service, route} = served.inputs;
		served.isCanary ??= this.dependencies.rollouts.drawCanary(service, route.name);
		return served.isCanary;
	}

	/** Returns the candidates whose rate limits allow a request now. If the limit of any of them has not been confirmed recently, returns only those, so that this request refreshes it. */
	private filterByRateLimit(candidates: Backend[], excluded: ReadonlySet<string>, nowMs: number): Backend[] {
		const {statedLimits} = this.dependencies;
		if (statedLimits.isEmpty) {
			return candidates;
		}

		const permissions = new Map(candidates.map(({id}) => [id, statedLimits.permission(id, nowMs)]));
		const due = candidates.filter(({id}) => permissions.get(id) === SendPermission.ProbeDue && !excluded.has(id));
		return due.length > 0 ? due : candidates.filter(({id}) => permissions.get(id) !== SendPermission.Withheld);
	}
}
