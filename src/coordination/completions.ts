/**
 * Serves completions. A request is routed to an engine, and its tokens are delivered in
 * order. If the engine fails or its VM is about to be reclaimed, the stream resumes at
 * another engine from the first token not yet delivered, so that the caller sees no
 * missing or repeated token. Before an announced reclaim, the KV cache is moved to the
 * other engine, so that no token is computed again.
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
import {type CompletionJob, ActiveCompletion} from './active-completion.js';
import {defaultRetryLimits, LocalRetryBudget, RetryPurpose} from './retry-budget.js';
import {chooseBackend, defaultAffinitySlack, servesModel} from './router.js';
import {
	CoordinationError, NoBackendError, OutcomeUnknownError, StreamBrokenError,
} from './errors.js';

const log = createLogger('completions');

/** Number of failed runs of one request after which the request fails. */
export const maxFailures = 3;
/** How long a request that has begun waits for an engine to become available, in milliseconds. */
export const engineWaitMs = 10_000;
/** Interval between the attempts to choose an engine during this wait, in milliseconds. */
const engineWaitPollMs = 100;
/** Interval between checks of the requests on a leaving engine, in milliseconds. */
const drainPollMs = 200;

/** One token delivered to the caller. */
export type Token = {
	/** Index of the token in the whole completion. */
	seq: number;
	text: string;
	/** Whether it is the last token of the completion. */
	isLast: boolean;
	/** Id of the engine that generated it. */
	engine: string;
};

/** The parts of the gateway that {@link Completions} depends on. */
export type CompletionsContext = {
	directory: BackendDirectory;
	loads: LoadTracker;
	/** Returns the difference in load up to which prefix affinity decides on the engine; undefined for the default. */
	affinitySlack: () => number | undefined;
};

/** Streams completions from the engines of a gateway. */
export class Completions {
	/** Number of tokens computed again because a stream resumed at another engine. */
	recomputedTokens = 0;
	/** Number of streams that resumed at another engine after a failure. */
	resumes = 0;
	/** Number of streams moved before a reclaim. */
	moves = 0;
	/** Number of streams moved together with their KV cache. */
	kvMoves = 0;
	private readonly activeCompletions = new Set<ActiveCompletion>();
	private readonly retries = new LocalRetryBudget(defaultRetryLimits);

	constructor(private readonly context: CompletionsContext) {
		context.directory.onLeaving(entry => {
			void this.drainEngine(entry);
		});
	}

	/** Number of requests being served. */
	get inFlight(): number {
		return this.activeCompletions.size;
	}

	/** Whether a known engine serves this model. */
	serves(model: string): boolean {
		return this.models().has(model);
	}

	/** Returns the models of the known engines. */
	models(): Set<string> {
		const {directory, loads} = this.context;
		const engines = directory.present().filter(backend => backend.kind === BackendKind.Engine);
		return new Set(engines.map(engine => loads.views.get(engine.id)?.report?.model ?? engine.name).filter(name => name !== ''));
	}

	/**
	 * Streams the tokens of a completion in order.
	 *
	 * @throws {NoBackendError} Before the first token, when no engine began the request.
	 * @throws {OutcomeUnknownError} Before the first token, when an engine may have begun the request.
	 * @throws {StreamBrokenError} When the request failed after some tokens were delivered.
	 */
	async * stream(job: CompletionJob, signal: AbortSignal): AsyncGenerator<Token> {
		const completion = new ActiveCompletion(job, signal, stalled => stalled.failures + 1 < maxFailures && this.hasOtherEngine(stalled));
		this.activeCompletions.add(completion);
		this.retries.countRequest(job.model, Date.now());
		try {
			while (completion.delivered < job.maxTokens) {
				// eslint-disable-next-line no-await-in-loop -- each run continues where the previous one stopped.
				const engine = await this.placeRun(completion);
				yield * this.run(completion, engine);
			}
		} finally {
			this.activeCompletions.delete(completion);
		}
	}

	/** Returns the counters for state dumps. */
	toJson(): Record<string, number> {
		return {
			inFlight: this.inFlight, recomputedTokens: this.recomputedTokens, resumes: this.resumes, moves: this.moves, kvMoves: this.kvMoves,
		};
	}

	/** Runs a request on one engine until it ends, fails, or is moved to another engine. */
	private async * run(completion: ActiveCompletion, engine: BackendServer): AsyncGenerator<Token> {
		const {job} = completion;
		const sequencer = new ChunkSequencer(completion.delivered);
		const runSignal = completion.beginRun(engine);
		try {
			const chunks = streamCompletion(engine.url, {
				model: job.model,
				prompt: job.prompt,
				max_tokens: job.maxTokens,
				stream: true,
				request_id: completion.engineRequestId,
				priority: job.priority,
				resume_from: completion.delivered,
			}, runSignal);
			for await (const chunk of chunks) {
				this.countRecomputed(completion, chunk);
				for (const due of sequencer.accept(chunk)) {
					completion.countToken(performance.now());
					yield {
						seq: due.seq, text: due.choices[0].text, isLast: completion.delivered >= job.maxTokens, engine: engine.id,
					};
				}

				if (completion.delivered >= job.maxTokens) {
					return;
				}
			}

			if (!await completion.wasExported()) {
				throw new CoordinationError(`engine ${engine.id} ended the stream at ${completion.delivered} of ${job.maxTokens}`);
			}
		} catch (error) {
			await this.handleFailedRun(completion, engine, error);
		} finally {
			completion.endRun();
		}
	}

	/** Chooses the engine of the next run, and imports the KV cache there if it was exported. */
	private async placeRun(completion: ActiveCompletion): Promise<BackendServer> {
		const engine = await this.chooseEngine(completion);
		this.context.loads.noteDispatch(engine.id);
		const source = completion.takeExportSource();
		if (source === undefined) {
			if (completion.runs > 0) {
				this.resumes++;
				log.info('resuming stream.', {request: completion.job.requestId, engine: engine.id, from: completion.delivered});
			}

			return engine;
		}

		this.moves++;
		try {
			await importKv(engine.url, {requestId: completion.engineRequestId, source: source.url});
			this.kvMoves++;
			log.info('stream moved with its KV cache.', {
				request: completion.job.requestId, from: source.id, to: engine.id, delivered: completion.delivered,
			});
		} catch (error) {
			log.warn('KV cache import failed, its tokens will be computed again.', {
				request: completion.job.requestId, from: source.id, to: engine.id, error: String(error),
			});
		}

		return engine;
	}

	/** Chooses an engine; a request that has begun waits up to {@link engineWaitMs} for one to become available. */
	private async chooseEngine(completion: ActiveCompletion): Promise<BackendServer> {
		const {loads, affinitySlack} = this.context;
		const deadlineMs = performance.now() + engineWaitMs;
		for (;;) {
			completion.signal.throwIfAborted();
			try {
				return chooseBackend({
					candidates: this.enginesFor(completion.job.model),
					loads: loads.views,
					excluded: completion.failedEngines,
					prompt: completion.job.prompt,
					affinitySlack: affinitySlack() ?? defaultAffinitySlack,
					nowMs: Date.now(),
				});
			} catch (error) {
				if (!completion.hasBegun || performance.now() > deadlineMs) {
					throw this.createFinalError(completion, error);
				}
			}

			// An engine that failed before may be available again.
			completion.failedEngines.clear();
			// eslint-disable-next-line no-await-in-loop
			await delay(engineWaitPollMs, undefined, {signal: completion.signal});
		}
	}

	/** Whether an engine other than the current one accepts work for a stream now. */
	private hasOtherEngine(completion: ActiveCompletion): boolean {
		return this.enginesFor(completion.job.model).some(engine => engine.id !== completion.engine?.id && !completion.failedEngines.has(engine.id));
	}

	private enginesFor(model: string): BackendServer[] {
		const {directory, loads} = this.context;
		return directory.acceptingWork(BackendKind.Engine).filter(engine => servesModel(engine, loads.views.get(engine.id), model));
	}

	private async handleFailedRun(completion: ActiveCompletion, engine: BackendServer, error: unknown): Promise<void> {
		if (completion.signal.aborted) {
			throw error;
		}

		completion.failures++;
		completion.failedEngines.add(engine.id);
		if (!(error instanceof EngineRefusalError)) {
			this.context.loads.noteFailure(engine.id);
		}

		const didNotRun = error instanceof EngineRefusalError || error instanceof ConnectError || await confirmNotStarted(completion, engine);
		completion.mayHaveRun ||= !didNotRun;
		log.warn('engine failed.', {
			request: completion.job.requestId, engine: engine.id, delivered: completion.delivered, error: String(error),
		});
		const isRetryAllowed = completion.hasDelivered || this.retries.tryTake(completion.job.model, RetryPurpose.Retry, Date.now());
		if (completion.failures >= maxFailures || !isRetryAllowed) {
			throw this.createFinalError(completion, error);
		}
	}

	private createFinalError(completion: ActiveCompletion, cause: unknown): CoordinationError {
		if (completion.hasDelivered) {
			return new StreamBrokenError(completion.delivered, {cause});
		}

		const {requestId} = completion.job;
		return completion.mayHaveRun
			? new OutcomeUnknownError(`request ${requestId} may have run`, {cause})
			: new NoBackendError(`no engine took request ${requestId}`, {cause});
	}

	/** Repeatedly moves requests from a leaving engine to others until it is gone, since some requests arrive there late and some turn out to be too slow to finish there. */
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

	/** Moves the requests on a leaving engine to others, except those that will finish in time. */
	private moveRequests(backend: BackendServer, leavesAtMs: number, nowMs: number): void {
		for (const completion of this.activeCompletions) {
			if (completion.engine?.id !== backend.id || completion.isExporting) {
				continue;
			}

			completion.abortAfter(leavesAtMs - nowMs);
			// The export ends the run on this engine, so another engine must be available first.
			if (!completion.willFinishBy(leavesAtMs, nowMs) && this.hasOtherEngine(completion)) {
				completion.trackExport(exportKv(backend.url, completion.engineRequestId));
			}
		}
	}

	private countRecomputed(completion: ActiveCompletion, chunk: EngineChunk): void {
		if (chunk.prefilled !== undefined && (completion.runs > 1 || completion.job.resumeFrom > 0)) {
			this.recomputedTokens += chunk.prefilled;
		}
	}
}

/** Cancels a request at an engine; returns true only if the engine confirms that it never began the request. */
async function confirmNotStarted(completion: ActiveCompletion, engine: BackendServer): Promise<boolean> {
	if (completion.hasDelivered) {
		return false;
	}

	try {
		const answer = await cancelRequest(engine.url, completion.engineRequestId);
		return answer.cancelled && !answer.started;
	} catch {
		return false;
	}
}
