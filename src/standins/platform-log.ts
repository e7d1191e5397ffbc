/**
 * Stand-in for the platform's append-only log service: named streams of JSON records with
 * offsets, limited retention, an append rate limit, and fault modes (outage, slow answers,
 * answers lost after the append took effect). Its HTTP API is in `protocol/platform-log.ts`.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	type AppendRequest, type LogFaults, type LogRecord, type ReadAnswer,
} from '../protocol/platform-log.js';
import {
	createServerWithDiagnostics, headerValue, startServer,
} from '../transport/http-server.js';
import {createMetricsRegistry} from '../transport/metrics-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {type LogStandinSettings} from './settings.js';
import {addFaultRoutes, delayAnswer} from './faults.js';

const log = createLogger('standin-log');

/** Maximum number of records that one read returns. */
const maxReadRecords = 1000;
/** Longest time that a read waits for an append, in milliseconds. */
const maxWaitMs = 30_000;

/** One stream: the retained records, the offset of the first one, and the readers that wait for an append. */
class Stream {
	records: LogRecord[] = [];
	start = 0;
	readonly wakeCallbacks = new Set<() => void>();

	get end(): number {
		return this.start + this.records.length;
	}

	/** Appends values, wakes the waiting readers, and returns the offset of the first value. */
	append(values: unknown[], nowMs: number): number {
		const firstOffset = this.end;
		for (const value of values) {
			this.records.push({offset: this.end, appendedAtMs: nowMs, value});
		}

		for (const wake of this.wakeCallbacks) {
			wake();
		}

		return firstOffset;
	}

	/** Drops the records that are older than the retention time. */
	expire(nowMs: number, retentionMs: number): void {
		let expiredCount = 0;
		while (expiredCount < this.records.length && nowMs - this.records[expiredCount].appendedAtMs > retentionMs) {
			expiredCount++;
		}

		if (expiredCount > 0) {
			this.records = this.records.slice(expiredCount);
			this.start += expiredCount;
		}
	}

	/** Returns up to `limit` records from an offset on. */
	read(from: number, limit: number): ReadAnswer {
		const index = Math.max(0, from - this.start);
		return {start: this.start, end: this.end, records: this.records.slice(index, index + limit)};
	}
}

/** A token bucket that refills `perSecond` tokens per second and holds at most as many. */
class AppendRateLimiter {
	private tokens: number;
	private lastRefillMs: number;

	constructor(
		private readonly perSecond: number,
		nowMs: number,
	) {
		this.tokens = perSecond;
		this.lastRefillMs = nowMs;
	}

	/** Takes one token; returns false when there is none. */
	tryTake(nowMs: number): boolean {
		this.tokens = Math.min(this.perSecond, this.tokens + (((nowMs - this.lastRefillMs) * this.perSecond) / 1000));
		this.lastRefillMs = nowMs;
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
	const rateLimiter = new AppendRateLimiter(settings.appendsPerSecond, Date.now());
	let appends = 0;
	let refusedAppends = 0;
	let lostAnswers = 0;
	const getStream = (name: string) => {
		let stream = streams.get(name);
		if (!stream) {
			stream = new Stream();
			streams.set(name, stream);
		}

		return stream;
	};

	const registry = createMetricsRegistry();
	const server = createServerWithDiagnostics(settings.listen, registry, () => ({
		faults,
		appends,
		refusedAppends,
		lostAnswers,
		streams: Object.fromEntries([...streams].map(([name, stream]) => [name, {start: stream.start, end: stream.end}])),
	}));
	addFaultRoutes(server, faults);
	server.ext('onPreHandler', async (request, h) => {
		if (!request.path.startsWith('/streams/')) {
			return h.continue;
		}

		await delayAnswer(faults.slowMs);
		const isRefused = faults.refuseClients?.some(client => headerValue(request, 'user-agent') === `sesametally/${client}`);
		return faults.outage === true || isRefused === true ? h.response({error: 'outage'}).code(503).takeover() : h.continue;
	});

	server.route({
		method: 'POST',
		path: '/streams/{stream}/records',
		handler(request, h) {
			const nowMs = Date.now();
			if (!rateLimiter.tryTake(nowMs)) {
				refusedAppends++;
				return h.response({error: 'append rate exceeded'}).code(429).header('retry-after', '1');
			}

			const {records} = request.payload as AppendRequest;
			const stream = getStream(request.params.stream as string);
			const firstOffset = stream.append(records, nowMs);
			appends++;
			if (faults.loseAnswers !== undefined && Math.random() < faults.loseAnswers) {
				lostAnswers++;
				// The append took effect, but the caller only sees a dropped connection.
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
			const stream = getStream(request.params.stream as string);
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

/** Waits until the next append to a stream, for at most `waitMs` or until the signal aborts. */
async function waitForAppend(stream: Stream, waitMs: number, signal: AbortSignal): Promise<void> {
	const wakeController = new AbortController();
	const wake = () => {
		wakeController.abort();
	};

	stream.wakeCallbacks.add(wake);
	try {
		await delay(waitMs, undefined, {signal: AbortSignal.any([wakeController.signal, signal])});
	} catch {
		// An append or the shutdown ended the wait; the read continues in both cases.
	} finally {
		stream.wakeCallbacks.delete(wake);
	}
}
