/**
 * Holds what follows a run before that is given up: a backend server, and a place in the
 * repeat allowance. Without both, an answer that may still come would break off with nothing
 * to follow.
 */
import {type Backend} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type RepeatPurpose, type RetryAllowance} from '../retry-allowance.js';
import {type BackendChoice} from './backend-choice.js';
import {type ServedRequest, type Successor} from './served-request.js';

/** A run is given up for another one only with this share of the latency target left: engines begin within a third of it on most days. */
const leastRunShare = 0.25;

/** The parts successors are held with. */
export type SuccessorsParts = {
	choice: BackendChoice;
	allowance: RetryAllowance;
	fleet: FleetTable;
	quarantine: Quarantine;
	clock: SteadyClock;
};

/** The successors of runs in progress, and the places in the repeat allowance that repeats take. */
export class Successors {
	constructor(private readonly parts: SuccessorsParts) {}

	/** Holds a backend server and a place in the repeat allowance for the next run of a request. */
	hold(served: ServedRequest, runningAt: string, purpose: RepeatPurpose, nowMs: number): boolean {
		if (this.isForbidden(served) || served.remainingMs(nowMs) < served.inputs.route.latencyTargetMs * leastRunShare) {
			return false;
		}

		if (served.successor) {
			return this.heldBackend(served, runningAt) !== undefined;
		}

		// The place first: it is what lacks under load, and choosing takes most of a millisecond among a hundred engines.
		if (!this.takePlace(served, purpose, nowMs)) {
			return false;
		}

		const choice = this.parts.choice.choose(served, runningAt);
		if (!choice) {
			this.giveBack(served, nowMs);
			return false;
		}

		served.successor = {choice, heldAtMs: nowMs, isClaimed: this.parts.choice.claim(choice.backend)};
		return true;
	}

	/** The backend server held for the next run, or another one if that leaves or has failed the request meanwhile. */
	heldBackend(served: ServedRequest, runningAt?: string): Backend | undefined {
		const {successor} = served;
		if (!successor) {
			return undefined;
		}

		if (!this.parts.choice.isUsable(served, successor.choice.backend, successor.isClaimed)) {
			const choice = this.parts.choice.choose(served, runningAt);
			if (!choice) {
				return undefined;
			}

			successor.choice = choice;
			successor.isClaimed = this.parts.choice.claim(choice.backend);
		}

		return successor.choice.backend;
	}

	/** Gives back a place that is not needed. */
	release(served: ServedRequest): void {
		if (served.successor) {
			this.giveBack(served, served.successor.heldAtMs);
			served.successor = undefined;
		}
	}

	/** Whether a request that has been sent before crashes backend servers and may not be sent again. */
	isForbidden(served: ServedRequest): boolean {
		const {quarantine} = this.parts;
		return served.attempts.length > 0 && !quarantine.isEmpty && quarantine.forbidsRepeat(served.fingerprint);
	}

	/** Takes a place in the repeat allowance, if there is one. */
	takePlace(served: ServedRequest, purpose: RepeatPurpose, nowMs: number): boolean {
		const {allowance, fleet} = this.parts;
		return allowance.take(served.inputs.service, purpose, fleet.daemons(nowMs), nowMs);
	}

	/** Holds a place that no arrival used, unless another one was taken meanwhile. */
	keepPlace(served: ServedRequest, place: Successor | undefined): void {
		if (place && served.successor) {
			this.giveBack(served, place.heldAtMs);
		} else {
			served.successor ??= place;
		}
	}

	/** How much of the repeat allowance is used, for the logs. */
	describeAllowance(served: ServedRequest): string {
		const {allowance, fleet, clock} = this.parts;
		const nowMs = clock.now();
		const {firsts, repeats} = allowance.used(served.inputs.service, nowMs);
		return `${repeats} repeats for ${firsts} requests, ${fleet.daemons(nowMs)} daemons`;
	}

	private giveBack(served: ServedRequest, takenAtMs: number): void {
		this.parts.allowance.giveBack(served.inputs.service, takenAtMs);
	}
}
