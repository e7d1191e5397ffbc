/**
 * Counts the other daemons that share the limits of accounts, and those whose admissions are not
 * reported to this daemon. It covers daemons that start at the same time, that are cut off and that
 * lose their relays: their admissions are unknown and must not be counted as zero.
 */
import {type SteadyClock} from '../../clock.js';
import {type QuotaPeers} from '../quota-ledger.js';
import {RecentMaximum} from '../recent-maximum.js';
import {FleetRole, type FleetTable} from './fleet-table.js';
import {goneAfterMs} from './reported-group.js';

/** Time between reports of a daemon, in milliseconds. */
export const reportIntervalMs = 250;
/** Propagation time of an update to a daemon of each role, in milliseconds, in addition to half a round: directly from a peer, or through up to two relays, each of which adds half a round on average. */
const propagationMs: Record<FleetRole, number> = {[FleetRole.Mesh]: 50, [FleetRole.Relay]: 200, [FleetRole.Leaf]: 300};
/** How long after its start a daemon assumes that the listed daemons that it has not heard from yet are starting as well, in milliseconds: all daemons hear of each other within a second. After that they count as silent, and later as gone. */
const startupMs = 3000;

/** How long a daemon that has lost most of the others assumes that they still serve, in milliseconds. */
const maxIsolationMs = 10 * 60_000;

/** The loss of most of the other daemons. */
type Isolation = {
	/** Daemons that shared the limits before, including this one. */
	daemons: number;
	sinceMs: number;
	/** Daemons that must be heard from, including this one, until the loss is over. */
	minResponsive: number;
};

/** The dependencies of a peer counter. */
export type PeerCounterParts = {
	fleet: FleetTable;
	clock: SteadyClock;
	startedAtMs: number;
	/** Length of the longest window of a limit, in milliseconds. */
	windowMs: number;
};

/** Counts the other daemons for the sharing of limits. */
export class PeerCounter {
	/** Largest number of known daemons in recent time; tracked during start-up, and in a large fleet also later. */
	private readonly recentFleetSize = new RecentMaximum(goneAfterMs);
	/** Set while this daemon hears from few of the others: they may go on serving, however long they are silent. */
	private isolation: Isolation | undefined;
	/** When this daemon last heard from few of the others. */
	private isolatedAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: PeerCounterParts) {}

	/** Returns the counts of daemons by which limits are shared. */
	count(nowMs: number): QuotaPeers {
		const {fleet, startedAtMs} = this.parts;
		const daemons = fleet.daemons(nowMs);
		const isStartingUp = nowMs - startedAtMs < startupMs;
		const knownDaemons = isStartingUp ? Math.max(daemons, fleet.known) : daemons;
		// Listed daemons that a starting daemon never hears from may be cut off but still serving, and so may daemons that a new relay does not know.
		// The recent maximum keeps them in the count.
		const shouldRemember = isStartingUp || fleet.roleAt(nowMs) !== FleetRole.Mesh;
		const maxDaemons = Math.max(knownDaemons, this.recentFleetSize.note(shouldRemember ? knownDaemons : 0, nowMs));
		const unheardDaemons = knownDaemons - daemons;
		// If most of the daemons were heard from, the others are cut off rather than still starting.
		const unreportedDaemons = unheardDaemons > daemons ? unheardDaemons : 0;
		const silent = fleet.silent(nowMs);
		const isolation = this.updateIsolation(isStartingUp ? 0 : maxDaemons, nowMs);
		const sharingDaemons = Math.max(maxDaemons - unreportedDaemons, isolation?.daemons ?? 0);
		return {
			daemons: sharingDaemons,
			silentDaemons: isolation ? sharingDaemons - fleet.responsive(nowMs) : silent + maxDaemons - daemons - unreportedDaemons,
			reportDelayMs: propagationMs[fleet.roleAt(nowMs)] + (reportIntervalMs / 2),
			reportIntervalMs,
			unreportedDaemons,
			isIsolated: this.isIsolated(isolation !== undefined, nowMs),
		};
	}

	/** Updates whether this daemon hears from few of the daemons that it knew, or from none of the `listedDaemons`. */
	private updateIsolation(listedDaemons: number, nowMs: number): Isolation | undefined {
		const {fleet} = this.parts;
		const daemons = fleet.daemons(nowMs);
		const responsive = fleet.responsive(nowMs);
		if (fleet.silent(nowMs) > daemons / 2) {
			this.isolation ??= {daemons, sinceMs: nowMs, minResponsive: daemons / 2};
		} else if (responsive === 1 && listedDaemons > 1) {
			// Listed daemons may be long gone, so hearing from any of them is enough.
			this.isolation ??= {daemons: listedDaemons, sinceMs: nowMs, minResponsive: 2};
		}

		if (this.isolation && (responsive >= this.isolation.minResponsive || nowMs - this.isolation.sinceMs > maxIsolationMs)) {
			this.isolation = undefined;
		}

		return this.isolation;
	}

	/** Whether this daemon is cut off from most others, or in a large fleet was so within the window: new relays do not report what was admitted while there was no relay, whereas daemons of a full mesh report it themselves. */
	private isIsolated(isNow: boolean, nowMs: number): boolean {
		const {fleet, windowMs} = this.parts;
		this.isolatedAtMs = isNow ? nowMs : this.isolatedAtMs;
		return isNow || (fleet.roleAt(nowMs) !== FleetRole.Mesh && nowMs - this.isolatedAtMs < windowMs);
	}
}
