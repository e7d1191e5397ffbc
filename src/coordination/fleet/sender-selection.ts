/** Selects the daemons that send to a backend server whose stated limit is too low to be shared by all of them. */
import {createHash} from 'node:crypto';
import {type SenderSelection} from '../stated-limits.js';
import {type FleetTable} from './fleet-table.js';

/** A limited backend server, and the most daemons that may send to it. */
export type SenderQuery = {backend: number; maxSenders: number};

/**
 * Selects at most `maxSenders` daemons by rendezvous hashing, so that all daemons agree without
 * exchanging messages, and the failure of one changes few selections. In a large fleet only
 * relays are selected, since every daemon knows those.
 *
 * @param localName This daemon's name.
 * @param usableShare Returns the part of the limit that this daemon may use where all daemons are senders.
 */
export function selectSenders(fleet: FleetTable, localName: string, usableShare: (nowMs: number) => number, query: SenderQuery, nowMs: number): SenderSelection {
	const {backend, maxSenders} = query;
	// A daemon that hears from few of the others would select itself in place of daemons that still send.
	if (!fleet.isMajorityResponsive(nowMs)) {
		return {isSender: false, share: 1};
	}

	const daemons = fleet.daemons(nowMs);
	if (daemons <= maxSenders) {
		return {isSender: true, share: usableShare(nowMs)};
	}

	const senders = rankByRendezvous(backend, fleet.actingDaemons(nowMs)).slice(0, maxSenders);
	return {isSender: senders.some(({name}) => name === localName), share: 1 / Math.max(1, senders.length)};
}

/** Ranks daemons for a backend server by rendezvous hashing, the first one first. */
export function rankByRendezvous<T extends {name: string}>(backend: number, daemons: T[]): T[] {
	return daemons.map(daemon => ({daemon, score: rendezvousScore(backend, daemon.name)})).toSorted((a, b) => b.score - a.score).map(({daemon}) => daemon);
}

function rendezvousScore(backend: number, name: string): number {
	return createHash('md5').update(`${backend} ${name}`).digest().readUInt32BE(0);
}
