/**
 * Quarantines requests that crash backend servers (queries of death), to protect the remaining
 * backend servers. Clients retry such a request after each crash, at any daemon, and each run
 * also ends the other requests on its backend server. It differs from those in that runs of its
 * fingerprint were in progress on several backend servers when they crashed, and none completed.
 * Daemons gossip which backend server crashed while running which fingerprint, so a crash counts
 * once however often it is reported.
 */
import {type SuspectUpdate} from '../../protocol/fleet-messages.js';
import {formatFingerprint} from './request-fingerprint.js';

/** Number of backend servers that must have crashed while running a request before it is quarantined. Two are not enough: in a wave of crashes, a harmless request that is retried at once may meet two. */
export const crashesToQuarantine = 3;
/** Number of backend servers that must have crashed while running a request before its next run is placed where the fewest other requests run. */
const isolationCrashes = 2;
/** How long a request is refused after the crash that quarantined it, in milliseconds; each further crash doubles the time. */
export const initialQuarantineMs = 60_000;
/** Longest quarantine, in milliseconds. */
const maxQuarantineMs = 15 * 60_000;
/** Interval between two probes of a request whose quarantine is over, in milliseconds: longer than a run may take. */
const probeIntervalMs = 30_000;
/** Retry-After for a request whose quarantine is over but which only another daemon may probe, in milliseconds. */
const nonProberRetryAfterMs = 10_000;
/** A quarantined request is forgotten this many milliseconds after its last crash or completed run. */
const quarantineMemoryMs = 60 * 60_000;
/** A suspect that is not quarantined is forgotten this many milliseconds after its last crash or completed run. */
const suspicionMemoryMs = 10 * 60_000;
/** Number of suspects that are remembered: a wave of crashes of ten engines leaves about five hundred. */
const maxSuspects = 2000;
/** A change is gossiped for this many milliseconds: eight rounds, since some datagrams may be lost. */
const gossipMs = 2000;
/** Completions whose times differ by no more than this many milliseconds are the same one: each daemon that relays an age adds the latency of a message. */
const sameEventToleranceMs = 1000;
/** Interval between two prunings, in milliseconds, and the number of suspects beyond {@link maxSuspects} that are allowed in between. */
const pruneIntervalMs = 1000;
const maxUnprunedSuspects = 500;
/** Number of suspects gossiped in one round, the most suspect first: as many as one daemon may have in progress at a full engine. */
const maxGossipedSuspects = 64;
/** Number of crashes gossiped for one suspect, the latest ones: more than are needed for a quarantine. */
const maxGossipedCrashes = 6;

/** What is known of one suspected request. */
type Suspect = {
	/** When each backend server crashed while running it, by the backend server's key. */
	crashes: Map<number, number>;
	/** When a run of it last completed; earlier crashes do not count. */
	clearedAtMs: number;
	/** When this daemon last learned something of it. */
	changedAtMs: number;
	/** When this daemon last admitted a probe. */
	probedAtMs: number;
};

/** The refusal of a quarantined request: the number of crashes that count against it, and its Retry-After. */
export type QuarantineRefusal = {crashes: number; retryAfterMs: number};

/** The suspected and quarantined requests that one daemon knows of. */
export class Quarantine {
	private readonly suspects = new Map<number, Suspect>();
	private prunedAtMs = Number.NEGATIVE_INFINITY;

	/** @param canProbe Returns whether this daemon is the one that may probe requests whose quarantine is over. */
	constructor(private readonly canProbe: (nowMs: number) => boolean) {}

	/** Whether nothing is suspected, so that no request needs a fingerprint. */
	get isEmpty(): boolean {
		return this.suspects.size === 0;
	}

	/** Records that a backend server crashed while running a request. */
	recordCrash(fingerprint: number, backendKey: number, nowMs: number): void {
		const suspect = this.findOrAddSuspect(fingerprint);
		if (!suspect.crashes.has(backendKey)) {
			suspect.crashes.set(backendKey, nowMs);
			suspect.changedAtMs = nowMs;
		}

		this.prune(nowMs);
	}

	/** Records that a run of a request completed, which clears the request of its earlier crashes. */
	recordCompletedRun(fingerprint: number, nowMs: number): void {
		const suspect = this.suspects.get(fingerprint);
		if (suspect && suspect.crashes.size > 0) {
			this.clear(suspect, nowMs);
			suspect.changedAtMs = nowMs;
		}
	}

	/** Decides whether a request may run; undefined when it may. After its quarantine it may run as a probe, at one daemon only and once per {@link probeIntervalMs}. */
	admit(fingerprint: number, nowMs: number): QuarantineRefusal | undefined {
		const suspect = this.suspects.get(fingerprint);
		if (!suspect || suspect.crashes.size < crashesToQuarantine) {
			return undefined;
		}

		const remainingMs = quarantineEndsAtMs(suspect) - nowMs;
		if (remainingMs > 0) {
			return {crashes: suspect.crashes.size, retryAfterMs: remainingMs};
		}

		if (!this.canProbe(nowMs)) {
			return {crashes: suspect.crashes.size, retryAfterMs: nonProberRetryAfterMs};
		}

		const msUntilProbe = suspect.probedAtMs + probeIntervalMs - nowMs;
		if (msUntilProbe > 0) {
			return {crashes: suspect.crashes.size, retryAfterMs: msUntilProbe};
		}

		suspect.probedAtMs = nowMs;
		return undefined;
	}

	/** Whether a request that is being served must not be sent again. */
	forbidsRetry(fingerprint: number): boolean {
		return (this.suspects.get(fingerprint)?.crashes.size ?? 0) >= crashesToQuarantine;
	}

	/** Whether the next run of a request is likely to crash its backend server. */
	isSuspect(fingerprint: number): boolean {
		return (this.suspects.get(fingerprint)?.crashes.size ?? 0) >= isolationCrashes;
	}

	/** Returns the updates for other daemons: recent changes, and with `withQuarantined` all quarantined requests, for daemons that have just started. */
	recentUpdates(withQuarantined: boolean, nowMs: number): SuspectUpdate[] {
		this.prune(nowMs);
		const reported = [...this.suspects].filter(([, suspect]) => (withQuarantined && isQuarantined(suspect)) || nowMs - suspect.changedAtMs <= gossipMs);
		return reported.toSorted(([, a], [, b]) => compareSuspicion(a, b)).slice(0, maxGossipedSuspects).map(entry => toUpdate(entry, nowMs));
	}

	/** Returns the quarantined requests, to be stored in case all daemons are lost at once. */
	quarantinedUpdates(nowMs: number): SuspectUpdate[] {
		return [...this.suspects].filter(([, suspect]) => isQuarantined(suspect)).map(entry => toUpdate(entry, nowMs));
	}

	/** Applies updates received from another daemon or read from the store; known ones change nothing. New ones are gossiped further if `shouldForward`. */
	applyUpdates(updates: SuspectUpdate[], shouldForward: boolean, nowMs: number): void {
		for (const update of updates) {
			const suspect = this.findOrAddSuspect(update.fingerprint);
			if (this.mergeUpdate(suspect, update, nowMs) && shouldForward) {
				suspect.changedAtMs = nowMs;
			}
		}

		this.prune(nowMs);
	}

	/** Returns the suspects for the state dump. */
	toJson(nowMs: number): unknown {
		return this.recentUpdates(true, nowMs).map(({fingerprint, ...rest}) => ({fingerprint: formatFingerprint(fingerprint), ...rest}));
	}

	/** Merges an update into what is known of a suspect; returns whether anything in it was new. */
	private mergeUpdate(suspect: Suspect, {crashes, clearedAgeMs}: SuspectUpdate, nowMs: number): boolean {
		let isNew = false;
		const clearedAtMs = clearedAgeMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - clearedAgeMs;
		if (clearedAtMs - suspect.clearedAtMs > sameEventToleranceMs) {
			this.clear(suspect, clearedAtMs);
			isNew = true;
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

	/** Drops the crashes up to the time at which a run completed. */
	private clear(suspect: Suspect, atMs: number): void {
		suspect.clearedAtMs = atMs;
		for (const [backendKey, crashedAtMs] of suspect.crashes) {
			if (crashedAtMs <= atMs) {
				suspect.crashes.delete(backendKey);
			}
		}
	}

	private findOrAddSuspect(fingerprint: number): Suspect {
		let suspect = this.suspects.get(fingerprint);
		if (!suspect) {
			suspect = {
				crashes: new Map(), clearedAtMs: Number.NEGATIVE_INFINITY, changedAtMs: Number.NEGATIVE_INFINITY, probedAtMs: Number.NEGATIVE_INFINITY,
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

		if (this.suspects.size > maxSuspects) {
			const ranked = [...this.suspects].toSorted(([, a], [, b]) => compareSuspicion(a, b));
			for (const [fingerprint] of ranked.slice(maxSuspects)) {
				this.suspects.delete(fingerprint);
			}
		}
	}
}

function isQuarantined({crashes}: Suspect): boolean {
	return crashes.size >= crashesToQuarantine;
}

function lastCrashAtMs({crashes}: Suspect): number {
	return Math.max(Number.NEGATIVE_INFINITY, ...crashes.values());
}

function quarantineEndsAtMs(suspect: Suspect): number {
	const furtherCrashes = suspect.crashes.size - crashesToQuarantine;
	return lastCrashAtMs(suspect) + Math.min(maxQuarantineMs, initialQuarantineMs * (2 ** furtherCrashes));
}

function compareSuspicion(a: Suspect, b: Suspect): number {
	return b.crashes.size - a.crashes.size || b.changedAtMs - a.changedAtMs;
}

function toUpdate([fingerprint, {crashes, clearedAtMs}]: [number, Suspect], nowMs: number): SuspectUpdate {
	return {
		fingerprint,
		crashes: [...crashes].toSorted(([, a], [, b]) => b - a).slice(0, maxGossipedCrashes).map(([backendKey, atMs]) => [backendKey, Math.round(nowMs - atMs)]),
		clearedAgeMs: clearedAtMs === Number.NEGATIVE_INFINITY ? undefined : Math.round(nowMs - clearedAtMs),
	};
}
