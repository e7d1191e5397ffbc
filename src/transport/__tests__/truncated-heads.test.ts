/**
 * Guards against a success that nobody sent: a server that stops within the head of its answer
 * and closes has given no answer, however much of the head would have done for one.
 */
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {BackendConnectionPool, sendBackendRequest} from '../backend-connection-pool.js';
import {streamCompletion} from '../engine-client.js';
import {requestJson} from '../http-client.js';
import {RawClient} from '../raw-client.js';

const timeoutMs = 2000;
const interim = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';
const heads = [
	{name: 'with a length', head: 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n'},
	{name: 'without a body', head: 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Long: value\r\n\r\n'},
	{name: 'in chunks', head: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'},
	{name: 'that ends with its connection', head: 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'},
	{name: 'of HTTP/1.0', head: 'HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\r\n'},
	{name: 'with folded lines', head: 'HTTP/1.1 200 OK\r\nX-Long: value\r\n more\r\nContent-Length: 2\r\n\r\n'},
	{name: 'with bare line breaks', head: 'HTTP/1.1 200 OK\nContent-Length: 2\n\n'},
	{name: 'after an interim answer', head: `${interim}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n`},
];
const ends: Array<{end: string; close: (socket: Socket) => void}> = [
	{
		end: 'closes', close(socket) {
			socket.end();
		},
	},
	{
		end: 'resets', close(socket) {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 1);
		},
	},
];

let server: Server;
let answer: (socket: Socket) => void;
let port: number;

async function readCompletion(): Promise<unknown[]> {
	const chunks: unknown[] = [];
	for await (const chunk of streamCompletion(`http://127.0.0.1:${port}`, {} as never, AbortSignal.timeout(timeoutMs))) {
		chunks.push(chunk);
	}

	return chunks;
}

/** Creates a function that sends a request with one of the clients, and rejects unless it gets a whole answer. */
const clients: Array<{client: string; createSend: () => () => Promise<unknown>}> = [
	{
		client: 'of backend servers and other daemons', createSend() {
			const pool = new BackendConnectionPool();
			return async () => {
				const response = await sendBackendRequest(pool, {
					backend: {id: 'b', host: '127.0.0.1', port}, method: 'GET', path: '/', headers: ['Host', 'h'], body: undefined, isRetryable: true, connectTimeoutMs: timeoutMs, signal: AbortSignal.timeout(timeoutMs),
				});
				return response.read(1000);
			};
		},
	},
	{
		client: 'of the store, the cloud and orders to engines', createSend() {
			const client = new RawClient(`http://127.0.0.1:${port}`);
			return async () => client.send({method: 'GET', path: '/', timeoutMs});
		},
	},
	{
		client: 'of JSON services', createSend: () => async () => requestJson({method: 'GET', url: `http://127.0.0.1:${port}/`, timeoutMs}),
	},
	{
		client: 'of engines of the gateway', createSend: () => async () => readCompletion(),
	},
];

beforeEach(async () => {
	server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			answer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	({port} = server.address() as AddressInfo);
});

afterEach(() => {
	server.close();
});

/** Returns the beginnings of a head at which no final answer is complete. */
function beginningsOf(head: string): string[] {
	return Array.from({length: head.length}, (_, length) => head.slice(0, length));
}

describe.each(clients)('the client $client', ({createSend}) => {
	it.each(heads.flatMap(head => ends.map(end => ({...head, ...end}))))('takes no part of a head $name for an answer when the server $end', async ({head, close}) => {
		const send = createSend();
		for (const beginning of beginningsOf(head)) {
			answer = socket => {
				socket.write(beginning);
				close(socket);
			};

			await expect(send()).rejects.toThrow(); // eslint-disable-line no-await-in-loop -- the server answers one request at a time.
		}
	});

	it.each(ends)('takes no part of a head for an answer on a reused connection when the server $end', async ({close}) => {
		const send = createSend();
		const {head} = heads[0];
		for (const beginning of beginningsOf(head)) {
			answer = socket => {
				socket.write(`${head}{}`);
			};

			await send(); // eslint-disable-line no-await-in-loop
			answer = socket => {
				socket.write(beginning);
				close(socket);
			};

			await expect(send()).rejects.toThrow(); // eslint-disable-line no-await-in-loop
		}
	});
});
