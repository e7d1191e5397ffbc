/**
 * A replica as a process of its own, so that it can crash as one. It follows PROTOCOL.md: it
 * answers requests with events or one body, echoes the id, adds its seal, states its load,
 * reports when it started, and writes its entry into the store at each heartbeat.
 *
 * Its only argument is a JSON object, see {@link Options}. It prints one line of JSON for each
 * request that it ran.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, request as startRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {wholeBody} from './whole-body.js';

export type Options = {
	id: string;
	service: string;
	zone: string;
	/** Where it listens. Its host is its own, so that no outgoing connection takes its port while it is down. */
	host: string;
	port: number;
	/** The address that it lists. */
	address: string;
	slots: number;
	/** The pace that it states in its load, in percent; undefined if its service states none. */
	pacePercent?: number;
	/** The store, as it reaches it. */
	store: string;
	heartbeatMs: number;
	/** Events of a stream unless its request names their number, and the pause between two, in milliseconds. */
	events: number;
	eventPauseMs: number;
	/** Time until a single answer begins, and until the second half of its body follows, in milliseconds. */
	workMs: number;
	restMs: number;
	/** Of so many requests, the answer to one has neither a length nor chunks, beginning with the first; 0 for none. */
	unframedInterval: number;
	/** From when on and until when such answers are given, in milliseconds since 1970. */
	unframedSpells: Array<{fromMs: number; untilMs: number}>;
};

const options = JSON.parse(process.argv[2]) as Options;
const born = Date.now();
const callTimeoutMs = 1000;
let sequence = 0;
let running = 0;
let requests = 0;

/** Writes its entry; a call without an answer is given up. */
function writeEntry(): void {
	const value = Buffer.from(JSON.stringify({
		service: options.service, address: options.address, zone: options.zone, version: 'v1', slots: options.slots, state: 'ready', cold_left_ms: 0, sequence: ++sequence, born,
	}));
	const key = Buffer.from(options.id);
	const head = Buffer.alloc(5);
	head.writeUInt32BE(1 + key.length + value.length, 0);
	head.writeUInt8(key.length, 4);
	const [host, port] = options.store.split(':');
	const request = startRequest({
		host, port, method: 'POST', path: '/api/log-append?topic=keyed.servers', agent: false, timeout: callTimeoutMs,
	}, response => {
		response.resume();
	});
	request.on('timeout', () => {
		request.socket?.resetAndDestroy();
	});
	request.on('error', () => undefined);
	request.end(Buffer.concat([head, key, value]));
}

async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const {url = '', headers} = request;
	request.on('error', () => undefined);
	response.on('error', () => undefined);
	const load = [running, 0, options.slots, ...(options.pacePercent === undefined ? [] : [options.pacePercent])].join(',');
	if (url === '/api/report') {
		response.end(JSON.stringify({
			stage: 'hybrid', models: [], busy: false, sequence, queued: 0, running, kv_used: 0, kv_total: 90_000, handles: 0, born,
		}));
		return;
	}

	if (url === '/health') {
		response.writeHead(200, {'X-Sesametally-Replica-Id': options.id, 'X-Sesametally-Replica-Load': load}).end();
		return;
	}

	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	const id = String(headers['x-sesametally-attempt-id']);
	const target = headers['x-sesametally-target-replica'];
	if (target !== undefined && target !== options.id) {
		response.writeHead(421, {'X-Sesametally-Attempt-Id': id, 'X-Sesametally-Replica-Id': options.id}).end();
		return;
	}

	if (running >= options.slots) {
		response.writeHead(503, {'X-Sesametally-Attempt-Id': id, 'X-Sesametally-Not-Executed': '1', 'X-Sesametally-Replica-Load': load}).end();
		return;
	}

	running++;
	response.once('close', () => {
		running--;
	});
	const now = Date.now();
	const mayBeUnframed = options.unframedInterval > 0 && options.unframedSpells.some(({fromMs, untilMs}) => now >= fromMs && now < untilMs);
	const isUnframed = mayBeUnframed && requests++ % options.unframedInterval === 0;
	process.stdout.write(`${JSON.stringify({
		at: now, run: id, replica: options.id, born, isUnframed,
	})}\n`);
	if (isUnframed) {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
	}

	const answerHeaders = {
		'X-Sesametally-Attempt-Id': id, 'X-Sesametally-Replica-Seal': `${options.id}.${born}`, 'X-Sesametally-Replica-Load': load,
	};
	if (url.startsWith('/stream/')) {
		const count = Number(/events=(\d+)/v.exec(Buffer.concat(chunks).toString())?.[1] ?? options.events);
		await stream(response, answerHeaders, {first: Number(headers['last-event-id'] ?? 0) + 1, count});
	} else {
		await answer(response, answerHeaders, wholeBody(id), isUnframed);
	}
}

async function stream(response: ServerResponse, headers: Record<string, string>, {first, count}: {first: number; count: number}): Promise<void> {
	response.writeHead(200, {...headers, 'Content-Type': 'text/event-stream'});
	for (let id = first; id <= count && !response.destroyed; id++) {
		response.write(`id: ${id}\ndata: piece ${id} of ${count}\n\n`);
		await delay(options.eventPauseMs); // eslint-disable-line no-await-in-loop -- the events are sent in order.
	}

	response.end();
}

async function answer(response: ServerResponse, headers: Record<string, string>, body: string, isUnframed: boolean): Promise<void> {
	await delay(options.workMs);
	response.writeHead(200, {...headers, ...(!isUnframed && {'Content-Length': String(body.length)})});
	response.write(body.slice(0, body.length / 2));
	await delay(options.restMs);
	response.end(body.slice(body.length / 2));
}

const server = createServer((request, response) => {
	void serve(request, response);
});
server.keepAliveTimeout = 30_000;
server.listen(options.port, options.host, () => {
	writeEntry();
	setInterval(writeEntry, options.heartbeatMs);
});
