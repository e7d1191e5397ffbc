/** Selects the backend server for a request's next attempt, among those that may receive it. */
import {type Backend, type CallerRequest} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {type Cooldowns} from '../cooldowns.js';
import {backendKey} from '../fleet/backend-key.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type PlacementChoice, type Placement} from '../placement.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {type SlotExchange} from '../slots/slot-exchange.js';
import {SendPermission, type StatedLimits} from '../stated-limits.js';
import {type ServedRequest} from './served-request.js';

/** What a {@link BackendSelector} depends on. */
export type BackendSelectorDependencies = {
	backends: BackendTable;
	placement: Placement;
	fleet: FleetTable;
	quarantine: Quarantine;
	statedLimits: StatedLimits;
	cooldowns: Cooldowns;
	slots: Pick<SlotExchange, 'leases'>;
	rollouts: Rollouts;
	clock: SteadyClock;
};

/** One backend server as this daemon's own placement sees it. */
export type ExplainedBackend = {
	backend: string;
	failureDomain: string;
	costMs: number;
	waitMs: number;
	cachedTokens: number;
	inFlight: number;
	/** Why it gets no request now; undefined if it may. */
	excludedReason: string | undefined;
};

/** Selects backend servers by load, health, stated rate limits, cooldowns and version. */
export class BackendSelector {
	constructor(private readonly dependencies: BackendSelectorDependencies) {}

	/** Selects the backend server that a request would be sent to now, other than the one that is running it. */
	select(served: ServedRequest, currentBackendId?: string): PlacementChoice | undefined {
		const {placement, fleet, quarantine, clock} = this.dependencies;
		const {request} = served.inputs;
		const nowMs = clock.now();
		const excluded = currentBackendId === undefined ? served.excluded : new Set([...served.excluded, currentBackendId]);
		return placement.choose({
			candidates: this.filterByRateLimit(this.filterByRoom(this.filterByCooldown(this.filterByVersion(served, nowMs), nowMs), nowMs), excluded, nowMs),
			excluded,
			promptTokens: request.promptTokens ?? 0,
			promptParts: request.promptParts,
			isSuspect: !quarantine.isEmpty && quarantine.isSuspect(served.fingerprints),
			peersInFlight: id => fleet.inFlight(backendKey(id), nowMs),
			random: () => Math.random(),
			nowMs,
		});
	}

	/** Tells what this daemon's own placement makes of each backend server of a service for the first attempt of a request, the cheapest first; changes nothing. */
	explain(service: string, {promptTokens, promptParts}: CallerRequest, nowMs: number): ExplainedBackend[] {
		const {backends, placement, fleet, rollouts, cooldowns, slots, statedLimits} = this.dependencies;
		const candidates = backends.candidates(service, nowMs);
		const versions = new Set(rollouts.filter(service, candidates, false, nowMs).map(({id}) => id));
		const findExclusion = (backend: Backend) => {
			if (!versions.has(backend.id)) {
				return 'version';
			}

			if (cooldowns.isCoolingDown(backend, nowMs)) {
				return 'cools down';
			}

			if (!slots.leases.hasRoom(backend.id, nowMs)) {
				return 'no slot';
			}

			return statedLimits.permission(backend.id, nowMs) === SendPermission.Withheld ? 'rate limit' : undefined;
		};

		const estimates = placement.estimateAll({
			candidates, promptTokens: promptTokens ?? 0, promptParts, peersInFlight: id => fleet.inFlight(backendKey(id), nowMs), nowMs,
		});
		return estimates.toSorted((a, b) => a.costMs - b.costMs).map(({backend, costMs, waitMs, cachedTokens, inFlight}) => ({
			backend: backend.id, failureDomain: backend.failureDomain, costMs: Math.round(costMs), waitMs: Math.round(waitMs), cachedTokens: Math.round(cachedTokens), inFlight, excludedReason: findExclusion(backend),
		}));
	}

	/** Whether a service has backend servers that accept work. */
	hasCandidates(service: string): boolean {
		const {backends, clock} = this.dependencies;
		return backends.candidates(service, clock.now()).length > 0;
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
		const {backends, statedLimits, cooldowns, rollouts, clock} = this.dependencies;
		const nowMs = clock.now();
		const entry = backends.get(backend.id);
		const isStaying = entry !== undefined && entry.leavingSinceMs === undefined;
		const isWithinLimit = isRateLimitCharged || statedLimits.permission(backend.id, nowMs) !== SendPermission.Withheld;
		return isStaying && isWithinLimit && !cooldowns.isCoolingDown(backend, nowMs) && this.dependencies.slots.leases.hasRoom(backend.id, nowMs) && (served.version === undefined ? rollouts.mayReceive(backend, nowMs) : served.fitsVersion(backend)) && !served.excluded.has(backend.id);
	}

	/** Records a stream that is to continue on the backend server to which its KV cache was moved; returns false if it must not. */
	tryContinueMoved(target: Backend): boolean {
		return this.dependencies.cooldowns.tryContinueMoved(target, this.dependencies.clock.now());
	}

	/** Milliseconds until a backend server of the request's service that now withholds its capacity may receive a request; undefined when none is rate-limited or cools down. */
	waitMs(served: ServedRequest, nowMs: number): number | undefined {
		const {statedLimits, cooldowns, slots, backends} = this.dependencies;
		const candidates = backends.candidates(served.inputs.service, nowMs).filter(backend => served.fitsVersion(backend));
		const ids = candidates.map(({id}) => id);
		const waits = [statedLimits.retryAfterMs(ids, nowMs), slots.leases.retryAfterMs(ids, nowMs), cooldowns.retryAfterMs(candidates, nowMs)].filter(wait => wait !== undefined);
		return waits.length > 0 ? Math.min(...waits) : undefined;
	}

	/** Whether a request tests the version that is being rolled out. Only first attempts do: a request that failed must not meet an untested version again. */
	isCanary(served: ServedRequest): boolean {
		if (served.attempts.length > 0) {
			return false;
		}

		const {service, route} = served.inputs;
		served.isCanary ??= this.dependencies.rollouts.drawCanary(service, route.name);
		return served.isCanary;
	}

	/** Returns the backend servers of the version at which the request's stream began; for any other request, those whose versions may receive it. */
	private filterByVersion(served: ServedRequest, nowMs: number): Backend[] {
		const {backends, rollouts} = this.dependencies;
		const {service} = served.inputs;
		const candidates = backends.candidates(service, nowMs);
		return served.version === undefined ? rollouts.filter(service, candidates, this.isCanary(served), nowMs) : candidates.filter(backend => served.fitsVersion(backend));
	}

	/** Returns the candidates that do not cool down. */
	private filterByCooldown(candidates: Backend[], nowMs: number): Backend[] {
		const {cooldowns} = this.dependencies;
		return cooldowns.isEmpty ? candidates : candidates.filter(backend => !cooldowns.isCoolingDown(backend, nowMs));
	}

	/** Returns the candidates at which a slot may be free, or that don't fail for want of one. */
	private filterByRoom(candidates: Backend[], nowMs: number): Backend[] {
		const {leases} = this.dependencies.slots;
		return candidates.filter(({id}) => leases.hasRoom(id, nowMs));
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
