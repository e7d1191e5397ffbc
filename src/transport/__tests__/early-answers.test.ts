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

const head = 'HTTP/1.1 200 OK\r\n\r\n';
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

const sizes = [30_000, 300_000, 1_000_000, 3_900_000];

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

/** Answers each upload of at least so many bytes once it is whole, and returns the connections. */
function answerUploads(bytes: number, answer: (socket: Socket) => void): Set<Socket> {
	const sockets = new Set<Socket>();
	server.removeAllListeners('connection');
	server.on('connection', socket => {
		sockets.add(socket);
		let received = 0;
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			received += chunk.length;
			if (chunk.at(-1) === 97 && received >= bytes) {
				received = 0;
				answer(socket);
			}
		});
	});
	return sockets;
}

describe('a connection after a long upload', () => {
	it('is not used again once its backend server has closed it', async () => {
		const sockets = answerUploads(300_000, socket => {
			socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok');
			setTimeout(() => {
				socket.end();
			}, 5);
		});
		expect(await upload(300_000)).toBe('ok');
		await delay(20);
		expect(await upload(300_000)).toBe('ok');
		expect(sockets.size).toBe(2);
	});

	// Its end is held back while the upload is still being written.
	it('is not used again if its backend server ended its side after an answer with a length, and then read the upload', async () => {
		const bytes = 20_000_000;
		const isRead = new Promise<void>(resolve => {
			answerEarly = socket => {
				socket.end('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok');
				let received = 0;
				socket.on('data', chunk => {
					received += chunk.length;
					if (received > bytes - 65_536) {
						resolve();
					}
				});
				setTimeout(() => {
					socket.resume();
				}, 10);
			};
		});

		expect(await upload(bytes)).toBe('ok');
		await isRead;
		await delay(5);
		expect(await upload(100)).toBe('ok');
	});

	it.each([
		{name: 'a length', answer: 'Content-Length: 2\r\n\r\nok'},
		{name: 'chunks', answer: 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'},
	])('is used again, and its answer with $name is whole without an end of the connection', async ({answer}) => {
		const sockets = new Set<Socket>();
		server.removeAllListeners('connection');
		server.on('connection', socket => {
			sockets.add(socket);
			let received = 0;
			socket.on('error', () => undefined);
			socket.on('end', () => {
				sockets.delete(socket);
			});
			socket.on('data', chunk => {
				received += chunk.length;
				if (received > 1_000_000) {
					received = 0;
					socket.write(`HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n${answer}`);
				}
			});
		});
		for (let round = 0; round < 3; round++) {
			// eslint-disable-next-line no-await-in-loop -- one after the other.
			expect(await upload(1_000_000)).toBe('ok');
			await delay(5); // eslint-disable-line no-await-in-loop -- the connection becomes idle.
		}

		expect(sockets.size).toBe(1);
		pool.destroy();
		await expect.poll(() => sockets.size).toBe(0);
	});

	it('is closed with the pool while its end is held back', async () => {
		const closed = new Promise<void>(resolve => {
			answerEarly = socket => {
				socket.end(`${head}an answer`);
				socket.resume();
				socket.once('close', resolve);
				setTimeout(() => {
					pool.destroy();
				}, 10);
			};
		});
		expect(await upload(1_000_000)).toBeUndefined();
		await closed;
	});
});

describe('whether only the end of its connection ends an answer', () => {
	it.each([
		{
			name: 'with neither a length nor chunks', method: 'POST', statusAndFields: '200 OK\r\n', expected: true,
		},
		{
			name: 'whose transfer coding is not chunks', method: 'POST', statusAndFields: '200 OK\r\nTransfer-Encoding: identity\r\n', expected: true,
		},
		{
			name: 'whose status allows no body', method: 'POST', statusAndFields: '204 No Content\r\n', expected: false,
		},
		{
			name: 'to HEAD', method: 'HEAD', statusAndFields: '200 OK\r\n', expected: false,
		},
	])('is $expected for one $name', async ({method, statusAndFields, expected}) => {
		answerEarly = socket => {
			socket.end(`HTTP/1.1 ${statusAndFields}\r\n${expected ? 'part' : ''}`);
		};

		const answer = await sendBackendRequest(pool, {
			backend: {id: 'b', host: '127.0.0.1', port: (server.address() as AddressInfo).port}, method, path: '/', headers: ['Host', 'h'], body: Buffer.alloc(0), isRetryable: false, connectTimeoutMs: 1000, signal: new AbortController().signal,
		});
		await answer.read(1000);
		expect(answer.isEndedByClose).toBe(expected);
	});
});

describe('a connection whose end is held back', () => {
	it.each([60_000, 300_000])('is not used again after its answer to an upload of %d bytes', async bytes => {
		const sockets = answerUploads(bytes, socket => {
			socket.end('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok');
		});
		const send = async () => sendBackendRequest(pool, {
			backend: {id: 'b', host: '127.0.0.1', port: (server.address() as AddressInfo).port}, method: 'POST', path: '/', headers: ['Host', 'h'], body: Buffer.alloc(bytes, 97), isRetryable: false, connectTimeoutMs: 1000, signal: new AbortController().signal,
		});
		const first = await send();
		// The end arrives before the body is read, as with a client that reads slowly.
		await delay(10);
		await first.read(1000);
		await delay(1);
		const second = await send();
		expect(Buffer.from(await second.read(1000)).toString()).toBe('ok');
		expect(sockets.size).toBe(2);
	});
});
