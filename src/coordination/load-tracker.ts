/**
 * Tracks the load each model engine reports: one polling task per engine. An
 * engine whose load cannot be read `unhealthyAfter` times in a row is marked
 * unhealthy and gets no new work until it answers again.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type BackendServer} from '../protocol/settings.js';
import {type EngineLoad} from '../protocol/engine-api.js';
import {fetchJson} from '../transport/http-client.js';
import {createLogger} from '../log.js';
import {type LoadView} from './router.js';

const log = createLogger('load');

/** Failed polls in a row after which an engine counts as unhealthy. */
export const unhealthyAfter = 3;

/** The load views of all engines, kept fresh by one task per engine. */
export class LoadTracker {
	readonly views = new Map<string, LoadView>();

	constructor(
		private readonly engines: BackendServer[],
		private readonly pollMs: number,
	) {
		for (const engine of engines) {
			this.views.set(engine.id, {sentSinceReport: 0, healthy: true});
		}
	}

	/** Counts a dispatch to an engine until its next report. */
	noteDispatch(engineId: string): void {
		const view = this.views.get(engineId);
		if (view) {
			view.sentSinceReport++;
		}
	}

	/** Marks an engine unhealthy at once, after a failed dispatch. */
	noteFailure(engineId: string): void {
		const view = this.views.get(engineId);
		if (view) {
			view.healthy = false;
		}
	}

	/** Polls every engine until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all(this.engines.map(async engine => this.poll(engine, signal)));
	}

	private async poll(engine: BackendServer, signal: AbortSignal): Promise<void> {
		const view = this.views.get(engine.id)!;
		let failures = 0;
		while (!signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop
				view.report = await fetchJson<EngineLoad>({
					method: 'GET', url: `${engine.url}/load`, timeoutMs: this.pollMs * 5, signal,
				});
				view.receivedAtMs = Date.now();
				view.sentSinceReport = 0;
				if (!view.healthy) {
					log.info('engine is healthy again.', {engine: engine.id});
				}

				view.healthy = true;
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
	}
}
