/**
 * Ranks the daemons that may coordinate something for the whole fleet, such as the slots of a
 * backend server, by rendezvous hashing: all daemons agree without exchanging messages, and the
 * failure of one changes few rankings.
 */
import {type NamedAddress} from '../../protocol/fleet-messages.js';
import {type FleetTable} from './fleet-table.js';
import {rankByRendezvous} from './sender-selection.js';

/** Time for which a ranking is kept, in milliseconds: it changes when daemons join or leave. */
const rankingMaxAgeMs = 100;

/** The rankings of the daemons, by the key of what they coordinate. */
export class CoordinatorRanking {
	private readonly rankings = new Map<number, {atMs: number; coordinators: NamedAddress[]}>();

	/** @param localName This daemon's name. */
	constructor(private readonly fleet: Pick<FleetTable, 'actingDaemons' | 'isMajorityResponsive'>, private readonly localName: string) {}

	/** Returns the daemons that may coordinate, the coordinator first. */
	coordinators(key: number, nowMs: number): NamedAddress[] {
		let ranking = this.rankings.get(key);
		if (!ranking || nowMs - ranking.atMs > rankingMaxAgeMs) {
			ranking = {atMs: nowMs, coordinators: rankByRendezvous(key, this.fleet.actingDaemons(nowMs))};
			this.rankings.set(key, ranking);
		}

		return ranking.coordinators;
	}

	/** Whether this daemon is the coordinator; one that hears from few of the others would take the place of a daemon that still is. */
	isCoordinator(key: number, nowMs: number): boolean {
		return this.coordinators(key, nowMs).at(0)?.name === this.localName && this.fleet.isMajorityResponsive(nowMs);
	}

	/** Drops the rankings that are too old to be used. */
	prune(nowMs: number): void {
		for (const [key, {atMs}] of this.rankings) {
			if (nowMs - atMs > rankingMaxAgeMs) {
				this.rankings.delete(key);
			}
		}
	}
}
