/**
 * Stand-in for a model engine. It batches continuously on a token clock: every
 * `tpotMs` each running sequence either prefills up to `prefillTokensPerTick` prompt
 * tokens or emits one output token. It keeps a prefix cache of limited size, serves
 * lower `priority` numbers first, cancels, resumes from a token index, reports its
 * load with a lag, and refuses orders with an old fencing token when set to check them.
 */
import {PassThrough} from 'node:stream';
import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {Counter} from 'prom-client';
import {type EngineStandinSettings} from '../protocol/settings.js';
import {
	type CancelAnswer, type EngineChunk, type EngineCompletionRequest, type EngineLoad, type EngineOrder,
} from '../protocol/engine-api.js';
import {createRegistry, createServer, startServer} from '../transport/http-server.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {promptTokens} from '../protocol/tokens.js';
import {addFaultRoute} from './faults.js';
import {tokenAt} from './engine-output.js';

const log = createLogger('standin-engine');

/** Fault switches of the engine stand-in. */
type EngineFaults = {
	/** New completions answer 503. */
	refuse?: boolean;
};

/** A sequence in the batch or waiting for it. */
class Sequence {
	next: number;
	prefillLeft = 0;
	cachedTokens = 0;
	done = false;

	constructor(
		readonly id: string,
		readonly request: EngineCompletionRequest,
		readonly arrival: number,
		readonly emit: (chunk: EngineChunk | undefined) => void,
	) {
		this.next = request.resume_from ?? 0;
	}

	get priority(): number {
		return this.request.priority ?? 0;
	}
}

/** A least-recently-used set of prompt-prefix block hashes. */
class PrefixCache {
	private readonly blocks = new Map<string, true>();

	constructor(private readonly capacity: number) {}

	get size(): number {
		return this.blocks.size;
	}

	/** Returns how many leading blocks are cached, then caches all of them. */
	admit(hashes: string[]): number {
		let hits = 0;
		while (hits < hashes.length && this.blocks.has(hashes[hits])) {
			hits++;
		}

		for (const hash of hashes) {
			this.blocks.delete(hash);
			this.blocks.set(hash, true);
		}

		while (this.blocks.size > this.capacity) {
			this.blocks.delete(this.blocks.keys().next().value!);
		}

		return hits;
	}
}

function blockHashes(words: string[], blockTokens: number): string[] {
	const hashes: string[] = [];
	const hash = createHash('sha256');
	for (let start = 0; start + blockTokens <= words.length; start += blockTokens) {
		hash.update(words.slice(start, start + blockTokens).join(' '));
		hashes.push(hash.copy().digest('hex'));
	}

	return hashes;
}

/**
 * Runs the engine stand-in until the signal aborts; then it refuses new work and
 * finishes the running sequences before it exits.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runEngineStandin(settings: EngineStandinSettings, signal: AbortSignal): Promise<void> {
	const waiting: Sequence[] = [];
	const running = new Map<string, Sequence>();
	const cache = new PrefixCache(settings.cacheBlocks);
	const faults: EngineFaults = {};
	const orders: EngineOrder[] = [];
	let highestFencingToken = -1;
	let arrivals = 0;
	let stopping = false;
	let reported: EngineLoad = measureLoad();

	const registry = createRegistry();
	const tokens = new Counter({name: 'engine_output_tokens_total', help: 'Output tokens generated.', registers: [registry]});
	const prefilled = new Counter({name: 'engine_prefill_tokens_total', help: 'Prompt tokens computed, not taken from the prefix cache.', registers: [registry]});

	function measureLoad(): EngineLoad {
		return {
			running: running?.size ?? 0,
			waiting: waiting?.length ?? 0,
			maxBatch: settings.maxBatch,
			cacheBlocksUsed: cache?.size ?? 0,
			cacheBlocks: settings.cacheBlocks,
			measuredAtMs: Date.now(),
		};
	}

	const server = createServer(settings.listen, registry, () => ({
		id: settings.id,
		model: settings.model,
		load: measureLoad(),
		reported,
		highestFencingToken,
		orders: orders.slice(-20),
		faults,
	}));
	addFaultRoute(server, faults);

	server.route({
		method: 'POST',
		path: '/v1/completions',
		async handler(request, h) {
			const body = request.payload as EngineCompletionRequest;
			if (stopping || faults.refuse) {
				return h.response({error: {message: 'engine is not taking work', type: 'unavailable', code: 'not_run'}}).code(503);
			}

			if (body.model !== settings.model) {
				return h.response({error: {message: `model ${body.model} is not loaded`, type: 'invalid_request_error', code: 'model_not_found'}}).code(404);
			}

			const id = body.request_id ?? `cmpl-${settings.id}-${arrivals}`;
			if (body.stream) {
				const stream = new PassThrough();
				const sequence = new Sequence(id, body, arrivals++, chunk => {
					stream.write(chunk === undefined ? 'data: [DONE]\n\n' : `data: ${JSON.stringify(chunk)}\n\n`);
					if (chunk === undefined) {
						stream.end();
					}
				});
				request.raw.req.once('close', () => {
					sequence.done = true;
				});
				request.raw.res.once('close', () => {
					sequence.done = true;
				});
				waiting.push(sequence);
				return h.response(stream).type('text/event-stream').header('cache-control', 'no-cache');
			}

			return new Promise(resolve => {
				let text = '';
				const sequence = new Sequence(id, body, arrivals++, chunk => {
					if (chunk === undefined) {
						const promptCount = promptTokens(body.prompt).length;
						const completionCount = body.max_tokens - (body.resume_from ?? 0);
						resolve({
							id,
							object: 'text_completion',
							model: settings.model,
							choices: [{index: 0, text, finish_reason: 'length'}],
							usage: {
								prompt_tokens: promptCount, completion_tokens: completionCount, total_tokens: promptCount + completionCount, cached_tokens: sequence.cachedTokens,
							},
						});
						return;
					}

					text += chunk.choices[0].text;
				});
				waiting.push(sequence);
			});
		},
	});

	server.route({
		method: 'POST',
		path: '/v1/requests/{id}/cancel',
		handler(request): CancelAnswer {
			const id = request.params.id as string;
			const sequence = running.get(id) ?? waiting.find(candidate => candidate.id === id);
			if (!sequence || sequence.done) {
				return {cancelled: false, tokensSent: sequence?.next ?? 0};
			}

			sequence.done = true;
			return {cancelled: true, tokensSent: sequence.next};
		},
	});

	server.route({method: 'GET', path: '/load', handler: () => reported});

	server.route({
		method: 'POST',
		path: '/v1/orders',
		handler(request, h) {
			const order = request.payload as EngineOrder;
			if (settings.checksFencing && order.fencingToken < highestFencingToken) {
				return h.response({error: 'stale fencing token', highestFencingToken}).code(409);
			}

			highestFencingToken = Math.max(highestFencingToken, order.fencingToken);
			orders.push(order);
			return {accepted: true, highestFencingToken};
		},
	});

	function admit(): void {
		waiting.sort((a, b) => a.priority - b.priority || a.arrival - b.arrival);
		while (running.size < settings.maxBatch && waiting.length > 0) {
			const sequence = waiting.shift()!;
			if (sequence.done) {
				continue;
			}

			const words = promptTokens(sequence.request.prompt);
			const hits = cache.admit(blockHashes(words, settings.blockTokens));
			sequence.cachedTokens = hits * settings.blockTokens;
			// A resumed sequence recomputes the tokens it had already produced as part of its prompt.
			sequence.prefillLeft = words.length - sequence.cachedTokens + sequence.next;
			prefilled.inc(sequence.prefillLeft);
			running.set(sequence.id, sequence);
		}
	}

	function tick(): void {
		admit();
		for (const sequence of running.values()) {
			if (sequence.done) {
				running.delete(sequence.id);
				continue;
			}

			if (sequence.prefillLeft > 0) {
				sequence.prefillLeft = Math.max(0, sequence.prefillLeft - settings.prefillTokensPerTick);
				continue;
			}

			const index = sequence.next++;
			const last = sequence.next >= sequence.request.max_tokens;
			sequence.emit({
				id: sequence.id,
				object: 'text_completion',
				model: settings.model,
				choices: [{index: 0, text: tokenAt(sequence.request.prompt, index), finish_reason: last ? 'length' : null}],
				seq: index,
			});
			tokens.inc();
			if (last) {
				sequence.done = true;
				sequence.emit(undefined);
				running.delete(sequence.id);
			}
		}
	}

	async function runClock(): Promise<void> {
		let lastReportMs = 0;
		const finished = () => stopping && running.size === 0 && waiting.length === 0;
		while (!finished()) {
			// eslint-disable-next-line no-await-in-loop
			await delay(settings.tpotMs);
			tick();
			const nowMs = Date.now();
			if (nowMs - lastReportMs >= settings.loadLagMs) {
				reported = measureLoad();
				lastReportMs = nowMs;
			}
		}
	}

	await startServer(server);
	log.info('listening.', {id: settings.id, model: settings.model, port: server.info.port});
	const clock = runClock();
	await waitForAbort(signal);
	stopping = true;
	log.info('draining.', {running: running.size, waiting: waiting.length});
	await clock;
	await server.stop({timeout: 1000});
	log.info('stopped.');
}
