/**
 * Stand-in for the platform's append-only log service: named streams of JSON
 * records with offsets, limited retention, an append-rate limit, and fault modes
 * (outage, slow answers, answers lost after the append took effect).
 * Its HTTP shapes are in `protocol/platform-log.ts`.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	type AppendRequest, type LogFaults, type LogRecord, type ReadAnswer,
} from '../protocol/platform-log.js';
import {
	createObservedServer, headerValue, startServer,
} from '../transport/http-server.js';
import {createRegistry} from '../transport/process-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {type LogStandinSettings} from './options.js';
import {addFaultRoute, applySlowMode} from './faults.js';

const log = createLogger('standin-log');

const maxReadRecords = 1000;
const maxWaitMs = 30_000;

/** One stream: records kept and the offset of the first. */
class Stream {
	records: LogRecord[] = [];
	start = 0;
	readonly waiters = new Set<() => void>();

	get end(): number {
		return this.start + this.records.length;
	}

	append(values: unknown[], nowMs: number): number {
		const first = this.end;
		for (const value of values) {
			this.records.push({offset: this.end, appendedAtMs: nowMs, value});
		}

		for (const wake of this.waiters) {
			wake();
		}

		return first;
	}

	expire(nowMs: number, retentionMs: number): void {
		let drop = 0;
		while (drop < this.records.length && nowMs - this.records[drop].appendedAtMs > retentionMs) {
			drop++;
		}

		if (drop > 0) {
			this.records = this.records.slice(drop);
			this.start += drop;
		}
	}

	read(from: number, limit: number): ReadAnswer {
		const index = Math.max(0, from - this.start);
		return {start: this.start, end: this.end, records: this.records.slice(index, index + limit)};
	}
}

/** A token bucket that refills `perSecond` tokens a second, up to one second's worth. */
class AppendBudget {
	private tokens: number;
	private lastMs: number;

	constructor(
		private readonly perSecond: number,
		nowMs: number,
	) {
		this.tokens = perSecond;
		this.lastMs = nowMs;
	}

	take(nowMs: number): boolean {
		this.tokens = Math.min(this.perSecond, this.tokens + (((nowMs - this.lastMs) * this.perSecond) / 1000));
		this.lastMs = nowMs;
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}

/**
 * Runs the log stand-in until the signal aborts.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runLogStandin(settings: LogStandinSettings, signal: AbortSignal): Promise<void> {
	const streams = new Map<string, Stream>();
	const faults: LogFaults = {};
	const budget = new AppendBudget(settings.appendsPerSecond, Date.now());
	let appends = 0;
	let refusedAppends = 0;
	let lostAnswers = 0;
	const streamOf = (name: string) => {
		let stream = streams.get(name);
		if (!stream) {
			stream = new Stream();
			streams.set(name, stream);
		}

		return stream;
	};

	const registry = createRegistry();
	const server = createObservedServer(settings.listen, registry, () => ({
		faults,
		appends,
		refusedAppends,
		lostAnswers,
		streams: Object.fromEntries([...streams].map(([name, stream]) => [name, {start: stream.start, end: stream.end}])),
	}));
	addFaultRoute(server, faults);
	server.ext('onPreHandler', async (request, h) => {
		if (!request.path.startsWith('/streams/')) {
			return h.continue;
		}

		await applySlowMode(faults.slowMs);
		const isRefused = faults.refuseClients?.some(client => headerValue(request, 'user-agent') === `sesametally/${client}`);
		return faults.outage === true || isRefused === true ? h.response({error: 'outage'}).code(503).takeover() : h.continue;
	});

	server.route({
		method: 'POST',
		path: '/streams/{stream}/records',
		handler(request, h) {
			const nowMs = Date.now();
			if (!budget.take(nowMs)) {
				refusedAppends++;
				return h.response({error: 'append rate exceeded'}).code(429).header('retry-after', '1');
			}

			const {records} = request.payload as AppendRequest;
			const stream = streamOf(request.params.stream as string);
			const firstOffset = stream.append(records, nowMs);
			appends++;
			if (faults.loseAnswers !== undefined && Math.random() < faults.loseAnswers) {
				lostAnswers++;
				// The append took effect; the caller only sees the connection drop.
				request.raw.req.socket.destroy();
				return h.abandon;
			}

			return {firstOffset, count: records.length};
		},
	});

	server.route({
		method: 'GET',
		path: '/streams/{stream}/records',
		async handler(request, h) {
			const stream = streamOf(request.params.stream as string);
			stream.expire(Date.now(), settings.retentionMs);
			const from = Number(request.query.from ?? 0);
			const limit = Math.min(Number(request.query.limit ?? maxReadRecords), maxReadRecords);
			const waitMs = Math.min(Number(request.query.waitMs ?? 0), maxWaitMs);
			if (from < stream.start) {
				return h.response({start: stream.start, end: stream.end, records: []}).code(410);
			}

			if (from >= stream.end && waitMs > 0) {
				await waitForAppend(stream, waitMs, signal);
			}

			return stream.read(from, limit);
		},
	});

	await startServer(server);
	log.info('listening.', {port: server.info.port, retentionMs: settings.retentionMs});
	await waitForAbort(signal);
	await server.stop({timeout: 1000});
	log.info('stopped.');
}

async function waitForAppend(stream: Stream, waitMs: number, signal: AbortSignal): Promise<void> {
	const woken = new AbortController();
	const wake = () => {
		woken.abort();
	};

	stream.waiters.add(wake);
	try {
		await delay(waitMs, undefined, {signal: AbortSignal.any([woken.signal, signal])});
	} catch {
		// Woken by an append or by shutdown: either way the read goes on.
	} finally {
		stream.waiters.delete(wake);
	}
}
