/** Chooses the backend server for a request's next run, among those that may get it. */
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {backendKey} from '../fleet/backend-key.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type Choice, type Placement} from '../placement.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {Permission, type StatedLimits} from '../stated-limits.js';
import {type ServedRequest} from './served-request.js';

/** The parts a choice is made from. */
export type BackendChoiceParts = {
	backends: BackendTable;
	placement: Placement;
	fleet: FleetTable;
	quarantine: Quarantine;
	statedLimits: StatedLimits;
	clock: SteadyClock;
};

/** Chooses backend servers. */
export class BackendChoice {
	constructor(private readonly parts: BackendChoiceParts) {}

	/** The backend server that would get a request now, other than the one it runs at. */
	choose(served: ServedRequest, runningAt?: string): Choice | undefined {
		const {backends, placement, fleet, quarantine, clock} = this.parts;
		const {request, service} = served.inputs;
		const nowMs = clock.now();
		const excluded = runningAt === undefined ? served.excluded : new Set([...served.excluded, runningAt]);
		return placement.choose({
			candidates: this.permitted(backends.candidates(service, nowMs), excluded, nowMs),
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
	 * Counts a run at the limit of its backend server, when that is chosen rather than when it is
	 * sent: a wave of streams that choose their next engines together would pass the limit.
	 *
	 * @returns Whether there is a limit.
	 */
	claim({id}: Backend): boolean {
		const {statedLimits, clock} = this.parts;
		statedLimits.noteSent(id, clock.now());
		return statedLimits.isLimited(id);
	}

	/** Whether a backend server that was chosen earlier may still get a request, which `isClaimed` if it is counted at its limit. */
	isUsable(served: ServedRequest, backend: Backend, isClaimed: boolean): boolean {
		const {backends, statedLimits, clock} = this.parts;
		const entry = backends.get(backend.id);
		const isStaying = entry !== undefined && entry.leavingSinceMs === undefined;
		return isStaying && !served.excluded.has(backend.id) && (isClaimed || statedLimits.permission(backend.id, clock.now()) !== Permission.Withheld);
	}

	/** When a backend server that limits its requests may take one, in milliseconds from now; undefined where none of the request's service does. */
	limitReturnMs(served: ServedRequest, nowMs: number): number | undefined {
		const {statedLimits, backends} = this.parts;
		return statedLimits.isEmpty ? undefined : statedLimits.returnAfterMs(backends.candidates(served.inputs.service, nowMs).map(({id}) => id), nowMs);
	}

	/** Backend servers whose limits leave room for a request; where one is due to be heard of, that one. */
	private permitted(candidates: Backend[], excluded: ReadonlySet<string>, nowMs: number): Backend[] {
		const {statedLimits} = this.parts;
		if (statedLimits.isEmpty) {
			return candidates;
		}

		const permissions = new Map(candidates.map(({id}) => [id, statedLimits.permission(id, nowMs)]));
		const due = candidates.filter(({id}) => permissions.get(id) === Permission.Due && !excluded.has(id));
		return due.length > 0 ? due : candidates.filter(({id}) => permissions.get(id) !== Permission.Withheld);
	}
}
