/**
 * How many replicas a service's traffic needs, from the requests in flight over all
 * daemons. A slow fleet has more in flight, so the need rises when it falls behind. It
 * answers waves and bursts: the need follows a rise at once and a fall slowly, since a
 * replica takes seconds to boot and one given up moves its streams.
 */
import {type BackendTable} from '../state/backend-table.js';
import {backendKey} from './fleet/backend-key.js';
import {type FleetTable} from './fleet/fleet-table.js';
import {type Placement} from './placement.js';
import {type PoolNeed} from './pool-plan.js';
import {type StatedLimits} from './stated-limits.js';

/** Most requests in flight that a replica carries within the latency target: an estimate, from an engine's step that takes a quarter longer with 12 requests than with one. */
const mostPerReplica = 12;
/** Share of a replica's slots that may be in use on average; the rest takes what daemons place there before they hear of each other. */
const usedSlots = 0.5;
/** Fewest replicas that serve any traffic. */
const fewestReplicas = 3;
/** The need falls by half in this time, in milliseconds. */
const fallHalfMs = 10_000;
/** Reclaimable VMs beyond the need: at least these, for two failure domains in a row; and this share, so that what is left of a large pool after the loss of one failure domain of four still serves it. */
const leastSpare = 4;
const spareShare = 1 / 3;
/** A pool that was found without any traffic is kept for this long, in milliseconds: callers come 16 s after the daemons at the latest. */
const keptIdleMs = 30_000;

/** The smoothed demand for one service, in replicas. */
export class PoolDemand {
	private level: number;
	private atMs: number;
	private readonly idleUntilMs: number;
	private hasTraffic = false;

	/**
	 * @param present Replicas found at the first look. They are taken to be what the traffic
	 * needs until it is measured: a new holder of the duties knows of no traffic, and would
	 * give up most of a pool seconds before callers come.
	 */
	constructor(present: number, nowMs: number) {
		this.level = carried(present);
		this.atMs = nowMs;
		this.idleUntilMs = nowMs + keptIdleMs;
	}

	/** Takes the replicas that the requests in flight fill now. */
	note(busy: number, nowMs: number): void {
		this.hasTraffic ||= busy > 0;
		if (this.hasTraffic || nowMs >= this.idleUntilMs) {
			const decay = 0.5 ** ((nowMs - this.atMs) / fallHalfMs);
			this.level = Math.max(busy, (this.level * decay) + (busy * (1 - decay)));
		}

		this.atMs = nowMs;
	}

	need(): PoolNeed {
		const replicas = Math.max(fewestReplicas, Math.ceil(this.level));
		return {replicas, surviving: Math.max(fewestReplicas - 1, Math.ceil(replicas * 0.75)), spare: spareFor(replicas)};
	}
}

/** Requests in flight that a replica carries. */
export function carriedInFlight(slots: number): number {
	return Math.min(mostPerReplica, slots * usedSlots);
}

function spareFor(replicas: number): number {
	return Math.max(leastSpare, Math.ceil(replicas * spareShare));
}

/** The most replicas that may be needed for a pool to be as large as it is, its spare ones included. */
function carried(present: number): number {
	let replicas = 0;
	while (replicas + 1 + spareFor(replicas + 1) <= present) {
		replicas++;
	}

	return replicas;
}

/** The demand for every service, from what this daemon and its peers have in flight. */
export class PoolDemands {
	private readonly demands = new Map<string, PoolDemand>();

	constructor(
		private readonly backends: BackendTable,
		private readonly placement: Placement,
		private readonly fleet: FleetTable,
		private readonly statedLimits: Pick<StatedLimits, 'isLimited'>,
	) {}

	/** What a service needs now. */
	need(service: string, nowMs: number): PoolNeed {
		const replicas = this.backends.listed().filter(({backend}) => backend.service === service).map(({backend}) => backend);
		const demand = this.demands.get(service) ?? new PoolDemand(replicas.length, nowMs);
		this.demands.set(service, demand);
		const own = this.placement.inFlight();
		let busy = 0;
		for (const {id, slots} of replicas) {
			const inUse = ((own[id] ?? 0) + this.fleet.inFlight(backendKey(id), nowMs)) / carriedInFlight(slots);
			// One that limits what it gets carries no more than it does now; another has to stand in for the rest.
			busy += this.statedLimits.isLimited(id) ? Math.max(1, inUse) : inUse;
		}

		demand.note(busy, nowMs);
		return demand.need();
	}
}
