/**
 * Finds out whether a backend server crashed when a run on it broke off, and what its runs say
 * for and against the requests. An overloaded backend
 * server, or one behind a faulty link, breaks connections without crashing; one that is
 * draining or being reclaimed ends for that reason. Neither says anything about the requests
 * that were running. Nor does one that refuses connections while all others of its service do:
 * then this daemon may be cut off from them.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {isConnectionAccepted, isConnectionRefused} from '../../transport/port-probe.js';
import {createLogger} from '../../log.js';
import {backendKey} from '../fleet/backend-key.js';
import {type Quarantine} from './quarantine.js';
import {formatFingerprint, listFingerprints, type RequestFingerprints} from './request-fingerprint.js';

const log = createLogger('quarantine');

/** Time for a backend server to refuse a connection, in milliseconds: ten round trips between failure domains. A retry waits for it. */
const refusalTimeoutMs = 50;
/** Time for another backend server to accept a connection, in milliseconds, and how many others are tried at most. */
const acceptanceTimeoutMs = 150;
const maxOthers = 6;
/** Penalties by which the backend servers to probe are ordered: one that crashed of late may still be listed, one at which a run broke off as well may have crashed, and one of the same failure domain may be reclaimed together with the one in question. Powers of two, so that a stronger reason outweighs the weaker ones. */
const recentCrashPenalty = 4;
const brokenRunPenalty = 2;
const sameDomainPenalty = 1;
/** Runs that break off at a backend server within this many milliseconds share one check. */
const checkReuseMs = 1000;

/** Time for which an answer must have been written until its run speaks for the parts of its prompt, in milliseconds: a part that crashes backend servers does so as the answer begins. */
export const soundWritingMs = 500;

/** A run that has ended. */
export type EndedRun = {
	backend: Backend;
	fingerprints: RequestFingerprints;
	/** How long its answer had been written when it ended, in milliseconds; undefined if nothing of the answer's body had arrived. */
	writingMs: number | undefined;
};

/** What a {@link CrashWatch} depends on. */
export type CrashWatchDependencies = {
	backends: BackendTable;
	quarantine: Quarantine;
	clock: SteadyClock;
	/** Returns whether an address refuses connections. */
	refuses?: typeof isConnectionRefused;
	/** Returns whether an address accepts connections. */
	accepts?: typeof isConnectionAccepted;
};

/** Turns broken runs into evidence against the requests that were running. */
export class CrashWatch {
	private readonly checks = new Map<string, {atMs: number; hasEnded: Promise<boolean>}>();

	constructor(private readonly dependencies: CrashWatchDependencies) {}

	/** Records a run that broke off; resolves once it is known whether its backend server has crashed. */
	async recordBrokenRun({backend, fingerprints, writingMs}: EndedRun): Promise<void> {
		const {quarantine, clock} = this.dependencies;
		if (!this.isLeaving(backend) && await this.checkEnded(backend, clock.now())) {
			const hasGoneOn = writingMs !== undefined && writingMs >= soundWritingMs;
			quarantine.recordCrash(hasGoneOn ? [fingerprints.request] : listFingerprints(fingerprints), backendKey(backend.id), clock.now());
			log.info('backend server crashed while running a request.', {
				backend: backend.id, fingerprint: formatFingerprint(fingerprints.request), parts: fingerprints.parts.map(part => formatFingerprint(part)).join(','), writingMs,
			});
		}
	}

	/**
	 * Records a run that completed. A backend server may crash just after a short answer, so such
	 * a run speaks for its request only if the backend server stays up. Resolves once that is known.
	 */
	async recordCompletedRun({backend, fingerprints, writingMs = 0}: EndedRun): Promise<void> {
		const {quarantine, clock} = this.dependencies;
		const completedAtMs = clock.now();
		if (!quarantine.isSuspected(fingerprints)) {
			return;
		}

		if (writingMs < soundWritingMs) {
			await delay(soundWritingMs, undefined, {ref: false});
			if (this.isLeaving(backend) || !quarantine.isSuspected(fingerprints)) {
				return;
			}

			if (await this.checkEnded(backend, clock.now())) {
				quarantine.recordCrash(listFingerprints(fingerprints), backendKey(backend.id), clock.now());
				return;
			}
		}

		quarantine.recordCompletedRun(fingerprints, completedAtMs, clock.now());
	}

	/** Whether a backend server refuses connections, as after a crash or an exit, in which its kernel ended those that were open. */
	async refusesConnections(backend: Backend): Promise<boolean> {
		const {refuses = isConnectionRefused} = this.dependencies;
		return refuses(backend, refusalTimeoutMs);
	}

	/** Returns the backend servers of a service that accept work, as far as crashes are known: one that crashed says nothing about the way to the others. */
	runningBackends(service: string, nowMs: number): Backend[] {
		const {backends, quarantine} = this.dependencies;
		return backends.candidates(service, nowMs).filter(({id}) => !quarantine.hasCrashed(backendKey(id), nowMs));
	}

	private isLeaving({id}: Backend): boolean {
		const entry = this.dependencies.backends.get(id);
		return !entry || (!entry.isEnded && (entry.leavingSinceMs !== undefined || entry.vanishedAtMs !== undefined));
	}

	/** Whether a backend server has ended; checked once for all runs that break off there together. */
	private async checkEnded(backend: Backend, nowMs: number): Promise<boolean> {
		const {backends, refuses = isConnectionRefused} = this.dependencies;
		if (backends.get(backend.id)?.isEnded) {
			return true;
		}

		for (const [id, {atMs}] of this.checks) {
			if (nowMs - atMs > checkReuseMs) {
				this.checks.delete(id);
			}
		}

		const check = this.checks.get(backend.id) ?? {atMs: nowMs, hasEnded: refuses(backend, refusalTimeoutMs).then(async isRefused => isRefused && this.reachesAnother(backend, nowMs))};
		this.checks.set(backend.id, check);
		return check.hasEnded;
	}

	/** Whether another backend server of the service accepts connections; true if there is no other. */
	private async reachesAnother({id, service, failureDomain}: Backend, nowMs: number): Promise<boolean> {
		const {backends, quarantine, accepts = isConnectionAccepted} = this.dependencies;
		const others = backends.candidates(service, nowMs).filter(other => other.id !== id);
		const penalty = (other: Backend) => (quarantine.hasCrashed(backendKey(other.id), nowMs) ? recentCrashPenalty : 0) + (this.checks.has(other.id) ? brokenRunPenalty : 0) + (other.failureDomain === failureDomain ? sameDomainPenalty : 0);
		const probed = others.toSorted((a, b) => penalty(a) - penalty(b)).slice(0, maxOthers);
		const accepted = await Promise.all(probed.map(async other => accepts(other, acceptanceTimeoutMs)));
		return probed.length === 0 || accepted.includes(true);
	}
}
