import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {BackendConnectionPool, sendBackendRequest} from '../backend-connection-pool.js';
import {ConnectError, TransportError} from '../errors.js';

const closers: Array<() => void> = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}
});

/** Starts a TCP server that calls `onRequest` for the bytes of each request with the number of requests so far. */
async function startBackend(onRequest: (socket: Socket, requests: number) => void): Promise<Backend> {
	let requests = 0;
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			onRequest(socket, ++requests);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	closers.push(() => {
		server.close();
	});
	return {
		id: 'b-1', name: 'b-1', startedAtMs: undefined, service: 's', version: 'v1', host: '127.0.0.1', port: (server.address() as AddressInfo).port, failureDomain: 'fd', slots: 1, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	};
}

async function readText(pool: BackendConnectionPool, backend: Backend, isRetryable = true): Promise<string> {
	const response = await sendBackendRequest(pool, {
		backend, method: 'GET', path: '/x', headers: ['Host', 'h'], body: undefined, isRetryable, connectTimeoutMs: 500, signal: AbortSignal.timeout(3000),
	});
	const body = await response.read(1000);
	return Buffer.from(body).toString();
}

const head = 'HTTP/1.1 200 OK\r\n';

// Node.js reports the reset of a connection as the normal end of a body without a length, so
// an incomplete body could be passed on as complete.
describe('responses of backend servers', () => {
	it.each([
		{
			name: 'accepts a body without a length that ends with its connection', script(socket: Socket) {
				socket.end(`${head}\r\nwhole`);
			}, expected: 'whole',
		},
		{
			name: 'rejects a body without a length whose connection is reset', script(socket: Socket) {
				socket.write(`${head}\r\npart`);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			}, expected: undefined,
		},
		{
			name: 'rejects a body without a length whose connection is reset together with the last bytes', script(socket: Socket) {
				socket.write(`${head}\r\npart`, () => {
					socket.resetAndDestroy();
				});
			}, expected: undefined,
		},
		{
			name: 'accepts a body of the stated length when the connection closes after it', script(socket: Socket) {
				socket.end(`${head}Content-Length: 5\r\nConnection: close\r\n\r\nwhole`);
			}, expected: 'whole',
		},
		{
			name: 'accepts a body of the stated length when the connection is reset after it', script(socket: Socket) {
				socket.write(`${head}Content-Length: 5\r\nConnection: close\r\n\r\nwhole`, () => {
					socket.resetAndDestroy();
				});
			}, expected: 'whole',
		},
		{
			name: 'accepts a complete chunked body when the connection is reset after it', script(socket: Socket) {
				socket.write(`${head}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`, () => {
					socket.resetAndDestroy();
				});
			}, expected: 'whole',
		},
		{
			name: 'rejects a body shorter than the stated length', script(socket: Socket) {
				socket.end(`${head}Content-Length: 9\r\n\r\npart`);
			}, expected: undefined,
		},
		{
			name: 'rejects a chunked body without the last chunk', script(socket: Socket) {
				socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n`);
			}, expected: undefined,
		},
	])('$name', async ({script, expected}) => {
		const backend = await startBackend(script);
		const pool = new BackendConnectionPool();
		const read = async () => readText(pool, backend);
		await (expected === undefined ? expect(read()).rejects.toThrow(TransportError) : expect(read()).resolves.toBe(expected));
	});

	it('does not reuse a connection that sent more bytes than its response', async () => {
		const response = `${head}Content-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok`;
		const backend = await startBackend((socket, requests) => {
			socket.write(requests === 1 ? response + response.replace('ok', 'no') : response);
		});
		const pool = new BackendConnectionPool();
		for (let round = 0; round < 3; round++) {
			// eslint-disable-next-line no-await-in-loop -- requests are sequential.
			expect(await readText(pool, backend)).toBe('ok');
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, 30);
			});
		}
	});
});

// A reset of a reused connection leaves it unknown whether the request ran, so a request that
// is not retryable fails.
describe('a backend server that resets idle connections without notice', () => {
	/** Starts a server that responds on new connections and on those idle for at most `maxIdleMs`, and resets the others. */
	async function startResettingBackend(maxIdleMs: number): Promise<Backend> {
		const usedAtMs = new WeakMap<Socket, number>();
		return startBackend(socket => {
			const lastMs = usedAtMs.get(socket);
			usedAtMs.set(socket, Date.now());
			if (lastMs !== undefined && Date.now() - lastMs > maxIdleMs) {
				socket.resetAndDestroy();
			} else {
				socket.write(`${head}Content-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok`);
			}
		});
	}

	it('fails one non-retryable request on a reused connection and none after it', async () => {
		const backend = await startResettingBackend(60);
		const pool = new BackendConnectionPool();
		const results: string[] = [];
		for (let round = 0; round < 6; round++) {
			// eslint-disable-next-line no-await-in-loop -- requests are sequential.
			results.push(await readText(pool, backend, false).catch(() => 'reset'));
			// eslint-disable-next-line no-await-in-loop
			await delay(150);
		}

		expect(results).toEqual(['ok', 'reset', 'ok', 'ok', 'ok', 'ok']);
		pool.destroy();
	});

	it('serves non-retryable requests on new connections that it closes after each response', async () => {
		const backend = await startBackend(socket => {
			socket.end(`${head}Content-Length: 2\r\nConnection: close\r\n\r\nok`);
		});
		const pool = new BackendConnectionPool();
		pool.recordReuseFailure(performance.now());
		const bodies = await Promise.all(Array.from({length: 20}, async () => readText(pool, backend, false)));
		expect(bodies).toEqual(bodies.map(() => 'ok'));
		pool.destroy();
	});

	it('still receives retryable requests on reused connections', async () => {
		const backend = await startResettingBackend(60);
		const pool = new BackendConnectionPool();
		pool.recordReuseFailure(performance.now());
		await readText(pool, backend);
		await delay(30);
		expect(await readText(pool, backend)).toBe('ok');
		expect(Object.values(pool.freeSockets).flat()).toHaveLength(1);
		pool.destroy();
	});
});

// A request that has not been sent may go to another backend server, also one that may run once.
describe('a connection that fails before anything is sent', () => {
	it.each([
		{name: 'at once, for want of a route', host: '255.255.255.255'},
		{name: 'at once, for an address of no single machine', host: '224.0.0.1'},
		{name: 'later, since nothing listens there', host: '127.0.0.1'},
	])('is reported as such: $name', async ({host}) => {
		let isDelivered = false;
		const sent = sendBackendRequest(new BackendConnectionPool(), {
			backend: {id: 'b', host, port: 9}, method: 'POST', path: '/', headers: ['Host', 'h'], body: undefined, isRetryable: false, connectTimeoutMs: 200, signal: AbortSignal.timeout(3000), onDelivery() {
				isDelivered = true;
			},
		});
		await expect(sent).rejects.toBeInstanceOf(ConnectError);
		expect(isDelivered).toBe(false);
	});
});
