/**
 * Finds out whether a backend server crashed when a run on it broke off. An overloaded backend
 * server, or one behind a faulty link, breaks connections without crashing; one that is
 * draining or being reclaimed ends for that reason. Neither says anything about the requests
 * that were running. Nor does one that refuses connections while all others of its service do:
 * then this daemon may be cut off from them.
 */
import {type Backend, type PromptPart} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {isConnectionAccepted, isConnectionRefused} from '../../transport/port-probe.js';
import {createLogger} from '../../log.js';
import {backendKey} from '../fleet/backend-key.js';
import {type Quarantine} from './quarantine.js';
import {formatFingerprint} from './request-fingerprint.js';

const log = createLogger('quarantine');

/** Time for a backend server to refuse a connection, in milliseconds: ten round trips between failure domains. A retry waits for it. */
const refusalTimeoutMs = 50;
/** Time for another backend server to accept a connection, in milliseconds, and how many others are tried at most. */
const acceptanceTimeoutMs = 150;
const maxOthers = 6;
/** Runs that break off at a backend server within this many milliseconds share one check. */
const checkReuseMs = 1000;

/** A run that broke off. */
export type BrokenRun = {
	backend: Backend;
	/** The fingerprint of its request. */
	fingerprint: number;
	promptParts: PromptPart[];
	/** Whether the head of its answer had arrived. */
	hasAnswered: boolean;
	/** How long it had been writing when it broke off, in milliseconds; undefined if nothing of the answer's body had arrived. */
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
	async recordBrokenRun({backend, fingerprint, promptParts, hasAnswered, writingMs}: BrokenRun): Promise<void> {
		const {quarantine, clock} = this.dependencies;
		if (!this.isLeaving(backend) && await this.checkEnded(backend, clock.now())) {
			quarantine.recordCrash(fingerprint, backendKey(backend.id), clock.now());
			log.info('backend server crashed while running a request.', {
				backend: backend.id, fingerprint: formatFingerprint(fingerprint), promptParts: promptParts.map(({id}) => id).join(','), hasAnswered, writingMs,
			});
		}
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
		const {backends, accepts = isConnectionAccepted} = this.dependencies;
		const others = backends.candidates(service, nowMs).filter(other => other.id !== id);
		// Those at which runs broke off as well may have crashed too, and those of one failure domain may be reclaimed together.
		const doubt = (other: Backend) => (this.checks.has(other.id) ? 2 : 0) + (other.failureDomain === failureDomain ? 1 : 0);
		const probed = others.toSorted((a, b) => doubt(a) - doubt(b)).slice(0, maxOthers);
		const accepted = await Promise.all(probed.map(async other => accepts(other, acceptanceTimeoutMs)));
		return probed.length === 0 || accepted.includes(true);
	}
}
