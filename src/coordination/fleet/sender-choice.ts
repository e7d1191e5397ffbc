/** Which daemons send to a backend server that takes fewer requests than there are daemons. */
import {createHash} from 'node:crypto';
import {type SenderChoice} from '../stated-limits.js';
import {type FleetTable} from './fleet-table.js';

/**
 * Chooses at most `most` daemons by rendezvous hashing, so that all daemons agree without a
 * word and one that fails moves few choices. In a large fleet only relays are chosen, since
 * every daemon knows those.
 *
 * @param self This daemon's name.
 */
export function chooseSenders(fleet: FleetTable, self: string, backend: number, most: number, nowMs: number): SenderChoice {
	// A daemon that hears few of the others would take their places beside them.
	if (!fleet.hearsMost(nowMs)) {
		return {isSender: false, senders: 1};
	}

	const daemons = fleet.daemons(nowMs);
	if (daemons <= most) {
		return {isSender: true, senders: daemons};
	}

	const ranked = fleet.eligible(nowMs).map(name => ({name, score: score(backend, name)})).toSorted((a, b) => b.score - a.score);
	const senders = ranked.slice(0, most);
	return {isSender: senders.some(({name}) => name === self), senders: Math.max(1, senders.length)};
}

function score(backend: number, name: string): number {
	return createHash('md5').update(`${backend} ${name}`).digest().readUInt32BE(0);
}
