/**
 * Quarantines requests that crash backend servers (queries of death), to protect the remaining
 * backend servers: a request that its client retries after each crash, and all requests whose
 * prompts share a part that crashes whatever runs it. Each run also ends the other requests on
 * its backend server.
 *
 * This is group testing. A crash counts against all requests that were running and all parts of
 * the prompts on which answers were about to begin; a run that goes on clears its parts, and one
 * that completes clears its request as well. Many requests share a part, so it is at many
 * crashes, and their number alone does not get it refused: not while another suspect, which a
 * request lacks, was at all of them, and not before a run that went on elsewhere would be known
 * here. Until that is certain single requests run, away from others, and their ends decide.
 *
 * A part keeps its fingerprint in all services and for all accounts, since a route may change
 * its service and other accounts may share the part; only crashes under it can have it refused.
 */
import {type SuspectUpdate} from '../../protocol/fleet-messages.js';
import {formatFingerprint, listFingerprints, type RequestFingerprints} from './request-fingerprint.js';
import {
	crashesToQuarantine, lastCrashAtMs, type Suspect, Suspects,
} from './suspects.js';

export {crashesToQuarantine} from './suspects.js';

/** Number of crashes that quarantine a part with which a run has gone on before. */
const crashesAfterSoundRun = 5;
/** Number of backend servers that must have crashed while running a request before its next run is placed where the fewest other requests run. */
const isolationCrashes = 2;
/** Time after the crash that would quarantine a part for which others may still report runs with it that went on, in milliseconds. */
const settlingMs = 1000;
/** Interval between two trial runs of an uncertain suspect, in milliseconds: longer than a run needs to begin and to go on. */
const trialIntervalMs = 1000;
/** How long a request is refused after the crash that quarantined it, in milliseconds; each further crash doubles the time. */
export const initialQuarantineMs = 60_000;
/** The same for a part with which a run has gone on before, in milliseconds: many sound requests may share it. */
const initialSoundPartQuarantineMs = 5000;
/** Longest quarantine, in milliseconds. */
const maxQuarantineMs = 15 * 60_000;
/** Interval between two probes of a request whose quarantine is over, in milliseconds: longer than a run may take. */
const probeIntervalMs = 30_000;
/** Retry-After for a request whose quarantine is over but which only another daemon may probe, in milliseconds. */
const nonProberRetryAfterMs = 10_000;

/** The refusal of a quarantined request: what it is refused for, the number of crashes that count against that, and its Retry-After. */
export type QuarantineRefusal = {fingerprint: number; crashes: number; retryAfterMs: number};

/** How certain it is that a suspect crashes backend servers. */
enum Certainty {
	/** Something else may have caused the crashes; single requests run and decide. */
	Uncertain = 'uncertain',
	Certain = 'certain',
}

/** A suspect, with enough crashes for a quarantine, among the fingerprints of a request. */
type SuspectMatch = {
	fingerprint: number;
	suspect: Suspect;
	certainty: Certainty;
	quarantineEndsAtMs: number;
};

/** The suspected and quarantined requests and parts of prompts that one daemon knows of. */
export class Quarantine {
	private readonly suspects = new Suspects();

	/** @param canProbe Returns whether this daemon is the one that may probe requests whose quarantine is over. */
	constructor(private readonly canProbe: (nowMs: number) => boolean) {}

	/** Whether nothing is suspected, so that no request needs fingerprints. */
	get isEmpty(): boolean {
		return this.suspects.isEmpty;
	}

	/** Records that a backend server crashed while running what has these fingerprints. */
	recordCrash(fingerprints: readonly number[], backendKey: number, nowMs: number): void {
		this.suspects.recordCrash(fingerprints, backendKey, nowMs);
	}

	/** Records that a run of a request completed at a time, which clears the request and the parts of its prompt. */
	recordCompletedRun(fingerprints: RequestFingerprints, completedAtMs: number, nowMs: number): void {
		this.suspects.recordSoundRun(listFingerprints(fingerprints), completedAtMs, nowMs);
	}

	/** Whether a backend server is known to have crashed of late. */
	hasCrashed(backendKey: number, nowMs: number): boolean {
		return this.suspects.hasCrashed(backendKey, nowMs);
	}

	/** Whether a crash counts against a request or a part of its prompt. */
	isSuspected(fingerprints: RequestFingerprints): boolean {
		return this.suspects.isAnySuspected(listFingerprints(fingerprints));
	}

	/** Records that an answer went on after it had begun, which clears the parts of its prompt; its request may still crash the backend server later. */
	recordProgress({parts}: RequestFingerprints, nowMs: number): void {
		this.suspects.recordSoundRun(parts, nowMs, nowMs);
	}

	/**
	 * Decides whether a request may run; undefined when it may. While the evidence is uncertain,
	 * one request may run per {@link trialIntervalMs}. After a quarantine one may run as a probe, at one daemon only and
	 * once per {@link probeIntervalMs}.
	 */
	admit(fingerprints: RequestFingerprints, nowMs: number): QuarantineRefusal | undefined {
		const matches = this.findMatches(fingerprints, nowMs);
		const refusals = matches.map(match => this.refuse(match, nowMs)).filter(refusal => refusal !== undefined);
		if (refusals.length > 0) {
			return refusals.toSorted((a, b) => b.retryAfterMs - a.retryAfterMs)[0];
		}

		for (const {suspect, certainty} of matches) {
			if (certainty === Certainty.Certain) {
				suspect.probedAtMs = nowMs;
			} else {
				suspect.triedAtMs = nowMs;
			}
		}

		return undefined;
	}

	/** Whether a request that is being served must not be sent again, nor begin to run. */
	forbidsRun(fingerprints: RequestFingerprints, nowMs: number): boolean {
		return this.findMatches(fingerprints, nowMs).some(({suspect, certainty}) => certainty === Certainty.Certain && !isProbeRunning(suspect, nowMs));
	}

	/** Whether the next run of a request is likely to crash its backend server. */
	isSuspect(fingerprints: RequestFingerprints): boolean {
		const own = new Set(listFingerprints(fingerprints));
		return [...own].some(fingerprint => {
			const suspect = this.suspects.get(fingerprint);
			return suspect !== undefined && suspect.crashes.size >= isolationCrashes && !this.suspects.hasOtherExplanation(suspect, own);
		});
	}

	/** Returns the updates that this daemon sends to others in one round. */
	takeRoundUpdates(withQuarantined: boolean, nowMs: number): SuspectUpdate[] {
		return this.suspects.takeRoundUpdates(withQuarantined, nowMs);
	}

	/** Returns the updates for other daemons: recent changes, and with `withQuarantined` all that are quarantined, for daemons that have just started. */
	recentUpdates(withQuarantined: boolean, nowMs: number): SuspectUpdate[] {
		return this.suspects.recentUpdates(withQuarantined, nowMs);
	}

	/** Returns what is quarantined, to be stored in case all daemons are lost at once. */
	quarantinedUpdates(nowMs: number): SuspectUpdate[] {
		return this.suspects.quarantinedUpdates(nowMs);
	}

	/** Applies updates received from another daemon or read from the store; known ones change nothing. New ones are gossiped further if `shouldForward`. */
	applyUpdates(updates: readonly SuspectUpdate[], shouldForward: boolean, nowMs: number): void {
		this.suspects.applyUpdates(updates, shouldForward, nowMs);
	}

	/** Returns the suspects for the state dump. */
	toJson(nowMs: number): unknown {
		return this.recentUpdates(true, nowMs).map(({fingerprint, ...rest}) => ({fingerprint: formatFingerprint(fingerprint), ...rest}));
	}

	/** Returns what speaks against running a request. */
	private findMatches(fingerprints: RequestFingerprints, nowMs: number): SuspectMatch[] {
		const own = new Set(listFingerprints(fingerprints));
		const matches: SuspectMatch[] = [];
		for (const fingerprint of own) {
			const suspect = this.suspects.get(fingerprint);
			const isPart = fingerprint !== fingerprints.request;
			const wasSound = isPart && suspect !== undefined && suspect.clearedAtMs > Number.NEGATIVE_INFINITY;
			const neededCrashes = wasSound ? crashesAfterSoundRun : crashesToQuarantine;
			if (!suspect || suspect.crashes.size < neededCrashes) {
				continue;
			}

			const isExplained = this.suspects.hasOtherExplanation(suspect, own);
			const isUncertain = isExplained || (isPart && nowMs - crashTimeMs(suspect, neededCrashes) < settlingMs);
			if (!isExplained || !wasSound) {
				matches.push({
					fingerprint,
					suspect,
					certainty: isUncertain ? Certainty.Uncertain : Certainty.Certain,
					quarantineEndsAtMs: quarantineEndsAtMs(suspect, neededCrashes, wasSound ? initialSoundPartQuarantineMs : initialQuarantineMs),
				});
			}
		}

		return matches;
	}

	private refuse({fingerprint, suspect, certainty, quarantineEndsAtMs: endsAtMs}: SuspectMatch, nowMs: number): QuarantineRefusal | undefined {
		const crashes = suspect.crashes.size;
		if (certainty === Certainty.Uncertain) {
			const retryAfterMs = suspect.triedAtMs + trialIntervalMs - nowMs;
			return retryAfterMs > 0 ? {fingerprint, crashes, retryAfterMs} : undefined;
		}

		const remainingMs = endsAtMs - nowMs;
		if (remainingMs > 0) {
			return {fingerprint, crashes, retryAfterMs: remainingMs};
		}

		if (!this.canProbe(nowMs)) {
			return {fingerprint, crashes, retryAfterMs: nonProberRetryAfterMs};
		}

		const msUntilProbe = suspect.probedAtMs + probeIntervalMs - nowMs;
		return msUntilProbe > 0 ? {fingerprint, crashes, retryAfterMs: msUntilProbe} : undefined;
	}
}

/** Whether this daemon has admitted a probe whose end is not known yet. */
function isProbeRunning(suspect: Suspect, nowMs: number): boolean {
	return suspect.probedAtMs > lastCrashAtMs(suspect) && nowMs - suspect.probedAtMs < probeIntervalMs;
}

/** Returns when the crash of a given number happened, the earliest being the first. */
function crashTimeMs({crashes}: Suspect, count: number): number {
	return [...crashes.values()].toSorted((a, b) => a - b)[count - 1];
}

function quarantineEndsAtMs(suspect: Suspect, neededCrashes: number, initialMs: number): number {
	const furtherCrashes = suspect.crashes.size - neededCrashes;
	return lastCrashAtMs(suspect) + Math.min(maxQuarantineMs, initialMs * (2 ** furtherCrashes));
}
