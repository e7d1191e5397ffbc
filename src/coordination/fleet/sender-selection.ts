/** Selects the daemons that send to a backend server whose stated limit is too low to be shared by all of them. */
import {createHash} from 'node:crypto';
import {type SenderSelection} from '../stated-limits.js';
import {type FleetTable} from './fleet-table.js';

/**
 * Selects at most `maxSenders` daemons by rendezvous hashing, so that all daemons agree without
 * exchanging messages, and the failure of one changes few selections. In a large fleet only
 * relays are selected, since every daemon knows those.
 *
 * @param localName This daemon's name.
 */
export function selectSenders(fleet: FleetTable, localName: string, backend: number, maxSenders: number, nowMs: number): SenderSelection {
	// A daemon that hears from few of the others would select itself in place of daemons that still send.
	if (!fleet.isMajorityResponsive(nowMs)) {
		return {isSender: false, senders: 1};
	}

	const daemons = fleet.daemons(nowMs);
	if (daemons <= maxSenders) {
		return {isSender: true, senders: daemons};
	}

	const ranked = fleet.dutyCandidates(nowMs).map(name => ({name, score: rendezvousScore(backend, name)})).toSorted((a, b) => b.score - a.score);
	const senders = ranked.slice(0, maxSenders);
	return {isSender: senders.some(({name}) => name === localName), senders: Math.max(1, senders.length)};
}

function rendezvousScore(backend: number, name: string): number {
	return createHash('md5').update(`${backend} ${name}`).digest().readUInt32BE(0);
}
