/**
 * Tracks the load that each model engine reports, with one polling task for each engine from
 * the time the directory lists it until it is gone. An engine whose load cannot be read
 * `unhealthyAfter` times in a row gets no new requests until it answers again.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type BackendServer, BackendKind} from '../protocol/gateway-settings.js';
import {EngineRole} from '../protocol/engine-api.js';
import {readLoad} from '../transport/engine-client.js';
import {createLogger} from '../log.js';
import {type BackendDirectory, LeavingSource} from './backend-directory.js';
import {type LoadView} from './router.js';

const log = createLogger('load');

/** Number of failed polls in a row after which an engine counts as unhealthy. */
export const unhealthyAfter = 3;
/** Timeout of a load poll, as a multiple of the polling interval. */
const pollTimeoutFactor = 5;

/** Polls the load of all engines. */
export class LoadTracker {
	/** The latest load and health by id of the engine. */
	readonly views = new Map<string, LoadView>();

	constructor(
		private readonly directory: BackendDirectory,
		private readonly pollMs: number,
	) {}

	/** Counts a request dispatched to an engine until its next load report. */
	noteDispatch(engineId: string): void {
		const view = this.views.get(engineId);
		if (view) {
			view.sentSinceReport++;
		}
	}

	/** Marks an engine as unhealthy after a failed dispatch, until it answers a poll. */
	noteFailure(engineId: string): void {
		const view = this.views.get(engineId);
		if (view) {
			view.healthy = false;
		}
	}

	/** Polls every engine that the directory lists now or later, until the signal aborts. */
	run(signal: AbortSignal): void {
		this.directory.onAdded(({backend}) => {
			if (backend.kind === BackendKind.Engine) {
				this.views.set(backend.id, {sentSinceReport: 0, healthy: true});
				void this.poll(backend, signal);
			}
		});
	}

	private async poll(engine: BackendServer, signal: AbortSignal): Promise<void> {
		const view = this.views.get(engine.id)!;
		let failures = 0;
		while (!signal.aborted && this.directory.isPresent(engine.id)) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.readInto(view, engine, signal);
				failures = 0;
			} catch {
				failures++;
				if (failures >= unhealthyAfter && view.healthy) {
					log.warn('engine is unhealthy.', {engine: engine.id, failures});
					view.healthy = false;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(this.pollMs, undefined, {signal}).catch(() => undefined);
		}

		this.views.delete(engine.id);
	}

	private async readInto(view: LoadView, engine: BackendServer, signal: AbortSignal): Promise<void> {
		const report = await readLoad(engine.url, this.pollMs * pollTimeoutFactor, signal);
		const nowMs = Date.now();
		if (report.id !== engine.id) {
			// Another VM answers at this address, so the listed one is gone.
			this.directory.markLeaving(engine.id, LeavingSource.Engine, nowMs, nowMs);
			return;
		}

		if (report.role === EngineRole.Draining) {
			this.directory.markLeaving(engine.id, LeavingSource.Engine, undefined, nowMs);
		}

		if (!view.healthy) {
			log.info('engine is healthy again.', {engine: engine.id});
		}

		view.report = report;
		view.receivedAtMs = nowMs;
		view.sentSinceReport = 0;
		view.healthy = true;
	}
}
