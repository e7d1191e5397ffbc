/**
 * How many other daemons share the limits of accounts, and how much of what they admit this
 * one hears. It answers daemons that start together, that are cut off and that lose their
 * relays: what is not known of them must not be taken for nothing.
 */
import {type SteadyClock} from '../../clock.js';
import {type QuotaPeers} from '../quota-ledger.js';
import {FleetRole, type FleetTable} from './fleet-table.js';
import {RecentMaximum} from './recent-maximum.js';
import {goneMs} from './told-group.js';

/** Time between reports of a daemon, in milliseconds. */
export const roundMs = 250;
/** How long news take to reach a daemon, in milliseconds, beside half a round: read at once from a peer, or passed on by two relays that each wait for a round, half of one on average. */
const newsMs: Record<FleetRole, number> = {[FleetRole.Mesh]: 50, [FleetRole.Relay]: 200, [FleetRole.Leaf]: 300};
/** A daemon that has just started takes those on the list that it has not heard yet to serve beside it for this long, in milliseconds: all hear of each other within a second. Later they count as silent, and then as gone. */
const unheardOfMs = 3000;

/** The parts a census is made from. */
export type CensusParts = {
	fleet: FleetTable;
	clock: SteadyClock;
	startedAtMs: number;
	/** Length of the limits' window, in milliseconds. */
	quotaWindowMs: number;
};

/** Counts the other daemons for the limits. */
export class PeerCensus {
	/** Daemons that were known of late: at the start, and later in a large fleet. */
	private readonly fleetSize = new RecentMaximum(goneMs);
	/** When most of the other daemons were last silent. */
	private aloneAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly parts: CensusParts) {}

	/** What limits over all daemons are decided from. */
	count(nowMs: number): QuotaPeers {
		const {fleet, startedAtMs} = this.parts;
		const daemons = fleet.daemons(nowMs);
		const isYoung = nowMs - startedAtMs < unheardOfMs;
		const listed = isYoung ? Math.max(daemons, fleet.known) : daemons;
		// Daemons on the list that one which starts never hears may be cut off and serving; so may those that a relay which has just begun does not know.
		const isKept = isYoung || fleet.roleAt(nowMs) !== FleetRole.Mesh;
		const most = Math.max(listed, this.fleetSize.note(isKept ? listed : 0, nowMs));
		const unheard = listed - daemons;
		// Where most were heard, the others are cut off rather than about to be.
		const unheardOf = unheard > daemons ? unheard : 0;
		const silent = fleet.silent(nowMs);
		return {
			daemons: most - unheardOf,
			silent: silent + most - daemons - unheardOf,
			unheardMs: newsMs[fleet.roleAt(nowMs)] + (roundMs / 2),
			roundMs,
			unheardOf,
			// Names on the list may be long gone, so only those that were heard of count here.
			isAlone: this.isAlone(silent > daemons / 2, nowMs),
		};
	}

	/** Relays that have just begun do not tell what was admitted while there were none, daemons that report by themselves do. */
	private isAlone(isNow: boolean, nowMs: number): boolean {
		const {fleet, quotaWindowMs} = this.parts;
		this.aloneAtMs = isNow ? nowMs : this.aloneAtMs;
		return isNow || (fleet.roleAt(nowMs) !== FleetRole.Mesh && nowMs - this.aloneAtMs < quotaWindowMs);
	}
}
