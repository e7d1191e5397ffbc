/**
 * Finds out whether a backend server crashed when a run on it broke off. An overloaded backend
 * server, or one behind a faulty link, breaks connections without crashing; one that is
 * draining or being reclaimed ends for that reason. Neither says anything about the requests
 * that were running.
 */
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {isConnectionRefused} from '../../transport/port-probe.js';
import {createLogger} from '../../log.js';
import {backendKey} from '../fleet/backend-key.js';
import {type Quarantine} from './quarantine.js';
import {formatFingerprint} from './request-fingerprint.js';

const log = createLogger('quarantine');

/** Time for a backend server to refuse a connection, in milliseconds: ten round trips between failure domains. A retry waits for it. */
const refusalTimeoutMs = 50;
/** Runs that break off at a backend server within this many milliseconds share one check. */
const checkReuseMs = 1000;

/** What a {@link CrashWatch} depends on. */
export type CrashWatchDependencies = {
	backends: BackendTable;
	quarantine: Quarantine;
	clock: SteadyClock;
	/** Returns whether an address refuses connections. */
	refuses?: typeof isConnectionRefused;
};

/** Turns broken runs into evidence against the requests that were running. */
export class CrashWatch {
	private readonly checks = new Map<string, {atMs: number; hasEnded: Promise<boolean>}>();

	constructor(private readonly dependencies: CrashWatchDependencies) {}

	/** Records a run that broke off; resolves once it is known whether its backend server has crashed. */
	async recordBrokenRun(fingerprint: number, backend: Backend): Promise<void> {
		const {quarantine, clock} = this.dependencies;
		if (!this.isLeaving(backend) && await this.checkEnded(backend, clock.now())) {
			quarantine.recordCrash(fingerprint, backendKey(backend.id), clock.now());
			log.info('backend server crashed while running a request.', {backend: backend.id, fingerprint: formatFingerprint(fingerprint)});
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

		const check = this.checks.get(backend.id) ?? {atMs: nowMs, hasEnded: refuses(backend, refusalTimeoutMs)};
		this.checks.set(backend.id, check);
		return check.hasEnded;
	}
}
