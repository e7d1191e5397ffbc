/**
 * Stand-in for a model engine: its HTTP side (see `protocol/engine-api.ts`). The work
 * itself is in `engine-batch.ts`. Load is reported with a lag; orders with an old
 * fencing token are refused when the engine is set to check them, and obeyed when not.
 *
 * Its VM is played here too: `POST /admin/power` `{on, id, model}` cuts the power (every
 * connection drops, memory is lost) or boots it again as another VM at the same address.
 */
import {PassThrough} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {Gauge} from 'prom-client';
import type Hapi from '@hapi/hapi';
import {
	type CancelAnswer, type EngineChunk, type EngineCompletionRequest, type EngineLoad, type EngineOrder, type KvImport, type KvSnapshot,
	EngineRole, OrderKind, notRunCode,
} from '../protocol/engine-api.js';
import {fetchJson} from '../transport/http-client.js';
import {createObservedServer, startServer} from '../transport/http-server.js';
import {createRegistry} from '../transport/process-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {promptTokens} from '../protocol/tokens.js';
import {type EngineStandinSettings} from './options.js';
import {addFaultRoute} from './faults.js';
import {Batch, type Sequence, SequenceEnd} from './engine-batch.js';
import {ChunkScrambler, type ScrambleMode} from './chunk-scrambler.js';

const log = createLogger('standin-engine');

/** Pause before a refused weight download is tried again, in milliseconds. */
const weightRetryMs = 200;

/** Fault switches of the engine stand-in. */
type EngineFaults = {
	/** New completions answer 503, not run. */
	refuse?: boolean;
	/** Completions begin, then their connection drops before the first token. */
	dropAfterStart?: boolean;
	/** Completions are queued but never begin, and their connection drops. */
	dropWhileQueued?: boolean;
	/** Chunks of a stream are reordered, delayed or duplicated. */
	scramble?: ScrambleMode;
	/** KV exports answer 503. */
	refuseExport?: boolean;
};

/** An order as it arrived, for tests. */
type ReceivedOrder = EngineOrder & {atMs: number; accepted: boolean};

/** One engine process: the VM it plays, its batch and its server. */
class EngineStandin {
	private id: string;
	private model: string | undefined;
	private role = EngineRole.Serving;
	private powered = true;
	private stopping = false;
	private highestFencingToken = -1;
	private batch: Batch;
	private reported: EngineLoad;
	private completionsTaken = 0;
	private lastCompletionMs = 0;
	private readonly faults: EngineFaults = {};
	private readonly orders: ReceivedOrder[] = [];
	private readonly server: Hapi.Server;

	constructor(private readonly settings: EngineStandinSettings) {
		this.id = settings.id;
		this.model = settings.model;
		this.powered = settings.powered;
		this.batch = new Batch(settings);
		this.reported = this.measureLoad();
		const registry = createRegistry();
		const gauge = (name: string, help: string, read: () => number) => new Gauge({
			name, help, registers: [registry], collect() {
				this.set(read());
			},
		});
		gauge('engine_output_tokens', 'Output tokens generated.', () => this.batch.outputTokens);
		gauge('engine_prefill_tokens', 'Prompt tokens computed, not taken from a cache.', () => this.batch.prefillTokens);
		this.server = createObservedServer(settings.listen, registry, () => this.dump());
		addFaultRoute(this.server, this.faults);
		this.addRoutes();
	}

	/** Serves until the signal aborts, then refuses new work and finishes what runs. */
	async run(signal: AbortSignal): Promise<void> {
		await startServer(this.server);
		log.info('listening.', {id: this.id, model: this.model, port: this.server.info.port});
		const clock = this.runClock();
		await waitForAbort(signal);
		this.stopping = true;
		log.info('draining.', {running: this.batch.runningCount, waiting: this.batch.waitingCount});
		await clock;
		await this.server.stop({timeout: 1000});
		log.info('stopped.');
	}

	private async runClock(): Promise<void> {
		let lastReportMs = 0;
		const isFinished = () => this.stopping && this.batch.runningCount === 0 && this.batch.waitingCount === 0;
		while (!isFinished()) {
			// eslint-disable-next-line no-await-in-loop
			await delay(this.settings.tpotMs);
			const nowMs = Date.now();
			if (!this.faults.dropWhileQueued) {
				this.batch.tick(nowMs);
			}

			if (nowMs - lastReportMs >= this.settings.loadLagMs) {
				this.reported = this.measureLoad();
				lastReportMs = nowMs;
			}
		}
	}

	private measureLoad(): EngineLoad {
		return {
			id: this.id,
			model: this.model,
			role: this.stopping ? EngineRole.Draining : this.role,
			running: this.batch.runningCount,
			waiting: this.batch.waitingCount,
			maxBatch: this.settings.maxBatch,
			cacheBlocksUsed: this.batch.cacheBlocksUsed,
			cacheBlocks: this.settings.cacheBlocks,
			measuredAtMs: Date.now(),
		};
	}

	private dump(): Record<string, unknown> {
		return {
			id: this.id,
			model: this.model,
			powered: this.powered,
			load: this.measureLoad(),
			reported: this.reported,
			highestFencingToken: this.highestFencingToken,
			orders: this.orders,
			completionsTaken: this.completionsTaken,
			lastCompletionMs: this.lastCompletionMs,
			prefillTokens: this.batch.prefillTokens,
			outputTokens: this.batch.outputTokens,
			faults: this.faults,
		};
	}

	private addRoutes(): void {
		const {server} = this;
		server.ext('onRequest', (request, h) => {
			const isPlayedByVm = !request.path.startsWith('/admin/') && !request.path.startsWith('/debug/');
			if (!this.powered && isPlayedByVm) {
				request.raw.req.socket.destroy();
				return h.abandon;
			}

			return h.continue;
		});
		server.route({method: 'POST', path: '/v1/completions', handler: async (request, h) => this.complete(request, h)});
		server.route({method: 'GET', path: '/load', handler: () => this.reported});
		server.route({
			method: 'POST', path: '/v1/requests/{id}/cancel', handler: (request): CancelAnswer => {
				const sequence = this.batch.cancel(request.params.id as string);
				return {cancelled: sequence !== undefined, started: sequence?.started ?? true, tokensSent: sequence?.next ?? 0};
			},
		});
		server.route({
			method: 'POST', path: '/v1/requests/{id}/export', handler: (request, h) => {
				if (this.faults.refuseExport) {
					return h.response({error: 'export refused'}).code(503);
				}

				return this.batch.export(request.params.id as string, Date.now()) ?? h.response({error: 'no such request'}).code(404);
			},
		});
		server.route({
			method: 'GET', path: '/v1/kv/{id}', handler: (request, h) =>
				this.batch.heldKv(request.params.id as string, Date.now()) ?? h.response({error: 'no KV cache held'}).code(404),
		});
		server.route({
			method: 'POST', path: '/v1/kv/import', handler: async request => {
				const {requestId, source} = request.payload as KvImport;
				const snapshot = await fetchJson<KvSnapshot>({method: 'GET', url: `${source}/v1/kv/${encodeURIComponent(requestId)}`, timeoutMs: 2000});
				this.batch.import(snapshot, Date.now());
				return snapshot;
			},
		});
		server.route({method: 'POST', path: '/v1/orders', handler: (request, h) => this.obey(request.payload as EngineOrder, h)});
		server.route({
			method: 'POST', path: '/admin/power', handler: request => {
				const {on, id, model} = request.payload as {on: boolean; id?: string; model?: string};
				this.setPower(on, id ?? this.id, model);
				return {on};
			},
		});
	}

	private complete(request: Hapi.Request, h: Hapi.ResponseToolkit): Hapi.ResponseObject | symbol | Promise<unknown> {
		const body = request.payload as EngineCompletionRequest;
		const isRefusing = this.stopping || this.role === EngineRole.Draining || this.faults.refuse === true;
		if (isRefusing) {
			return h.response({error: {message: 'engine is not taking work', type: 'unavailable', code: notRunCode}}).code(503);
		}

		if (body.model !== this.model) {
			return h.response({error: {message: `model ${body.model} is not loaded`, type: 'unavailable', code: notRunCode}}).code(503);
		}

		this.completionsTaken++;
		this.lastCompletionMs = Date.now();
		const id = body.request_id ?? `cmpl-${this.id}-${this.completionsTaken}`;
		return body.stream ? this.completeStreaming(request, h, id, body) : this.completeWhole(id, body);
	}

	private completeStreaming(request: Hapi.Request, h: Hapi.ResponseToolkit, id: string, body: EngineCompletionRequest): Hapi.ResponseObject | symbol {
		const stream = new PassThrough();
		const write = (chunk: EngineChunk) => {
			stream.write(`data: ${JSON.stringify(chunk)}\n\n`);
		};

		const scrambler = this.faults.scramble === undefined ? undefined : new ChunkScrambler(this.faults.scramble, write);
		const sequence = this.batch.submit(id, body, {
			chunk: chunk => {
				if (this.faults.dropAfterStart) {
					request.raw.req.socket.destroy();
				} else if (scrambler) {
					scrambler.push(chunk);
				} else {
					write(chunk);
				}
			},
			end(reason) {
				scrambler?.flush();
				stream.end(reason === SequenceEnd.Finished ? 'data: [DONE]\n\n' : undefined);
			},
		}, Date.now());
		if (this.faults.dropWhileQueued) {
			request.raw.req.socket.destroy();
			return h.abandon;
		}

		const abandon = () => {
			this.batch.abandon(sequence, Date.now());
		};

		request.raw.req.once('close', abandon);
		request.raw.res.once('close', abandon);
		return h.response(stream).type('text/event-stream').header('cache-control', 'no-cache');
	}

	private async completeWhole(id: string, body: EngineCompletionRequest): Promise<unknown> {
		return new Promise(resolve => {
			let text = '';
			const sequence: Sequence = this.batch.submit(id, body, {
				chunk(chunk) {
					text += chunk.choices[0].text;
				},
				end() {
					const promptCount = promptTokens(body.prompt).length;
					const completionCount = body.max_tokens - (body.resume_from ?? 0);
					resolve({
						id,
						object: 'text_completion',
						model: body.model,
						choices: [{index: 0, text, finish_reason: 'length'}],
						usage: {
							prompt_tokens: promptCount, completion_tokens: completionCount, total_tokens: promptCount + completionCount, cached_tokens: sequence.cachedTokens,
						},
					});
				},
			}, Date.now());
		});
	}

	private obey(order: EngineOrder, h: Hapi.ResponseToolkit): Hapi.ResponseObject | {accepted: boolean; highestFencingToken: number} {
		const isStale = order.fencingToken < this.highestFencingToken;
		const isRefused = this.settings.checksFencing && isStale;
		this.orders.push({...order, atMs: Date.now(), accepted: !isRefused});
		if (isRefused) {
			return h.response({error: 'stale fencing token', highestFencingToken: this.highestFencingToken}).code(409);
		}

		this.highestFencingToken = Math.max(this.highestFencingToken, order.fencingToken);
		if (order.kind === OrderKind.LoadModel) {
			void this.loadModel(order.model);
		} else {
			this.role = order.role ?? EngineRole.Serving;
		}

		return {accepted: true, highestFencingToken: this.highestFencingToken};
	}

	private async loadModel(model: string | undefined): Promise<void> {
		const bootOf = this.id;
		this.model = undefined;
		const {weightsUrl} = this.settings;
		const isSameBoot = () => this.powered && this.id === bootOf;
		while (isSameBoot()) {
			if (weightsUrl === undefined || model === undefined) {
				break;
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				await fetchJson({method: 'GET', url: `${weightsUrl}/weights/${model}`});
				break;
			} catch {
				// Rate-limited or unreachable: the engine keeps trying until its VM goes.
				// eslint-disable-next-line no-await-in-loop
				await delay(weightRetryMs);
			}
		}

		if (isSameBoot()) {
			this.model = model;
			log.info('model loaded.', {id: this.id, model});
		}
	}

	private setPower(isOn: boolean, id: string, model: string | undefined): void {
		this.batch.clear();
		this.batch = new Batch(this.settings);
		this.powered = isOn;
		this.id = id;
		this.model = model;
		this.role = EngineRole.Serving;
		this.highestFencingToken = -1;
		this.reported = this.measureLoad();
		if (!isOn) {
			this.server.listener.closeAllConnections();
		}

		log.info('power switched.', {id, on: isOn});
	}
}

/**
 * Runs the engine stand-in until the signal aborts; then it refuses new work and
 * finishes the running sequences before it exits.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runEngineStandin(settings: EngineStandinSettings, signal: AbortSignal): Promise<void> {
	await new EngineStandin(settings).run(signal);
}
