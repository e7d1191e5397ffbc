/**
 * Keeps requests that crash backend servers (queries of death) from the ones that are left.
 * Such a request comes again after each crash, at any daemon, and each run ends the work of
 * all others at its backend server. What tells it from those: runs of the same fingerprint
 * were in progress at several backend servers when each of these ended, and none completed.
 * Daemons tell each other which backend server ended under which fingerprint, so an end
 * counts once however often it is told.
 */
import {type SuspectNews} from '../../protocol/fleet-messages.js';
import {describeFingerprint} from './request-fingerprint.js';

/** Backend servers that must have ended under a request before it is refused. Innocent requests met two ends in crash waves, when they were sent on at once. */
export const crashesToQuarantine = 3;
/** Backend servers that must have ended under a request before the next run of it is kept away from others. */
const crashesToIsolate = 2;
/** How long a request is refused after the crash that made it known, in milliseconds; doubled by each further one. */
export const firstQuarantineMs = 60_000;
const longestQuarantineMs = 15 * 60_000;
/** Time between two probes of a request whose quarantine is over, in milliseconds: longer than a run may take. */
const probePauseMs = 30_000;
/** When a client should return that met a request which only another daemon may probe, in milliseconds. */
const elsewhereReturnMs = 10_000;
/** What is known of a request is forgotten this long after its last crash, in milliseconds. */
const forgottenMs = 60 * 60_000;
/** Ends under a request that is not quarantined count for this long, in milliseconds. */
const suspicionMs = 10 * 60_000;
/** Fingerprints remembered: a wave that ends ten engines leaves some five hundred. */
const mostSuspects = 2000;
/** What is new is told for this long, in milliseconds: eight rounds, of which datagrams may lose some. */
const toldMs = 2000;
/** Difference below which two times of one event are the same, in milliseconds: each daemon that passes one on adds the time of a message. */
const sameMs = 1000;
/** Time between two looks for what is to be forgotten, in milliseconds, and how many fingerprints more than are remembered there may be meanwhile. */
const pruneMs = 1000;
const mostUnpruned = 500;
/** Fingerprints told in one round, the most suspect first: those that one daemon had in progress at a full engine. */
const mostTold = 64;
/** Ends told of one fingerprint, the latest ones: more than make it quarantined. */
const mostToldCrashes = 6;

/** What is known of one fingerprint. */
type Suspect = {
	/** When each backend server ended under it, by the backend server's key. */
	crashes: Map<number, number>;
	/** When a run of it last completed; earlier crashes do not count. */
	clearedAtMs: number;
	/** When this daemon last learned something of it. */
	changedAtMs: number;
	/** When this daemon last let a probe run. */
	probedAtMs: number;
};

/** Why a request is refused. */
export type Quarantined = {crashes: number; returnAfterMs: number};

/** The requests under which backend servers ended, as one daemon knows them. */
export class Quarantine {
	private readonly suspects = new Map<number, Suspect>();
	private prunedAtMs = Number.NEGATIVE_INFINITY;

	/** @param mayProbe Whether this daemon is the one that may try a request once its quarantine is over. */
	constructor(private readonly mayProbe: (nowMs: number) => boolean) {}

	/** Whether nothing is suspected, so that no request needs a fingerprint. */
	get isEmpty(): boolean {
		return this.suspects.size === 0;
	}

	/** Notes that a backend server ended while it ran a request. */
	noteCrash(fingerprint: number, backendKey: number, nowMs: number): void {
		const suspect = this.suspect(fingerprint);
		if (!suspect.crashes.has(backendKey)) {
			suspect.crashes.set(backendKey, nowMs);
			suspect.changedAtMs = nowMs;
		}

		this.prune(nowMs);
	}

	/** Notes that a run of a request completed: it does not crash backend servers. */
	noteCompleted(fingerprint: number, nowMs: number): void {
		const suspect = this.suspects.get(fingerprint);
		if (suspect && suspect.crashes.size > 0) {
			this.clear(suspect, nowMs);
			suspect.changedAtMs = nowMs;
		}
	}

	/** Decides whether a request may run; undefined when it may. One whose quarantine is over may run once, as a probe, at one daemon of all. */
	admit(fingerprint: number, nowMs: number): Quarantined | undefined {
		const suspect = this.suspects.get(fingerprint);
		if (!suspect || suspect.crashes.size < crashesToQuarantine) {
			return undefined;
		}

		const leftMs = quarantineEndMs(suspect) - nowMs;
		if (leftMs > 0) {
			return {crashes: suspect.crashes.size, returnAfterMs: leftMs};
		}

		if (!this.mayProbe(nowMs)) {
			return {crashes: suspect.crashes.size, returnAfterMs: elsewhereReturnMs};
		}

		const probeLeftMs = suspect.probedAtMs + probePauseMs - nowMs;
		if (probeLeftMs > 0) {
			return {crashes: suspect.crashes.size, returnAfterMs: probeLeftMs};
		}

		suspect.probedAtMs = nowMs;
		return undefined;
	}

	/** Whether a request that is being served may not be sent once more. */
	forbidsRepeat(fingerprint: number): boolean {
		return (this.suspects.get(fingerprint)?.crashes.size ?? 0) >= crashesToQuarantine;
	}

	/** Whether the next run of a request may well crash its backend server. */
	isSuspect(fingerprint: number): boolean {
		return (this.suspects.get(fingerprint)?.crashes.size ?? 0) >= crashesToIsolate;
	}

	/** What other daemons should know: what changed of late, and with `withQuarantined` all that is quarantined, for those that have just started. */
	news(withQuarantined: boolean, nowMs: number): SuspectNews[] {
		this.prune(nowMs);
		const told = [...this.suspects].filter(([, suspect]) => (withQuarantined && isQuarantined(suspect)) || nowMs - suspect.changedAtMs <= toldMs);
		return told.toSorted(([, a], [, b]) => compareSuspicion(a, b)).slice(0, mostTold).map(entry => toNews(entry, nowMs));
	}

	/** What the store should keep for the case that all daemons are lost at once. */
	quarantined(nowMs: number): SuspectNews[] {
		return [...this.suspects].filter(([, suspect]) => isQuarantined(suspect)).map(entry => toNews(entry, nowMs));
	}

	/** Takes what another daemon knows; what is known already changes nothing. What is new is told on by a daemon that `passesOn`. */
	hear(news: SuspectNews[], passesOn: boolean, nowMs: number): void {
		for (const item of news) {
			const suspect = this.suspect(item.fingerprint);
			if (this.merge(suspect, item, nowMs) && passesOn) {
				suspect.changedAtMs = nowMs;
			}
		}

		this.prune(nowMs);
	}

	/** What a state dump shows. */
	toJson(nowMs: number): unknown {
		return this.news(true, nowMs).map(({fingerprint, ...rest}) => ({fingerprint: describeFingerprint(fingerprint), ...rest}));
	}

	/** Returns whether something of it was new. */
	private merge(suspect: Suspect, {crashes, clearedAgeMs}: SuspectNews, nowMs: number): boolean {
		let isNew = false;
		const clearedAtMs = clearedAgeMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - clearedAgeMs;
		if (clearedAtMs - suspect.clearedAtMs > sameMs) {
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

	private clear(suspect: Suspect, atMs: number): void {
		suspect.clearedAtMs = atMs;
		for (const [backendKey, crashedAtMs] of suspect.crashes) {
			if (crashedAtMs <= atMs) {
				suspect.crashes.delete(backendKey);
			}
		}
	}

	private suspect(fingerprint: number): Suspect {
		let suspect = this.suspects.get(fingerprint);
		if (!suspect) {
			suspect = {
				crashes: new Map(), clearedAtMs: Number.NEGATIVE_INFINITY, changedAtMs: Number.NEGATIVE_INFINITY, probedAtMs: Number.NEGATIVE_INFINITY,
			};
			this.suspects.set(fingerprint, suspect);
		}

		return suspect;
	}

	/** Forgets what is old, and the least suspect ones beyond those that are remembered. */
	private prune(nowMs: number): void {
		if (nowMs - this.prunedAtMs < pruneMs && this.suspects.size <= mostSuspects + mostUnpruned) {
			return;
		}

		this.prunedAtMs = nowMs;
		for (const [fingerprint, suspect] of this.suspects) {
			const keptMs = isQuarantined(suspect) ? forgottenMs : suspicionMs;
			if (nowMs - Math.max(lastCrashMs(suspect), suspect.clearedAtMs) > keptMs) {
				this.suspects.delete(fingerprint);
			}
		}

		if (this.suspects.size > mostSuspects) {
			const ranked = [...this.suspects].toSorted(([, a], [, b]) => compareSuspicion(a, b));
			for (const [fingerprint] of ranked.slice(mostSuspects)) {
				this.suspects.delete(fingerprint);
			}
		}
	}
}

function isQuarantined({crashes}: Suspect): boolean {
	return crashes.size >= crashesToQuarantine;
}

function lastCrashMs({crashes}: Suspect): number {
	return Math.max(Number.NEGATIVE_INFINITY, ...crashes.values());
}

function quarantineEndMs(suspect: Suspect): number {
	const further = suspect.crashes.size - crashesToQuarantine;
	return lastCrashMs(suspect) + Math.min(longestQuarantineMs, firstQuarantineMs * (2 ** further));
}

function compareSuspicion(a: Suspect, b: Suspect): number {
	return b.crashes.size - a.crashes.size || b.changedAtMs - a.changedAtMs;
}

function toNews([fingerprint, {crashes, clearedAtMs}]: [number, Suspect], nowMs: number): SuspectNews {
	return {
		fingerprint,
		crashes: [...crashes].toSorted(([, a], [, b]) => b - a).slice(0, mostToldCrashes).map(([backendKey, atMs]) => [backendKey, Math.round(nowMs - atMs)]),
		clearedAgeMs: clearedAtMs === Number.NEGATIVE_INFINITY ? undefined : Math.round(nowMs - clearedAtMs),
	};
}
