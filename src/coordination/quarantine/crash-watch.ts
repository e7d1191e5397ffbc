/**
 * Finds out whether a backend server ended as a run there broke off. An overloaded one, or
 * one behind a faulty link, breaks connections and lives on; one that was told to leave or is
 * reclaimed ends for that reason. Neither says anything of the requests it ran.
 */
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {refusesConnections} from '../../transport/port-probe.js';
import {createLogger} from '../../log.js';
import {backendKey} from '../fleet/backend-key.js';
import {type Quarantine} from './quarantine.js';
import {describeFingerprint} from './request-fingerprint.js';

const log = createLogger('quarantine');

/** Time for a backend server to refuse a connection, in milliseconds; ten round trips between failure domains. A repeat waits for it. */
const refuseMs = 50;
/** Runs that break within this of each other share one look, in milliseconds. */
const sharedMs = 1000;

/** The parts a crash watch works with. */
export type CrashWatchParts = {
	backends: BackendTable;
	quarantine: Quarantine;
	clock: SteadyClock;
	/** Whether an address refuses connections. */
	refuses?: typeof refusesConnections;
};

/** Turns broken runs into evidence against the requests that ran. */
export class CrashWatch {
	private readonly looks = new Map<string, {atMs: number; hasEnded: Promise<boolean>}>();

	constructor(private readonly parts: CrashWatchParts) {}

	/** Takes note of a run that broke off; done once it is known whether its backend server has ended. */
	async noteBroken(fingerprint: number, backend: Backend): Promise<void> {
		const {quarantine, clock} = this.parts;
		if (!this.isLeaving(backend) && await this.look(backend, clock.now())) {
			quarantine.noteCrash(fingerprint, backendKey(backend.id), clock.now());
			log.info('backend server ended under a request.', {backend: backend.id, fingerprint: describeFingerprint(fingerprint)});
		}
	}

	private isLeaving({id}: Backend): boolean {
		const entry = this.parts.backends.get(id);
		return !entry || (!entry.isEnded && (entry.leavingSinceMs !== undefined || entry.vanishedAtMs !== undefined));
	}

	/** Whether a backend server has ended, asked once for all runs that break there together. */
	private async look(backend: Backend, nowMs: number): Promise<boolean> {
		const {backends, refuses = refusesConnections} = this.parts;
		if (backends.get(backend.id)?.isEnded) {
			return true;
		}

		for (const [id, {atMs}] of this.looks) {
			if (nowMs - atMs > sharedMs) {
				this.looks.delete(id);
			}
		}

		const look = this.looks.get(backend.id) ?? {atMs: nowMs, hasEnded: refuses(backend, refuseMs)};
		this.looks.set(backend.id, look);
		return look.hasEnded;
	}
}
