/**
 * How many replicas a service's traffic needs, from the requests in flight over all
 * daemons and from the prompt tokens that engines have not read yet. A slow fleet has more
 * of both, so the need rises when it falls behind. It answers waves and bursts: the need
 * follows a rise at once and a fall slowly, since a replica takes seconds to boot and one
 * given up moves its streams.
 */
import {type Backend, RequestKind} from '../protocol/serving.js';
import {type BackendTable} from '../state/backend-table.js';
import {type RouteTable} from '../state/route-table.js';
import {backendKey} from './fleet/backend-key.js';
import {type FleetTable} from './fleet/fleet-table.js';
import {type Placement} from './placement.js';
import {type PoolNeed} from './pool-plan.js';

/** Most requests in flight that a replica carries within the latency target: an estimate, from an engine's step that takes a quarter longer with 12 requests than with one. */
const mostPerReplica = 12;
/** Share of a replica's slots that may be in use on average; the rest takes what daemons place there before they hear of each other. */
const usedSlots = 0.5;
/** Fewest replicas that serve any traffic. */
const fewestReplicas = 3;
/** Share of the tightest latency target that prompts may wait on average until they are read; the rest is left for the spread around it, and for the first token. */
const waitingShare = 0.25;
/** Latency target where no streaming route names one, in milliseconds. */
const defaultTargetMs = 1000;
/** The prompt tokens to be read are averaged over this time, in milliseconds: one long prompt fills an engine for a second. */
const unreadSpanMs = 1500;
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
		return needOf(Math.max(fewestReplicas, Math.ceil(this.level)));
	}
}

/** What a service needs before anything is known of its traffic. */
export function leastNeed(): PoolNeed {
	return needOf(fewestReplicas);
}

function needOf(replicas: number): PoolNeed {
	return {replicas, surviving: Math.max(fewestReplicas - 1, Math.ceil(replicas * 0.75)), spare: spareFor(replicas)};
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

/** An average that forgets. */
class FadingAverage {
	private value = 0;
	private atMs: number | undefined;

	constructor(private readonly spanMs: number) {}

	note(sample: number, nowMs: number): number {
		const kept = this.atMs === undefined ? 0 : Math.exp((this.atMs - nowMs) / this.spanMs);
		this.value = (this.value * kept) + (sample * (1 - kept));
		this.atMs = nowMs;
		return this.value;
	}
}

/** Latency targets of the services' streams, from the configuration in force. */
class LatencyTargets {
	private version: number | undefined;
	private readonly targets = new Map<string, number>();

	constructor(private readonly routes: RouteTable) {}

	/** The tightest target of a service's streams, in milliseconds. */
	tightestMs(service: string): number {
		if (this.version !== this.routes.version) {
			this.version = this.routes.version;
			this.read();
		}

		return this.targets.get(service) ?? defaultTargetMs;
	}

	private read(): void {
		this.targets.clear();
		for (const {kind, latencyTargetMs, targets} of this.routes.current?.routes ?? []) {
			for (const {service} of kind === RequestKind.Streaming ? targets : []) {
				this.targets.set(service, Math.min(latencyTargetMs, this.targets.get(service) ?? Number.POSITIVE_INFINITY));
			}
		}
	}
}

/** The demand for every service, from what this daemon and its peers have sent. */
export class PoolDemands {
	private readonly demands = new Map<string, PoolDemand>();
	private readonly unread = new Map<string, FadingAverage>();
	private readonly targets: LatencyTargets;

	constructor(
		private readonly backends: BackendTable,
		private readonly placement: Placement,
		private readonly fleet: FleetTable,
		routes: RouteTable,
	) {
		this.targets = new LatencyTargets(routes);
	}

	/** What a service needs now. */
	need(service: string, nowMs: number): PoolNeed {
		const replicas = this.backends.listed().filter(({backend}) => backend.service === service).map(({backend}) => backend);
		const demand = this.demands.get(service) ?? new PoolDemand(replicas.length, nowMs);
		this.demands.set(service, demand);
		demand.note(this.filled(service, replicas, nowMs), nowMs);
		return demand.need();
	}

	/** Replicas that the requests in flight and the prompts to be read fill now, whichever are more. */
	private filled(service: string, replicas: Backend[], nowMs: number): number {
		const own = this.placement.sent();
		let busy = 0;
		let unreadTokens = 0;
		for (const {id, slots} of replicas) {
			const peers = this.fleet.load(backendKey(id), nowMs);
			busy += ((own.get(id)?.inFlight ?? 0) + peers.inFlight) / carriedInFlight(slots);
			unreadTokens += (own.get(id)?.unreadTokens ?? 0) + peers.unreadTokens;
		}

		const average = this.unread.get(service) ?? new FadingAverage(unreadSpanMs);
		this.unread.set(service, average);
		const readTokens = this.placement.readingRate(service).tokensPerMs * this.targets.tightestMs(service) * waitingShare;
		return Math.max(busy, average.note(unreadTokens, nowMs) / readTokens);
	}
}
