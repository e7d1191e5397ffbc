/**
 * Serving completions. A request is routed to an engine and its tokens are passed on
 * in order. When the engine fails, or its VM is about to be reclaimed, the stream goes
 * on at another engine from the first token not yet delivered, so that the caller sees
 * no gap and no repeat. Ahead of an announced reclaim the KV cache moves along, so that
 * nothing is computed again.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type BackendServer, BackendKind} from '../protocol/gateway-settings.js';
import {type EngineChunk} from '../protocol/engine-api.js';
import {
	cancelRequest, exportKv, importKv, streamCompletion,
} from '../transport/engine-client.js';
import {ConnectError, EngineRefusalError} from '../transport/errors.js';
import {createLogger} from '../log.js';
import {type BackendDirectory, type BackendEntry} from './backend-directory.js';
import {type LoadTracker} from './load-tracker.js';
import {ChunkSequencer} from './chunk-sequencer.js';
import {type CompletionJob, ActiveCompletion} from './flight.js';
import {defaultRetryBound, RepeatPurpose, RetryAllowance} from './retry-allowance.js';
import {chooseBackend, defaultAffinitySlack, servesModel} from './router.js';
import {
	CoordinationError, NoBackendError, OutcomeUnknownError, StreamBrokenError,
} from './errors.js';

const log = createLogger('completions');

/** Failed runs of one request before the gateway gives up. */
export const maxFailures = 3;
/** How long a begun request waits for an engine to become available, in milliseconds. */
export const engineWaitMs = 10_000;
const engineWaitPollMs = 100;
/** How often the requests on a leaving engine are looked at, in milliseconds. */
const drainPollMs = 200;

/** One token delivered to the caller. */
export type Token = {
	seq: number;
	text: string;
	last: boolean;
	engine: string;
};

/** What {@link Completions} needs from the rest of the gateway. */
export type CompletionsContext = {
	directory: BackendDirectory;
	loads: LoadTracker;
	affinitySlack: () => number | undefined;
};

/** Streams completions from the engines of a gateway. */
export class Completions {
	/** Tokens computed again because a stream went on at another engine. */
	recomputedTokens = 0;
	/** Streams that went on at another engine after a failure. */
	resumes = 0;
	/** Streams moved ahead of a reclaim, and those of them whose KV cache moved along. */
	moves = 0;
	kvMoves = 0;
	private readonly active = new Set<ActiveCompletion>();
	private readonly retries = new RetryAllowance(defaultRetryBound);

	constructor(private readonly context: CompletionsContext) {
		context.directory.onLeaving(entry => {
			void this.drainEngine(entry);
		});
	}

	/** Requests being served. */
	get inFlight(): number {
		return this.active.size;
	}

	/** Whether the gateway knows an engine for this model. */
	serves(model: string): boolean {
		return this.models().has(model);
	}

	/** The models of the engines known now. */
	models(): Set<string> {
		const {directory, loads} = this.context;
		const engines = directory.present().filter(backend => backend.kind === BackendKind.Engine);
		return new Set(engines.map(engine => loads.views.get(engine.id)?.report?.model ?? engine.name).filter(name => name !== ''));
	}

	/**
	 * Streams the tokens of a job in order.
	 *
	 * @throws {NoBackendError} Before the first token, when no engine began it: not run.
	 * @throws {OutcomeUnknownError} Before the first token, when an engine may have begun it.
	 * @throws {StreamBrokenError} When it gave up after some tokens were delivered.
	 */
	async * stream(job: CompletionJob, signal: AbortSignal): AsyncGenerator<Token> {
		const flight = new ActiveCompletion(job, signal, stalled => stalled.failures + 1 < maxFailures && this.hasOtherEngine(stalled));
		this.active.add(flight);
		this.retries.countRequest(job.model, Date.now());
		try {
			while (flight.delivered < job.maxTokens) {
				// eslint-disable-next-line no-await-in-loop -- each run goes on where the last one stopped.
				const engine = await this.placeRun(flight);
				yield * this.run(flight, engine);
			}
		} finally {
			this.active.delete(flight);
		}
	}

	/** Counters for state dumps. */
	toJson(): Record<string, number> {
		return {
			inFlight: this.inFlight, recomputedTokens: this.recomputedTokens, resumes: this.resumes, moves: this.moves, kvMoves: this.kvMoves,
		};
	}

	/** Runs a request on one engine until it ends there, fails there, or is moved away. */
	private async * run(flight: ActiveCompletion, engine: BackendServer): AsyncGenerator<Token> {
		const {job} = flight;
		const sequencer = new ChunkSequencer(flight.delivered);
		const runSignal = flight.beginRun(engine);
		try {
			const chunks = streamCompletion(engine.url, {
				model: job.model,
				prompt: job.prompt,
				max_tokens: job.maxTokens,
				stream: true,
				request_id: flight.engineRequestId,
				priority: job.priority,
				resume_from: flight.delivered,
			}, runSignal);
			for await (const chunk of chunks) {
				this.countRecomputed(flight, chunk);
				for (const due of sequencer.accept(chunk)) {
					flight.noteToken(performance.now());
					yield {
						seq: due.seq, text: due.choices[0].text, last: flight.delivered >= job.maxTokens, engine: engine.id,
					};
				}

				if (flight.delivered >= job.maxTokens) {
					return;
				}
			}

			if (!await flight.wasExported()) {
				throw new CoordinationError(`engine ${engine.id} ended the stream at ${flight.delivered} of ${job.maxTokens}`);
			}
		} catch (error) {
			await this.handleFailedRun(flight, engine, error);
		} finally {
			flight.endRun();
		}
	}

	/** Chooses the engine of the next run, and brings the KV cache there after an export. */
	private async placeRun(flight: ActiveCompletion): Promise<BackendServer> {
		const engine = await this.chooseEngine(flight);
		this.context.loads.noteDispatch(engine.id);
		const source = flight.takeExportSource();
		if (source === undefined) {
			if (flight.runs > 0) {
				this.resumes++;
				log.info('resuming stream.', {request: flight.job.requestId, engine: engine.id, from: flight.delivered});
			}

			return engine;
		}

		this.moves++;
		try {
			await importKv(engine.url, {requestId: flight.engineRequestId, source: source.url});
			this.kvMoves++;
			log.info('stream moved with its KV cache.', {
				request: flight.job.requestId, from: source.id, to: engine.id, delivered: flight.delivered,
			});
		} catch (error) {
			log.warn('KV cache not moved, its tokens are computed again.', {
				request: flight.job.requestId, from: source.id, to: engine.id, error: String(error),
			});
		}

		return engine;
	}

	/** Chooses an engine; a request that has begun waits a while for one to become available. */
	private async chooseEngine(flight: ActiveCompletion): Promise<BackendServer> {
		const {loads, affinitySlack} = this.context;
		const deadlineMs = performance.now() + engineWaitMs;
		for (;;) {
			flight.signal.throwIfAborted();
			try {
				return chooseBackend({
					candidates: this.enginesFor(flight.job.model),
					loads: loads.views,
					excluded: flight.failedEngines,
					prompt: flight.job.prompt,
					affinitySlack: affinitySlack() ?? defaultAffinitySlack,
					nowMs: Date.now(),
				});
			} catch (error) {
				if (!flight.hasBegun || performance.now() > deadlineMs) {
					throw this.createFinalError(flight, error);
				}
			}

			// An engine that failed before may have come back.
			flight.failedEngines.clear();
			// eslint-disable-next-line no-await-in-loop
			await delay(engineWaitPollMs, undefined, {signal: flight.signal});
		}
	}

	/** Whether an engine other than the one it runs at takes work for a stream now. */
	private hasOtherEngine(flight: ActiveCompletion): boolean {
		return this.enginesFor(flight.job.model).some(engine => engine.id !== flight.engine?.id && !flight.failedEngines.has(engine.id));
	}

	private enginesFor(model: string): BackendServer[] {
		const {directory, loads} = this.context;
		return directory.takingWork(BackendKind.Engine).filter(engine => servesModel(engine, loads.views.get(engine.id), model));
	}

	private async handleFailedRun(flight: ActiveCompletion, engine: BackendServer, error: unknown): Promise<void> {
		if (flight.signal.aborted) {
			throw error;
		}

		flight.failures++;
		flight.failedEngines.add(engine.id);
		if (!(error instanceof EngineRefusalError)) {
			this.context.loads.noteFailure(engine.id);
		}

		const didNotRun = error instanceof EngineRefusalError || error instanceof ConnectError || await confirmNotStarted(flight, engine);
		flight.mayHaveRun ||= !didNotRun;
		log.warn('engine failed.', {
			request: flight.job.requestId, engine: engine.id, delivered: flight.delivered, error: String(error),
		});
		const isRetryAllowed = flight.hasDelivered || this.retries.take(flight.job.model, RepeatPurpose.Retry, 1, Date.now());
		if (flight.failures >= maxFailures || !isRetryAllowed) {
			throw this.createFinalError(flight, error);
		}
	}

	private createFinalError(flight: ActiveCompletion, cause: unknown): CoordinationError {
		if (flight.hasDelivered) {
			return new StreamBrokenError(flight.delivered, {cause});
		}

		const {requestId} = flight.job;
		return flight.mayHaveRun
			? new OutcomeUnknownError(`request ${requestId} may have run`, {cause})
			: new NoBackendError(`no engine took request ${requestId}`, {cause});
	}

	/** Moves the requests on a leaving engine away until it is gone: some reach it late, and some turn out too slow to finish there. */
	private async drainEngine({backend, leavesAtMs}: BackendEntry): Promise<void> {
		if (leavesAtMs === undefined) {
			return;
		}

		let nowMs: number;
		do {
			nowMs = Date.now();
			this.moveRequests(backend, leavesAtMs, nowMs);
			// eslint-disable-next-line no-await-in-loop
			await delay(drainPollMs, undefined, {ref: false});
		} while (nowMs < leavesAtMs);
	}

	/** Moves the requests on a leaving engine away, but for those that will finish there in time. */
	private moveRequests(backend: BackendServer, leavesAtMs: number, nowMs: number): void {
		for (const flight of this.active) {
			if (flight.engine?.id !== backend.id || flight.isExporting) {
				continue;
			}

			flight.abortAfter(leavesAtMs - nowMs);
			// An export ends the run here, so another engine has to be there first.
			if (!flight.willFinishBy(leavesAtMs, nowMs) && this.hasOtherEngine(flight)) {
				flight.startExport(exportKv(backend.url, flight.engineRequestId));
			}
		}
	}

	private countRecomputed(flight: ActiveCompletion, chunk: EngineChunk): void {
		if (chunk.prefilled !== undefined && (flight.runs > 1 || flight.job.resumeFrom > 0)) {
			this.recomputedTokens += chunk.prefilled;
		}
	}
}

/** Asks an engine to cancel a request; true only when it confirms that it never began it. */
async function confirmNotStarted(flight: ActiveCompletion, engine: BackendServer): Promise<boolean> {
	if (flight.hasDelivered) {
		return false;
	}

	try {
		const answer = await cancelRequest(engine.url, flight.engineRequestId);
		return answer.cancelled && !answer.started;
	} catch {
		return false;
	}
}
