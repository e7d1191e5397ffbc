/**
 * Reserves the next attempt of a request before its current run is abandoned: a backend server,
 * a retry from the retry budget, and room at an engine. Without them, a run that may still
 * succeed would be cut off with nothing to replace it.
 */
import {type EngineClient} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {type RouteTable} from '../../state/route-table.js';
import {createLogger} from '../../log.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type RetryPurpose, type RetryBudget} from '../retry-budget.js';
import {type SlotExchange} from '../slots/slot-exchange.js';
import {SlotEnd, type SlotLease} from '../slots/slot-leases.js';
import {type BackendSelector} from './backend-selector.js';
import {type ServedRequest, type RetryReservation} from './served-request.js';

const log = createLogger('reservations');

/** Longest time for which room is held, in milliseconds; the request follows at once. */
const maxHoldMs = 1000;
/** A run is replaced only if at least this share of the route's latency target is left until the deadline: engines usually begin to answer within a third of the target. */
const minLatencyTargetShare = 0.25;

/** What {@link RetryReservations} depends on. */
export type RetryReservationsDependencies = {
	selector: BackendSelector;
	retryBudget: RetryBudget;
	quarantine: Quarantine;
	slots: Pick<SlotExchange, 'acquire'>;
	engines: Pick<EngineClient, 'takeHold' | 'dropHold'>;
	routes: Pick<RouteTable, 'service'>;
	clock: SteadyClock;
	/** Aborts when the daemon stops. */
	signal: AbortSignal;
};

/** Reserves retries for runs in progress, and takes retries from the retry budget. */
export class RetryReservations {
	constructor(private readonly dependencies: RetryReservationsDependencies) {}

	/** Reserves a backend server and a retry from the budget for the next run of a request; returns whether one is reserved. */
	reserve(served: ServedRequest, currentBackendId: string, purpose: RetryPurpose, nowMs: number): boolean {
		if (this.isRetryForbidden(served) || served.remainingMs(nowMs) < served.inputs.route.latencyTargetMs * minLatencyTargetShare) {
			return false;
		}

		if (served.reservation) {
			return this.reservedBackend(served, currentBackendId) !== undefined;
		}

		// The budget first: it is what runs out under load, and selecting among a hundred engines takes most of a millisecond.
		if (!this.takeFromBudget(served, purpose, nowMs)) {
			return false;
		}

		const choice = this.dependencies.selector.select(served, currentBackendId);
		if (!choice) {
			this.returnToBudget(served, nowMs);
			return false;
		}

		served.reservation = {choice, reservedAtMs: nowMs, isRateLimitCharged: this.dependencies.selector.chargeRateLimit(choice.backend)};
		return true;
	}

	/** Whether the reserved backend server may still receive the request. */
	isReservationUsable(served: ServedRequest): boolean {
		const {reservation} = served;
		return reservation !== undefined && this.dependencies.selector.isUsable(served, reservation.choice.backend, reservation.isRateLimitCharged);
	}

	/** Returns the reserved backend server, or a newly selected one if that is leaving or has failed the request meanwhile. */
	reservedBackend(served: ServedRequest, currentBackendId?: string): Backend | undefined {
		const {reservation} = served;
		if (!reservation) {
			return undefined;
		}

		if (!this.isReservationUsable(served)) {
			const choice = this.dependencies.selector.select(served, currentBackendId);
			if (!choice) {
				return undefined;
			}

			this.endRoom(reservation);
			reservation.choice = choice;
			reservation.isRateLimitCharged = this.dependencies.selector.chargeRateLimit(choice.backend);
		}

		return reservation.choice.backend;
	}

	/** Waits for a slot of the reserved backend server; returns whether there is one. */
	async acquireSlot(served: ServedRequest): Promise<boolean> {
		const {slots, clock} = this.dependencies;
		const {reservation} = served;
		if (!reservation || reservation.slot) {
			return reservation !== undefined;
		}

		const {backend} = reservation.choice;
		const slot = await slots.acquire(backend, served.remainingMs(clock.now()));
		if (slot && (served.reservation !== reservation || reservation.choice.backend !== backend || reservation.slot)) {
			// The reservation was released or changed meanwhile.
			slot.end(SlotEnd.Free, clock.now());
			return false;
		}

		reservation.slot = slot;
		return slot !== undefined;
	}

	/** Whether the engines of a service can hold room for a request that is to follow. */
	canHold({inputs}: ServedRequest): boolean {
		return this.holdMs(inputs.service) > 0;
	}

	/** Has the reserved engine hold room for the request; returns whether it does. */
	async acquireHold(served: ServedRequest): Promise<boolean> {
		const {engines, signal} = this.dependencies;
		const {reservation} = served;
		if (!reservation || reservation.hold !== undefined) {
			return reservation !== undefined;
		}

		const {backend} = reservation.choice;
		const {service, request: {promptTokens = 0, maxOutputTokens = 0}} = served.inputs;
		const hold = await engines.takeHold(backend, {tokens: Math.max(1, promptTokens + maxOutputTokens), ttlMs: Math.min(maxHoldMs, this.holdMs(service))}, signal);
		if (hold !== undefined && (served.reservation !== reservation || reservation.choice.backend !== backend)) {
			// The reservation was released or changed meanwhile.
			this.dropHold(backend, hold);
			return false;
		}

		reservation.hold = hold;
		return hold !== undefined;
	}

	/** Returns the slot that was reserved at a backend server, for the attempt that is sent there now. */
	takeSlot({reservation}: ServedRequest, backend: Backend): SlotLease | undefined {
		if (reservation?.choice.backend.id !== backend.id) {
			return undefined;
		}

		const {slot} = reservation;
		reservation.slot = undefined;
		return slot;
	}

	/** Releases a reservation that is not needed and returns its retry to the budget. */
	release(served: ServedRequest): void {
		if (served.reservation) {
			this.endRoom(served.reservation);
			this.returnToBudget(served, served.reservation.reservedAtMs);
			served.reservation = undefined;
		}
	}

	/** Whether a request that has been sent before is quarantined and must not be sent again. */
	isRetryForbidden(served: ServedRequest): boolean {
		const {quarantine, clock} = this.dependencies;
		return served.attempts.length > 0 && !quarantine.isEmpty && quarantine.forbidsRun(served.fingerprints, clock.now());
	}

	/** Takes a retry from the retry budget; returns whether there was one. */
	takeFromBudget(served: ServedRequest, purpose: RetryPurpose, nowMs: number): boolean {
		const isTaken = this.dependencies.retryBudget.tryTake(served.inputs.service, purpose, nowMs);
		if (isTaken) {
			served.budgetStates.push(this.describeBudget(served));
		}

		return isTaken;
	}

	/** Restores a reservation whose attempt was not delivered, unless another one was made meanwhile. */
	restore(served: ServedRequest, unused: RetryReservation | undefined): void {
		if (unused && served.reservation) {
			this.endRoom(unused);
			this.returnToBudget(served, unused.reservedAtMs);
		} else {
			served.reservation ??= unused;
		}
	}

	/** Describes how much of the retry budget is used, for refusal reasons and logs. */
	describeBudget(served: ServedRequest): string {
		const {retryBudget, clock} = this.dependencies;
		return retryBudget.describe(served.inputs.service, clock.now());
	}

	private holdMs(service: string): number {
		return this.dependencies.routes.service(service)?.engine?.holdMs ?? 0;
	}

	private endRoom(reservation: RetryReservation): void {
		reservation.slot?.end(SlotEnd.Free, this.dependencies.clock.now());
		reservation.slot = undefined;
		if (reservation.hold !== undefined) {
			this.dropHold(reservation.choice.backend, reservation.hold);
			reservation.hold = undefined;
		}
	}

	private dropHold(backend: Backend, hold: string): void {
		const {engines, signal} = this.dependencies;
		void engines.dropHold(backend, hold, signal).catch((error: unknown) => {
			log.debug('hold on an engine cannot be dropped, it ends by itself.', {backend: backend.id, error: String(error)});
		});
	}

	private returnToBudget(served: ServedRequest, takenAtMs: number): void {
		const {retryBudget, clock} = this.dependencies;
		retryBudget.giveBack(served.inputs.service, takenAtMs, clock.now());
	}
}
