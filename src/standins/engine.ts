/**
 * Stand-in for a model engine: its HTTP server (see `protocol/engine-api.ts`). The scheduler
 * is in `engine-batch.ts`. Load is reported with a lag. Orders with an old fencing token are
 * refused when the setting `checksFencing` is on, and carried out otherwise.
 *
 * The module also simulates the VM of the engine: `POST /admin/power` `{on, id, model}` powers
 * it off (every connection is closed, memory is lost) or boots it as another VM at the same
 * address.
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
import {createServerWithDiagnostics, startServer} from '../transport/http-server.js';
import {createMetricsRegistry} from '../transport/metrics-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {tokenizePrompt} from '../protocol/tokens.js';
import {type EngineStandinSettings} from './settings.js';
import {addFaultRoutes} from './faults.js';
import {BatchScheduler, type Sequence, SequenceEnd} from './engine-batch.js';
import {ChunkScrambler, type ScrambleMode} from './chunk-scrambler.js';

const log = createLogger('standin-engine');

/** Delay before a failed weight download is retried, in milliseconds. */
const weightRetryDelayMs = 200;

/** Fault switches of the engine stand-in. */
type EngineFaults = {
	/** New completions are refused with 503 and the code `not_run`. */
	refuse?: boolean;
	/** Completions start, but their connection is dropped before the first token is sent. */
	dropAfterStart?: boolean;
	/** Completions are queued but never start, and their connection is dropped. */
	dropWhileQueued?: boolean;
	/** The chunks of each stream are reordered, delayed or duplicated. */
	scramble?: ScrambleMode;
	/** KV exports are refused with 503. */
	refuseExport?: boolean;
};

/** A received order and whether it was accepted, for the state dump. */
type ReceivedOrder = EngineOrder & {atMs: number; accepted: boolean};

/** One engine process: its HTTP server, its scheduler and its simulated VM. */
class EngineStandin {
	private id: string;
	private model: string | undefined;
	private role = EngineRole.Serving;
	private isPowered = true;
	private isStopping = false;
	private highestFencingToken = -1;
	private scheduler: BatchScheduler;
	private reportedLoad: EngineLoad;
	private acceptedCompletions = 0;
	private lastCompletionMs = 0;
	private readonly faults: EngineFaults = {};
	private readonly orders: ReceivedOrder[] = [];
	private readonly server: Hapi.Server;

	constructor(private readonly settings: EngineStandinSettings) {
		this.id = settings.id;
		this.model = settings.model;
		this.isPowered = settings.powered;
		this.scheduler = new BatchScheduler(settings);
		this.reportedLoad = this.measureLoad();
		const registry = createMetricsRegistry();
		const addGauge = (name: string, help: string, read: () => number) => new Gauge({
			name, help, registers: [registry], collect() {
				this.set(read());
			},
		});
		addGauge('engine_output_tokens', 'Output tokens generated.', () => this.scheduler.outputTokens);
		addGauge('engine_prefill_tokens', 'Prompt tokens computed, not taken from a cache.', () => this.scheduler.prefillTokens);
		this.server = createServerWithDiagnostics(settings.listen, registry, () => this.dumpState());
		addFaultRoutes(this.server, this.faults);
		this.addRoutes();
	}

	/**
	 * Serves until the signal aborts, then refuses new requests and finishes those accepted.
	 *
	 * @throws {TransportError} When the port cannot be bound.
	 */
	async run(signal: AbortSignal): Promise<void> {
		await startServer(this.server);
		log.info('listening.', {id: this.id, model: this.model, port: this.server.info.port});
		const clock = this.runTokenClock();
		await waitForAbort(signal);
		this.isStopping = true;
		log.info('draining.', {running: this.scheduler.runningCount, waiting: this.scheduler.waitingCount});
		await clock;
		await this.server.stop({timeout: 1000});
		log.info('stopped.');
	}

	/** Ticks the scheduler and refreshes the reported load until the engine is stopping and idle. */
	private async runTokenClock(): Promise<void> {
		let lastReportMs = 0;
		const isFinished = () => this.isStopping && this.scheduler.runningCount === 0 && this.scheduler.waitingCount === 0;
		while (!isFinished()) {
			// eslint-disable-next-line no-await-in-loop
			await delay(this.settings.tpotMs);
			const nowMs = Date.now();
			if (!this.faults.dropWhileQueued) {
				this.scheduler.tick(nowMs);
			}

			if (nowMs - lastReportMs >= this.settings.loadLagMs) {
				this.reportedLoad = this.measureLoad();
				lastReportMs = nowMs;
			}
		}
	}

	private measureLoad(): EngineLoad {
		return {
			id: this.id,
			model: this.model,
			role: this.isStopping ? EngineRole.Draining : this.role,
			running: this.scheduler.runningCount,
			waiting: this.scheduler.waitingCount,
			maxBatch: this.settings.maxBatch,
			cacheBlocksUsed: this.scheduler.cacheBlocksUsed,
			cacheBlocks: this.settings.cacheBlocks,
			measuredAtMs: Date.now(),
		};
	}

	private dumpState(): Record<string, unknown> {
		return {
			id: this.id,
			model: this.model,
			powered: this.isPowered,
			load: this.measureLoad(),
			reported: this.reportedLoad,
			highestFencingToken: this.highestFencingToken,
			orders: this.orders,
			completionsTaken: this.acceptedCompletions,
			lastCompletionMs: this.lastCompletionMs,
			prefillTokens: this.scheduler.prefillTokens,
			outputTokens: this.scheduler.outputTokens,
			faults: this.faults,
		};
	}

	private addRoutes(): void {
		const {server} = this;
		server.ext('onRequest', (request, h) => {
			const isServedByVm = !request.path.startsWith('/admin/') && !request.path.startsWith('/debug/');
			if (!this.isPowered && isServedByVm) {
				request.raw.req.socket.destroy();
				return h.abandon;
			}

			return h.continue;
		});
		server.route({method: 'POST', path: '/v1/completions', handler: async (request, h) => this.handleCompletion(request, h)});
		server.route({method: 'GET', path: '/load', handler: () => this.reportedLoad});
		server.route({
			method: 'POST', path: '/v1/requests/{id}/cancel', handler: (request): CancelAnswer => {
				const sequence = this.scheduler.cancelSequence(request.params.id as string);
				return {cancelled: sequence !== undefined, started: sequence?.hasStarted ?? true, tokensSent: sequence?.nextIndex ?? 0};
			},
		});
		server.route({
			method: 'POST', path: '/v1/requests/{id}/export', handler: (request, h) => {
				if (this.faults.refuseExport) {
					return h.response({error: 'export refused'}).code(503);
				}

				return this.scheduler.exportKv(request.params.id as string, Date.now()) ?? h.response({error: 'no such request'}).code(404);
			},
		});
		server.route({
			method: 'GET', path: '/v1/kv/{id}', handler: (request, h) =>
				this.scheduler.findHeldKv(request.params.id as string, Date.now()) ?? h.response({error: 'no KV cache held'}).code(404),
		});
		server.route({
			method: 'POST', path: '/v1/kv/import', handler: async request => {
				const {requestId, source} = request.payload as KvImport;
				const snapshot = await fetchJson<KvSnapshot>({method: 'GET', url: `${source}/v1/kv/${encodeURIComponent(requestId)}`, timeoutMs: 2000});
				this.scheduler.importKv(snapshot, Date.now());
				return snapshot;
			},
		});
		server.route({method: 'POST', path: '/v1/orders', handler: (request, h) => this.handleOrder(request.payload as EngineOrder, h)});
		server.route({
			method: 'POST', path: '/admin/power', handler: request => {
				const {on, id, model} = request.payload as {on: boolean; id?: string; model?: string};
				this.setPower(on, id ?? this.id, model);
				return {on};
			},
		});
	}

	private handleCompletion(request: Hapi.Request, h: Hapi.ResponseToolkit): Hapi.ResponseObject | symbol | Promise<unknown> {
		const body = request.payload as EngineCompletionRequest;
		const isRefusing = this.isStopping || this.role === EngineRole.Draining || this.faults.refuse === true;
		if (isRefusing) {
			return h.response({error: {message: 'engine is not taking work', type: 'unavailable', code: notRunCode}}).code(503);
		}

		if (body.model !== this.model) {
			return h.response({error: {message: `model ${body.model} is not loaded`, type: 'unavailable', code: notRunCode}}).code(503);
		}

		this.acceptedCompletions++;
		this.lastCompletionMs = Date.now();
		const id = body.request_id ?? `cmpl-${this.id}-${this.acceptedCompletions}`;
		return body.stream ? this.respondWithStream(request, h, id, body) : this.respondWithCompletion(id, body);
	}

	private respondWithStream(request: Hapi.Request, h: Hapi.ResponseToolkit, id: string, body: EngineCompletionRequest): Hapi.ResponseObject | symbol {
		const stream = new PassThrough();
		const write = (chunk: EngineChunk) => {
			stream.write(`data: ${JSON.stringify(chunk)}\n\n`);
		};

		const scrambler = this.faults.scramble === undefined ? undefined : new ChunkScrambler(this.faults.scramble, write);
		const sequence = this.scheduler.submit(id, body, {
			onChunk: chunk => {
				if (this.faults.dropAfterStart) {
					request.raw.req.socket.destroy();
				} else if (scrambler) {
					scrambler.push(chunk);
				} else {
					write(chunk);
				}
			},
			onEnd(reason) {
				scrambler?.flush();
				stream.end(reason === SequenceEnd.Finished ? 'data: [DONE]\n\n' : undefined);
			},
		}, Date.now());
		if (this.faults.dropWhileQueued) {
			request.raw.req.socket.destroy();
			return h.abandon;
		}

		const abandon = () => {
			this.scheduler.abandonSequence(sequence, Date.now());
		};

		request.raw.req.once('close', abandon);
		request.raw.res.once('close', abandon);
		return h.response(stream).type('text/event-stream').header('cache-control', 'no-cache');
	}

	private async respondWithCompletion(id: string, body: EngineCompletionRequest): Promise<unknown> {
		return new Promise(resolve => {
			let text = '';
			const sequence: Sequence = this.scheduler.submit(id, body, {
				onChunk(chunk) {
					text += chunk.choices[0].text;
				},
				onEnd() {
					const promptTokenCount = tokenizePrompt(body.prompt).length;
					const completionTokenCount = body.max_tokens - (body.resume_from ?? 0);
					resolve({
						id,
						object: 'text_completion',
						model: body.model,
						choices: [{index: 0, text, finish_reason: 'length'}],
						usage: {
							prompt_tokens: promptTokenCount, completion_tokens: completionTokenCount, total_tokens: promptTokenCount + completionTokenCount, cached_tokens: sequence.cachedTokens,
						},
					});
				},
			}, Date.now());
		});
	}

	/** Carries out an order, or refuses it when its fencing token is stale and the engine checks tokens. */
	private handleOrder(order: EngineOrder, h: Hapi.ResponseToolkit): Hapi.ResponseObject | {accepted: boolean; highestFencingToken: number} {
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

	/** Downloads the weights of a model, then loads it, unless the VM is powered off or replaced meanwhile. */
	private async loadModel(model: string | undefined): Promise<void> {
		const bootId = this.id;
		this.model = undefined;
		const {weightsUrl} = this.settings;
		const isSameBoot = () => this.isPowered && this.id === bootId;
		while (isSameBoot()) {
			if (weightsUrl === undefined || model === undefined) {
				break;
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				await fetchJson({method: 'GET', url: `${weightsUrl}/weights/${model}`});
				break;
			} catch {
				// Rate-limited or unreachable: the engine retries until its VM is powered off or replaced.
				// eslint-disable-next-line no-await-in-loop
				await delay(weightRetryDelayMs);
			}
		}

		if (isSameBoot()) {
			this.model = model;
			log.info('model loaded.', {id: this.id, model});
		}
	}

	/** Powers the simulated VM on or off; in both cases it loses its sequences, caches, role and highest fencing token. */
	private setPower(isOn: boolean, id: string, model: string | undefined): void {
		this.scheduler.clear();
		this.scheduler = new BatchScheduler(this.settings);
		this.isPowered = isOn;
		this.id = id;
		this.model = model;
		this.role = EngineRole.Serving;
		this.highestFencingToken = -1;
		this.reportedLoad = this.measureLoad();
		if (!isOn) {
			this.server.listener.closeAllConnections();
		}

		log.info('VM power changed.', {id, on: isOn});
	}
}

/**
 * Runs the engine stand-in until the signal aborts; then it refuses new requests and
 * finishes the running and waiting sequences before it returns.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runEngineStandin(settings: EngineStandinSettings, signal: AbortSignal): Promise<void> {
	await new EngineStandin(settings).run(signal);
}
