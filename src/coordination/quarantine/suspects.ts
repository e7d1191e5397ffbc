/**
 * The evidence against requests and parts of prompts, which are known by their fingerprints:
 * the backend servers that crashed while running them, and when a run with them last went on
 * or completed. Daemons gossip this evidence, so a crash counts once however often it is
 * reported, and a run that one daemon saw go on clears its suspects at all of them.
 */
import {type SuspectUpdate} from '../../protocol/fleet-messages.js';

/** Number of suspects that are remembered: a wave of crashes of ten engines leaves about five hundred. */
const maxSuspects = 2000;
/** A suspect is forgotten this many milliseconds after its last crash or sound run: a shorter time if too few crashes count against it. */
const quarantineMemoryMs = 60 * 60_000;
const suspicionMemoryMs = 10 * 60_000;
/** A change is gossiped for this many milliseconds, and in this many rounds, since some datagrams may be lost. */
const gossipMs = 2000;
const gossipRounds = 4;
/** Time for which a crash explains that the backend server accepts no connection, in milliseconds: until it is listed as gone or started again. */
const recentCrashMs = 10_000;
/** Sound runs whose times differ by no more than this many milliseconds are the same one: each daemon that relays an age adds the latency of a message. */
const sameEventToleranceMs = 1000;
/** Interval between two prunings, in milliseconds, and the number of suspects beyond {@link maxSuspects} that are allowed in between. */
const pruneIntervalMs = 1000;
const maxUnprunedSuspects = 500;
/** Number of suspects gossiped in one round: as many as one daemon may have in progress at a full engine. */
const maxGossipedSuspects = 64;
/** Number of crashes gossiped for one suspect, the latest ones: more than are needed for a quarantine. */
const maxGossipedCrashes = 6;

/** Number of backend servers that must have crashed under a suspect before it is quarantined. Two are not enough: in a wave of crashes, a harmless request that is retried at once may meet two. */
export const crashesToQuarantine = 3;

/** What is known of one suspected request or part of a prompt. */
export type Suspect = {
	/** When each backend server crashed while running it, by the backend server's key. */
	crashes: Map<number, number>;
	/** When a run with it was last seen to go on or complete; earlier crashes do not count. */
	clearedAtMs: number;
	/** When this daemon last learned something of it. */
	changedAtMs: number;
	/** Number of rounds in which the latest change has been gossiped. */
	sentRounds: number;
	/** When this daemon last admitted a probe after the quarantine. */
	probedAtMs: number;
	/** When this daemon last admitted a trial run while the evidence was uncertain. */
	triedAtMs: number;
};

/** The suspects that one daemon knows of, by fingerprint. */
export class Suspects {
	private readonly suspects = new Map<number, Suspect>();
	/** When backend servers crashed of late, by their keys. */
	private readonly recentCrashes = new Map<number, number>();
	private prunedAtMs = Number.NEGATIVE_INFINITY;

	get isEmpty(): boolean {
		return this.suspects.size === 0;
	}

	get(fingerprint: number): Suspect | undefined {
		return this.suspects.get(fingerprint);
	}

	/** Records that a backend server crashed while running requests with these fingerprints. */
	recordCrash(fingerprints: readonly number[], backendKey: number, nowMs: number): void {
		this.recentCrashes.set(backendKey, nowMs);
		for (const fingerprint of fingerprints) {
			const suspect = this.findOrAdd(fingerprint);
			if (!suspect.crashes.has(backendKey)) {
				suspect.crashes.set(backendKey, nowMs);
				noteChange(suspect, nowMs);
			}
		}

		this.prune(nowMs);
	}

	/** Records that a run with these fingerprints went on or completed at a time, which clears them of the crashes up to then. */
	recordSoundRun(fingerprints: readonly number[], soundAtMs: number, nowMs: number): void {
		for (const fingerprint of fingerprints) {
			const suspect = this.suspects.get(fingerprint);
			if (suspect && soundAtMs > suspect.clearedAtMs && clear(suspect, soundAtMs)) {
				noteChange(suspect, nowMs);
			}
		}
	}

	/** Whether a backend server is known to have crashed of late. */
	hasCrashed(backendKey: number, nowMs: number): boolean {
		return nowMs - (this.recentCrashes.get(backendKey) ?? Number.NEGATIVE_INFINITY) < recentCrashMs;
	}

	/** Whether a crash counts against any of these fingerprints. */
	isAnySuspected(fingerprints: readonly number[]): boolean {
		return fingerprints.some(fingerprint => (this.suspects.get(fingerprint)?.crashes.size ?? 0) > 0);
	}

	/** Whether some suspect outside of a request was at every crash that counts against a suspect of the request. */
	hasOtherExplanation({crashes}: Suspect, ownFingerprints: ReadonlySet<number>): boolean {
		for (const [fingerprint, other] of this.suspects) {
			if (other.crashes.size >= crashes.size && !ownFingerprints.has(fingerprint) && isSubset(crashes, other.crashes)) {
				return true;
			}
		}

		return false;
	}

	/** Returns the updates of one round: recent changes, and with `withQuarantined` all that are quarantined. */
	takeRoundUpdates(withQuarantined: boolean, nowMs: number): SuspectUpdate[] {
		const entries = this.selectUpdates(withQuarantined, nowMs);
		for (const [, suspect] of entries) {
			suspect.sentRounds++;
		}

		return entries.map(entry => toUpdate(entry, nowMs));
	}

	/** Returns recent changes, and with `withQuarantined` all that are quarantined, for daemons that have just started. */
	recentUpdates(withQuarantined: boolean, nowMs: number): SuspectUpdate[] {
		return this.selectUpdates(withQuarantined, nowMs).map(entry => toUpdate(entry, nowMs));
	}

	/** Returns the suspects with enough crashes for a quarantine, to be stored in case all daemons are lost at once. */
	quarantinedUpdates(nowMs: number): SuspectUpdate[] {
		return [...this.suspects].filter(([, suspect]) => isQuarantined(suspect)).map(entry => toUpdate(entry, nowMs));
	}

	/** Applies updates received from another daemon or read from the store; known ones change nothing. New ones are gossiped further if `shouldForward`. */
	applyUpdates(updates: readonly SuspectUpdate[], shouldForward: boolean, nowMs: number): void {
		for (const update of updates) {
			for (const [backendKey, ageMs] of update.crashes) {
				this.recentCrashes.set(backendKey, Math.max(nowMs - ageMs, this.recentCrashes.get(backendKey) ?? Number.NEGATIVE_INFINITY));
			}

			const suspect = this.findOrAdd(update.fingerprint);
			if (mergeUpdate(suspect, update, nowMs) && shouldForward) {
				noteChange(suspect, nowMs);
			}
		}

		this.prune(nowMs);
	}

	/** Selects what to gossip: the worst suspects first, but each round lowers the rank of those that were sent, so that none crowds out the others. */
	private selectUpdates(withQuarantined: boolean, nowMs: number): Array<[number, Suspect]> {
		this.prune(nowMs);
		const reported = [...this.suspects].filter(([, suspect]) => (withQuarantined && isQuarantined(suspect)) || (suspect.sentRounds < gossipRounds && nowMs - suspect.changedAtMs <= gossipMs));
		return reported.toSorted(([, a], [, b]) => gossipRank(b) - gossipRank(a) || b.changedAtMs - a.changedAtMs).slice(0, maxGossipedSuspects);
	}

	private findOrAdd(fingerprint: number): Suspect {
		let suspect = this.suspects.get(fingerprint);
		if (!suspect) {
			suspect = {
				crashes: new Map(), clearedAtMs: Number.NEGATIVE_INFINITY, changedAtMs: Number.NEGATIVE_INFINITY, sentRounds: 0, probedAtMs: Number.NEGATIVE_INFINITY, triedAtMs: Number.NEGATIVE_INFINITY,
			};
			this.suspects.set(fingerprint, suspect);
		}

		return suspect;
	}

	/** Removes expired suspects, and the least suspect ones beyond {@link maxSuspects}. */
	private prune(nowMs: number): void {
		if (nowMs - this.prunedAtMs < pruneIntervalMs && this.suspects.size <= maxSuspects + maxUnprunedSuspects) {
			return;
		}

		this.prunedAtMs = nowMs;
		for (const [fingerprint, suspect] of this.suspects) {
			const memoryMs = isQuarantined(suspect) ? quarantineMemoryMs : suspicionMemoryMs;
			if (nowMs - Math.max(lastCrashAtMs(suspect), suspect.clearedAtMs) > memoryMs) {
				this.suspects.delete(fingerprint);
			}
		}

		for (const [backendKey, crashedAtMs] of this.recentCrashes) {
			if (nowMs - crashedAtMs >= recentCrashMs) {
				this.recentCrashes.delete(backendKey);
			}
		}

		if (this.suspects.size > maxSuspects) {
			const ranked = [...this.suspects].toSorted(([, a], [, b]) => b.crashes.size - a.crashes.size || b.changedAtMs - a.changedAtMs);
			for (const [fingerprint] of ranked.slice(maxSuspects)) {
				this.suspects.delete(fingerprint);
			}
		}
	}
}

/** Returns when a backend server last crashed under a suspect. */
export function lastCrashAtMs({crashes}: Suspect): number {
	return Math.max(Number.NEGATIVE_INFINITY, ...crashes.values());
}

function isQuarantined({crashes}: Suspect): boolean {
	return crashes.size >= crashesToQuarantine;
}

function gossipRank({crashes, sentRounds}: Suspect): number {
	return crashes.size - sentRounds;
}

function noteChange(suspect: Suspect, nowMs: number): void {
	suspect.changedAtMs = nowMs;
	suspect.sentRounds = 0;
}

function isSubset(crashes: ReadonlyMap<number, number>, others: ReadonlyMap<number, number>): boolean {
	for (const backendKey of crashes.keys()) {
		if (!others.has(backendKey)) {
			return false;
		}
	}

	return true;
}

/** Merges an update into what is known of a suspect; returns whether anything in it was new. */
function mergeUpdate(suspect: Suspect, {crashes, clearedAgeMs}: SuspectUpdate, nowMs: number): boolean {
	let isNew = false;
	const clearedAtMs = clearedAgeMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - clearedAgeMs;
	if (clearedAtMs > suspect.clearedAtMs) {
		isNew = clearedAtMs - suspect.clearedAtMs > sameEventToleranceMs;
		isNew = clear(suspect, clearedAtMs) || isNew;
	}

	for (const [backendKey, ageMs] of crashes) {
		const atMs = nowMs - ageMs;
		if (atMs > suspect.clearedAtMs && !suspect.crashes.has(backendKey)) {
			suspect.crashes.set(backendKey, atMs);
			isNew = true;
		}
	}

	return isNew;
}

/** Drops the crashes up to the time at which a run went on; returns whether there were any. */
function clear(suspect: Suspect, atMs: number): boolean {
	const crashesBefore = suspect.crashes.size;
	suspect.clearedAtMs = atMs;
	for (const [backendKey, crashedAtMs] of suspect.crashes) {
		if (crashedAtMs <= atMs) {
			suspect.crashes.delete(backendKey);
		}
	}

	return suspect.crashes.size < crashesBefore;
}

function toUpdate([fingerprint, {crashes, clearedAtMs}]: [number, Suspect], nowMs: number): SuspectUpdate {
	return {
		fingerprint,
		crashes: [...crashes].toSorted(([, a], [, b]) => b - a).slice(0, maxGossipedCrashes).map(([backendKey, atMs]) => [backendKey, Math.round(nowMs - atMs)]),
		clearedAgeMs: clearedAtMs === Number.NEGATIVE_INFINITY ? undefined : Math.round(nowMs - clearedAtMs),
	};
}
