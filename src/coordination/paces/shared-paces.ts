/**
 * The usual paces of backend servers, as the daemons of a fleet tell each other. In a large fleet
 * each daemon hears from a backend server only every few seconds, and a daemon that starts knows
 * nothing; the usual pace is the same for all of them.
 */
import {type PaceUpdate} from '../../protocol/fleet-messages.js';

/** Time for which the daemon that determined a change gossips it, in milliseconds: four rounds, since datagrams may be lost. */
const gossipOwnChangeMs = 1000;
/** Time for which a relay gossips a change that it heard of, in milliseconds: at least one round. All relays forward it, and the repetition of everything in force covers losses, while a round of a relay goes to some ten times as many receivers as one of another daemon. */
const gossipHeardChangeMs = 300;
/** Age at which a pace that no daemon has stated anew is dropped, in milliseconds; it limits how long daemons tell each other of backend servers that are gone. */
const paceMaxAgeMs = 600_000;
/** Own observations of a backend server from which on they count more than what other daemons state. */
export const minOwnObservations = 3;
/** Own observations from which on a daemon replaces the shared pace: three are all slow ones in one of 300 cases, four in one of 2000. */
const minReplacingObservations = 4;
/** Relative difference from the shared pace from which on a daemon's own observations replace it. */
const minChange = 0.2;
/** Share of a daemon's observations that may contradict a change: 15 % of the backend servers are slow for a moment at any time, and each wrong change would be corrected by another message. */
const contradictingShare = 0.15;

/** Time by which a statement must be newer than the known one to replace it, in milliseconds. Ages do not include the time that messages take, so a statement seems newer after each relay; two that differ would otherwise replace each other at all relays without end. */
const minNewerMs = 1000;

/** A usual pace that the fleet knows. */
type SharedPace = {
	percent: number;
	/** Whether this daemon determined it. */
	isOwn: boolean;
	/** When a daemon last determined it. */
	statedAtMs: number;
	/** Until when this daemon gossips the latest change. */
	gossipUntilMs: number;
};

/** The usual paces that the daemons of a fleet share, by key of the backend server. */
export class SharedPaces {
	private readonly byKey = new Map<number, SharedPace>();

	/** Whether no pace is known. */
	get isEmpty(): boolean {
		return this.byKey.size === 0;
	}

	/** Returns the pace that other daemons state of a backend server, in percent. */
	heardPercent(key: number): number | undefined {
		const known = this.byKey.get(key);
		return known?.isOwn ? undefined : known?.percent;
	}

	/** Takes the latest observations of this daemon, at least one. They become the shared pace if there is none, or if nearly all of them differ from it. */
	observe(key: number, {usualPercent, recentPercents}: {usualPercent: number; recentPercents: readonly number[]}, nowMs: number): void {
		const known = this.byKey.get(key);
		if (!known || isContradicted(known.percent, recentPercents)) {
			this.byKey.set(key, {
				percent: usualPercent, isOwn: true, statedAtMs: nowMs, gossipUntilMs: nowMs + gossipOwnChangeMs,
			});
		}
	}

	/** Returns the updates for other daemons: recent changes, and with `shouldListAll` every pace. Drops outdated ones. */
	updates(shouldListAll: boolean, nowMs: number): PaceUpdate[] {
		const updates: PaceUpdate[] = [];
		for (const [backend, {percent, statedAtMs, gossipUntilMs}] of this.byKey) {
			if (nowMs - statedAtMs > paceMaxAgeMs) {
				this.byKey.delete(backend);
			} else if (shouldListAll || nowMs <= gossipUntilMs) {
				updates.push([backend, percent, Math.round(nowMs - statedAtMs)]);
			}
		}

		return updates;
	}

	/** Applies what other daemons know; the latest statement counts. With `shouldForward` this daemon gossips the changes on. */
	applyUpdates(updates: PaceUpdate[], shouldForward: boolean, nowMs: number): void {
		for (const [backend, percent, ageMs] of updates) {
			const known = this.byKey.get(backend);
			const statedAtMs = nowMs - ageMs;
			if (ageMs <= paceMaxAgeMs && (!known || statedAtMs > known.statedAtMs + minNewerMs)) {
				const isChanged = known?.percent !== percent;
				// Relays send a daemon's own statement back to it.
				this.byKey.set(backend, {
					percent, isOwn: !isChanged && known.isOwn, statedAtMs, gossipUntilMs: isChanged && shouldForward ? nowMs + gossipHeardChangeMs : known?.gossipUntilMs ?? Number.NEGATIVE_INFINITY,
				});
			}
		}
	}

	/** Keeps only the given backend servers. */
	retain(keys: ReadonlySet<number>): void {
		for (const key of this.byKey.keys()) {
			if (!keys.has(key)) {
				this.byKey.delete(key);
			}
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.byKey].map(([backend, {percent, statedAtMs}]) => ({backend, percent, statedMsAgo: Math.round(nowMs - statedAtMs)}));
	}
}

/** Whether enough observations lie on the same side of a pace, a fifth or more away from it. */
function isContradicted(percent: number, recentPercents: readonly number[]): boolean {
	if (recentPercents.length < minReplacingObservations) {
		return false;
	}

	const higher = recentPercents.filter(recent => recent >= percent * (1 + minChange)).length;
	const lower = recentPercents.filter(recent => recent <= percent * (1 - minChange)).length;
	return Math.max(higher, lower) >= Math.ceil(recentPercents.length * (1 - contradictingShare));
}
