/**
 * Guards against part of an answer that passes for the whole one: a backend server answers a long
 * upload without a length before it has read it, ends its side, and resets the connection.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {BackendConnectionPool, sendBackendRequest} from '../backend-connection-pool.js';
import {TransportError} from '../errors.js';

const head = 'HTTP/1.1 200 OK\r\nX-Sesametally-Attempt-Id: q\r\n\r\n';
let server: Server;
let pool: BackendConnectionPool;
/** What the backend server does once the first piece of a request has arrived. */
let answerEarly: (socket: Socket) => void;

beforeEach(async () => {
	pool = new BackendConnectionPool();
	server = createServer({allowHalfOpen: true}, socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.pause();
			answerEarly(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

afterEach(() => {
	pool.destroy();
	server.close();
});

/** Sends an upload and reads the body of its answer; undefined if it is not complete. */
async function upload(bytes: number): Promise<string | undefined> {
	try {
		const answer = await sendBackendRequest(pool, {
			backend: {id: 'b', host: '127.0.0.1', port: (server.address() as AddressInfo).port}, method: 'POST', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(bytes, 97), isRetryable: false, connectTimeoutMs: 1000, signal: new AbortController().signal,
		});
		return Buffer.from(await answer.read(1000)).toString();
	} catch (error) {
		if (!(error instanceof TransportError)) {
			throw error;
		}

		return undefined;
	}
}

const sizes = [300_000, 1_000_000, 3_900_000];

describe('an answer without length to a long upload', () => {
	it.each(sizes.flatMap(bytes => [0, 1, 5, 20].flatMap(afterMs => [true, false].map(endsFirst => ({bytes, afterMs, endsFirst})))))('is not complete when the connection is reset after $afterMs ms, of $bytes bytes, its side ended before: $endsFirst', async ({bytes, afterMs, endsFirst}) => {
		answerEarly = socket => {
			socket.write(`${head}half an ans`);
			if (endsFirst) {
				socket.end();
			}

			setTimeout(() => {
				socket.resetAndDestroy();
			}, afterMs);
		};

		expect(await upload(bytes)).toBeUndefined();
	});

	it.each([100, ...sizes])('is complete when its backend server ends its side and reads on, of %d bytes', async bytes => {
		answerEarly = socket => {
			socket.end(`${head}an answer`);
			setTimeout(() => {
				socket.resume();
			}, 10);
		};

		expect(await upload(bytes)).toBe('an answer');
	});
});

describe('a connection after a long upload', () => {
	it('is not used again once its backend server has closed it', async () => {
		const sockets = new Set<Socket>();
		server.removeAllListeners('connection');
		server.on('connection', socket => {
			sockets.add(socket);
			let received = 0;
			socket.on('error', () => undefined);
			socket.on('data', chunk => {
				received += chunk.length;
				if (chunk.at(-1) === 97 && received >= 300_000) {
					received = 0;
					socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok');
					setTimeout(() => {
						socket.end();
					}, 5);
				}
			});
		});
		expect(await upload(300_000)).toBe('ok');
		await delay(20);
		expect(await upload(300_000)).toBe('ok');
		expect(sockets.size).toBe(2);
	});
});
