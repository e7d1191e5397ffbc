/**
 * Estimates how many replicas a service's traffic needs, from the requests in flight over all
 * daemons. A fleet that falls behind has more requests in flight, so its need rises. The need
 * follows a rise at once and a fall slowly, since a replica takes seconds to boot and the
 * removal of one moves its streams.
 */
import {type BackendTable} from '../state/backend-table.js';
import {backendKey} from './fleet/backend-key.js';
import {type FleetTable} from './fleet/fleet-table.js';
import {type Placement} from './placement.js';
import {type PoolNeed} from './pool-plan.js';
import {type StatedLimits} from './stated-limits.js';

/** Most requests in flight that a replica serves within the latency target: an engine's decoding step takes a quarter longer with 12 requests than with one. */
const maxInFlightPerReplica = 12;
/** Average share of a replica's slots to use; the rest takes requests that daemons place at the same time, before they learn of each other's. */
const targetSlotShare = 0.5;
/** Fewest replicas of a service, whatever its traffic. */
const minReplicas = 3;
/** Time in which the need falls by half without traffic, in milliseconds. */
const decayHalfLifeMs = 10_000;
/** Fewest reclaimable VMs beyond the need, for the loss of two failure domains in a row. */
const minSpare = 4;
/** Share of the need by which reclaimable VMs exceed it, so that a large pool still serves the traffic after the loss of one failure domain of four. */
const spareShare = 1 / 3;
/** Time for which the replicas present at the start are kept without any traffic, in milliseconds: callers connect at most 16 s after the daemons start. */
const idleGraceMs = 30_000;

/** The smoothed demand for one service, in replicas. */
export class PoolDemand {
	private smoothedReplicas: number;
	private notedAtMs: number;
	private readonly idleUntilMs: number;
	private hasTraffic = false;

	/**
	 * @param presentReplicas Replicas that exist at the start, assumed to be what the traffic
	 * needs until it is known: a new duty holder has seen no traffic yet, and would otherwise
	 * remove most of a pool seconds before callers connect.
	 */
	constructor(presentReplicas: number, nowMs: number) {
		this.smoothedReplicas = replicasWithoutSpare(presentReplicas);
		this.notedAtMs = nowMs;
		this.idleUntilMs = nowMs + idleGraceMs;
	}

	/** Updates the demand with the number of replicas that the requests in flight fill now. */
	note(busyReplicas: number, nowMs: number): void {
		this.hasTraffic ||= busyReplicas > 0;
		if (this.hasTraffic || nowMs >= this.idleUntilMs) {
			const decay = 0.5 ** ((nowMs - this.notedAtMs) / decayHalfLifeMs);
			this.smoothedReplicas = Math.max(busyReplicas, (this.smoothedReplicas * decay) + (busyReplicas * (1 - decay)));
		}

		this.notedAtMs = nowMs;
	}

	/** Returns the replicas needed now, those that must survive the loss of a failure domain, and the spare ones. */
	need(): PoolNeed {
		const replicas = Math.max(minReplicas, Math.ceil(this.smoothedReplicas));
		return {replicas, surviving: Math.max(minReplicas - 1, Math.ceil(replicas * 0.75)), spare: spareFor(replicas)};
	}
}

/** Returns the requests in flight that a replica with these slots should have. */
export function targetInFlight(slots: number): number {
	return Math.min(maxInFlightPerReplica, slots * targetSlotShare);
}

function spareFor(replicas: number): number {
	return Math.max(minSpare, Math.ceil(replicas * spareShare));
}

/** Returns the largest need for which a pool of this size would be planned, its spare replicas included. */
function replicasWithoutSpare(presentReplicas: number): number {
	let replicas = 0;
	while (replicas + 1 + spareFor(replicas + 1) <= presentReplicas) {
		replicas++;
	}

	return replicas;
}

/** Tracks the demand for every service from the requests that this daemon and its peers have in flight. */
export class PoolDemands {
	private readonly demands = new Map<string, PoolDemand>();

	constructor(
		private readonly backends: BackendTable,
		private readonly placement: Placement,
		private readonly fleet: FleetTable,
		private readonly statedLimits: Pick<StatedLimits, 'isLimited'>,
	) {}

	/** Returns what a service needs now. */
	need(service: string, nowMs: number): PoolNeed {
		const replicas = this.backends.listed().filter(({backend}) => backend.service === service).map(({backend}) => backend);
		const demand = this.demands.get(service) ?? new PoolDemand(replicas.length, nowMs);
		this.demands.set(service, demand);
		const own = this.placement.inFlight();
		let busyReplicas = 0;
		for (const {id, slots} of replicas) {
			const inUse = ((own.get(id) ?? 0) + this.fleet.inFlight(backendKey(id), nowMs)) / targetInFlight(slots);
			// A replica that limits its rate takes no more load than it has now, so it counts as full and others must take the rest.
			busyReplicas += this.statedLimits.isLimited(id) ? Math.max(1, inUse) : inUse;
		}

		demand.note(busyReplicas, nowMs);
		return demand.need();
	}
}
