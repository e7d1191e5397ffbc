/**
 * Serving one completion: route it to an engine, stream its tokens in order, and,
 * when the engine fails mid-stream, resume on another engine from the first token
 * not yet delivered, so that the caller sees no gap and no repeat.
 */
import {type BackendServer} from '../protocol/settings.js';
import {type EngineChunk, type EngineCompletionRequest} from '../protocol/engine-api.js';
import {requestStream} from '../transport/http-client.js';
import {readEvents} from '../transport/sse.js';
import {createLogger} from '../log.js';
import {type LoadTracker} from './load-tracker.js';
import {chooseBackend, defaultAffinitySlack} from './router.js';
import {CoordinationError, NoBackendError} from './errors.js';

const log = createLogger('completions');

/** Engines tried for one request before the gateway gives up. */
export const maxAttempts = 3;

/** A completion as the gateway serves it. */
export type CompletionJob = {
	requestId: string;
	account: string;
	model: string;
	prompt: string;
	maxTokens: number;
	priority: number;
};

/** One token delivered to the caller. */
export type Token = {
	seq: number;
	text: string;
	last: boolean;
	engine: string;
};

/** The gateway gave up on a request after some tokens were delivered. */
export class StreamBrokenError extends CoordinationError {
	constructor(
		readonly delivered: number,
		options?: ErrorOptions,
	) {
		super(`stream broke after ${delivered} tokens`, options);
	}
}

/** Streams completions from the engines of a gateway. */
export class Completions {
	/** Tokens re-prefilled because a stream resumed on another engine. */
	recomputedTokens = 0;
	resumes = 0;

	constructor(
		private readonly engines: BackendServer[],
		private readonly loads: LoadTracker,
		private readonly drained: () => ReadonlySet<string>,
		private readonly affinitySlack: () => number | undefined,
	) {}

	/** Whether the gateway knows an engine for this model. */
	serves(model: string): boolean {
		return this.engines.some(engine => engine.name === model);
	}

	/**
	 * Streams the tokens of a job in order.
	 *
	 * @throws {NoBackendError} Before the first token, when no engine could take it: not run.
	 * @throws {StreamBrokenError} When it gave up after some tokens were delivered.
	 */
	async * stream(job: CompletionJob, signal: AbortSignal): AsyncGenerator<Token> {
		let delivered = 0;
		const excluded = new Set<string>(this.drained());
		let lastError: unknown;
		for (let attempt = 0; attempt < maxAttempts; attempt++) {
			let engine: BackendServer;
			try {
				engine = chooseBackend({
					candidates: this.engines.filter(candidate => candidate.name === job.model),
					loads: this.loads.views,
					excluded,
					prompt: job.prompt,
					affinitySlack: this.affinitySlack() ?? defaultAffinitySlack,
					nowMs: Date.now(),
				});
			} catch (error) {
				if (delivered === 0) {
					throw error;
				}

				throw new StreamBrokenError(delivered, {cause: error});
			}

			this.loads.noteDispatch(engine.id);
			if (delivered > 0) {
				this.resumes++;
				log.info('resuming stream.', {request: job.requestId, engine: engine.id, from: delivered});
			}

			try {
				// eslint-disable-next-line no-await-in-loop -- attempts are sequential by design: each resumes where the last stopped.
				for await (const chunk of this.streamFrom(engine, job, delivered, signal)) {
					if (chunk.seq !== delivered) {
						continue;
					}

					delivered++;
					const last = delivered >= job.maxTokens;
					yield {
						seq: chunk.seq, text: chunk.choices[0].text, last, engine: engine.id,
					};
					if (last) {
						return;
					}
				}

				throw new CoordinationError(`engine ${engine.id} ended the stream at ${delivered} of ${job.maxTokens}`);
			} catch (error) {
				if (signal.aborted) {
					throw error;
				}

				lastError = error;
				excluded.add(engine.id);
				this.loads.noteFailure(engine.id);
				log.warn('engine failed.', {
					request: job.requestId, engine: engine.id, delivered, error: String(error),
				});
			}
		}

		if (delivered === 0) {
			throw new NoBackendError(`no engine completed request ${job.requestId}`, {cause: lastError});
		}

		throw new StreamBrokenError(delivered, {cause: lastError});
	}

	private async * streamFrom(engine: BackendServer, job: CompletionJob, from: number, signal: AbortSignal): AsyncGenerator<EngineChunk> {
		if (from > 0) {
			this.recomputedTokens += from;
		}

		const payload: EngineCompletionRequest = {
			model: job.model,
			prompt: job.prompt,
			max_tokens: job.maxTokens,
			stream: true,
			request_id: job.requestId,
			priority: job.priority,
			resume_from: from,
		};
		const response = await requestStream({
			method: 'POST', url: `${engine.url}/v1/completions`, payload, signal, timeoutMs: 30_000,
		});
		if (response.statusCode !== 200) {
			response.resume();
			throw new CoordinationError(`engine ${engine.id} answered ${response.statusCode ?? 0}`);
		}

		for await (const data of readEvents(response)) {
			if (data === '[DONE]') {
				return;
			}

			yield JSON.parse(data) as EngineChunk;
		}
	}
}
