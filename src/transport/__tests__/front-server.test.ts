import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {waitUntil} from '../../testing/stack.js';
import {ConnectionCutError, FrontServer, type FrontRequest} from '../front-server.js';

const port = 18_471;
const handledRequests: FrontRequest[] = [];
const server = new FrontServer(async request => {
	handledRequests.push(request);
	request.response.end('ok');
});

beforeAll(async () => {
	server.setLimits({
		headerBytes: 400, bodyBytes: 50, headerTimeoutMs: 3000, idleTimeoutMs: 5000,
	});
	await server.listen({host: '127.0.0.1', port});
});
afterAll(() => {
	server.close();
	server.destroy();
});

/** Sends bytes on a new connection and returns the data received within `waitMs`. */
async function send(bytes: string, waitMs = 150, toPort = port): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(toPort, '127.0.0.1');
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString();
		});
		socket.on('error', () => undefined);
		socket.write(bytes);
		setTimeout(() => {
			socket.destroy();
			resolve(text);
		}, waitMs);
	});
}

/** Connects a client in a process of its own, which pauses, sends a request, and disconnects after `staysMs`; returns once it is connected. */
async function connectClient(staysMs: number): Promise<{hasExited: Promise<unknown>}> {
	const client = spawn(process.execPath, ['-e', String.raw`
		const socket = require('node:net').connect(${port}, '127.0.0.1', () => {
			setTimeout(() => {
				socket.write('GET /late HTTP/1.1\r\nHost: h\r\n\r\n');
				setTimeout(() => socket.destroy(), ${staysMs});
			}, 100);
		});
	`], {stdio: 'ignore'});
	await waitUntil(async () => server.openConnections > 0, 5000);
	return {hasExited: once(client, 'exit')};
}

/** Keeps the event loop from running for a while. */
function blockEventLoop(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

const head = 'POST /a HTTP/1.1\r\nHost: h\r\n';

describe('FrontServer', () => {
	it.each([
		{name: 'both a length and a transfer encoding', bytes: `${head}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`, status: 400},
		{name: 'two content lengths', bytes: `${head}Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello`, status: 400},
		{name: 'an unknown transfer encoding', bytes: `${head}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`, status: 400},
		{name: 'a folded header', bytes: `${head}X: a\r\n b\r\nContent-Length: 0\r\n\r\n`, status: 400},
		{name: 'a space before the colon', bytes: `${head}Content-Length : 5\r\n\r\nhello`, status: 400},
		{name: 'headers longer than allowed', bytes: `${head}X: ${'x'.repeat(500)}\r\nContent-Length: 0\r\n\r\n`, status: 431},
		{name: 'a body longer than allowed', bytes: `${head}Content-Length: 51\r\n\r\n${'x'.repeat(51)}`, status: 413},
		{name: 'a chunked body longer than allowed', bytes: `${head}Transfer-Encoding: chunked\r\n\r\n40\r\n${'x'.repeat(64)}\r\n0\r\n\r\n`, status: 413},
	])('rejects $name', async ({bytes, status}) => {
		const before = handledRequests.length;
		const text = await send(bytes);
		expect(text).toMatch(new RegExp(`^HTTP/1.1 ${status} `, 'v'));
		expect(text.toLowerCase()).toContain('connection: close');
		expect(handledRequests.length).toBe(before);
	});

	it('separates two requests on one connection', async () => {
		const before = handledRequests.length;
		const text = await send(`${head}Content-Length: 3\r\n\r\nabc${head}Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n`);
		expect(text.match(/HTTP\/1.1 200/gv)).toHaveLength(2);
		expect(handledRequests.slice(before).map(request => new TextDecoder().decode(request.body))).toEqual(['abc', 'de']);
	});

	it('aborts the signal of a request whose client disconnects', async () => {
		const signals: AbortSignal[] = [];
		const silentServer = new FrontServer(async request => {
			signals.push(request.signal);
		});
		await silentServer.listen({host: '127.0.0.1', port: port + 1});
		const socket = connect(port + 1, '127.0.0.1');
		socket.write('GET /a HTTP/1.1\r\nHost: h\r\n\r\n');
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		socket.destroy();
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		expect(signals.map(signal => signal.aborted)).toEqual([true]);
		silentServer.close();
		silentServer.destroy();
	});

	it('aborts the signals of requests that were sent ahead when their client disconnects', async () => {
		const signals: AbortSignal[] = [];
		const silentServer = new FrontServer(async request => {
			signals.push(request.signal);
		});
		await silentServer.listen({host: '127.0.0.1', port: port + 1});
		await send('GET /a HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(3), 100, port + 1);
		await waitUntil(async () => silentServer.openConnections === 0, 5000);
		expect(signals.map(({aborted}) => aborted)).toEqual([true, true, true]);
		silentServer.close();
		silentServer.destroy();
	});

	it('tells a connection that it has closed itself from one that its client has closed', async () => {
		const signals: AbortSignal[] = [];
		const stoppedServer = new FrontServer(async request => {
			signals.push(request.signal);
		});
		await stoppedServer.listen({host: '127.0.0.1', port: port + 1});
		const socket = connect(port + 1, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write('GET /a HTTP/1.1\r\nHost: h\r\n\r\n');
		await waitUntil(async () => signals.length === 1, 2000);
		stoppedServer.close();
		expect(signals[0].aborted).toBe(false);
		stoppedServer.destroy();
		await waitUntil(async () => signals[0].aborted, 2000);
		expect(signals[0].reason).toBeInstanceOf(ConnectionCutError);
	});

	it.each([
		{name: 'handles a request that it reads late while its client still waits', staysMs: 1000, isHandled: true},
		{name: 'does not handle a request whose client left before it was read', staysMs: 50, isHandled: false},
	])('$name', async ({staysMs, isHandled}) => {
		const before = handledRequests.length;
		const {hasExited} = await connectClient(staysMs);
		blockEventLoop(400);
		await hasExited;
		expect(handledRequests.length - before).toBe(isHandled ? 1 : 0);
	});
});

describe('a connection that is not accepted', () => {
	it('is closed with its request unread, and the next one is served', async () => {
		let isAccepting = false;
		let handled = 0;
		const shedding = new FrontServer(async ({response}) => {
			handled++;
			response.end('ok');
		}, () => isAccepting);
		await shedding.listen({host: '127.0.0.1', port: port + 1});
		const get = async () => send('GET / HTTP/1.1\r\nHost: h\r\n\r\n', 150, port + 1);
		expect(await get()).toBe('');
		expect(handled).toBe(0);
		expect(shedding.openConnections).toBe(0);
		isAccepting = true;
		expect(await get()).toContain('200 OK');
		shedding.close();
		shedding.destroy();
	});
});

describe('a request that was answered with 408', () => {
	const slowPort = port + 2;
	const handledPaths: string[] = [];
	const abortedPaths: string[] = [];
	const slowServer = new FrontServer(async ({path, response, signal}) => {
		handledPaths.push(path);
		signal.addEventListener('abort', () => {
			abortedPaths.push(path);
		});
		await delay(path === '/slow' ? 2500 : 0);
		response.end('ok');
	});

	beforeAll(async () => {
		slowServer.setLimits({
			headerBytes: 400, bodyBytes: 50, headerTimeoutMs: 500, idleTimeoutMs: 800,
		});
		await slowServer.listen({host: '127.0.0.1', port: slowPort});
	});
	afterAll(() => {
		slowServer.close();
		slowServer.destroy();
	});

	// The status promises that the request has not run and never will.
	it.each([
		{name: 'of which nothing arrived in time', first: '', rest: `${head}Content-Length: 0\r\n\r\n`},
		{name: 'whose head arrived late', first: 'POST /a HTTP/1.1\r\nHo', rest: 'st: h\r\nContent-Length: 0\r\n\r\n'},
		{name: 'whose body arrived late', first: `${head}Content-Length: 5\r\n\r\nab`, rest: 'cde'},
		{name: 'in chunks that arrived late', first: `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n`, rest: '0\r\n\r\n'},
	])('is not handled: one $name', async ({first, rest}) => {
		const before = handledPaths.length;
		const socket = connect({port: slowPort, host: '127.0.0.1', allowHalfOpen: true});
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString();
		});
		socket.on('error', () => undefined);
		socket.write(first);
		await waitUntil(async () => text.includes('408'), 5000);
		socket.write(rest);
		await delay(300);
		socket.destroy();
		expect(text.match(/HTTP\/1.1 \d+/gv)).toEqual(['HTTP/1.1 408']);
		expect(handledPaths.slice(before)).toEqual([]);
	});

	it.each([
		{name: 'part of a request', rest: 'POST /a HTTP/1.1\r\nHo', staysMs: 200},
		{name: 'part of a request that has timed out', rest: 'POST /a HTTP/1.1\r\nHo', staysMs: 1700},
		{name: 'bytes that are no request', rest: '\u0001\u0002\r\n\r\n', staysMs: 200},
	])('does not keep the request before it running for a client that has left after $name', async ({rest, staysMs}) => {
		abortedPaths.length = 0;
		const socket = connect(slowPort, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write('POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n');
		await delay(100);
		socket.write(rest);
		await delay(staysMs);
		socket.end();
		await delay(300);
		expect(abortedPaths).toEqual(['/slow']);
	});

	it('does not answer the request before it on the connection', async () => {
		const text = await send('POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\nPOST /a HTTP/1.1\r\nHo', 3500, slowPort);
		expect(text).toMatch(/^HTTP\/1.1 200 /v);
		expect(text).not.toContain('408');
	});
});

describe('an answer that is still being sent to a slow client', () => {
	const answerBytes = 16 * 1024 * 1024;

	// Guards against answers that a stop truncates: Node.js closes connections whose response has ended, sent or not.
	it('arrives whole when the server stops meanwhile', async () => {
		const stopping = new FrontServer(async ({response}) => {
			response.writeHead(200, {'Content-Length': String(answerBytes)});
			response.end('x'.repeat(answerBytes));
		});
		await stopping.listen({host: '127.0.0.1', port: port + 1});
		const socket = connect(port + 1, '127.0.0.1');
		let received = 0;
		socket.on('error', () => undefined);
		socket.write('GET /a HTTP/1.1\r\nHost: h\r\n\r\n');
		await once(socket, 'readable');
		await delay(100);
		stopping.close();
		socket.on('data', (chunk: Uint8Array) => {
			received += chunk.length;
		});
		await once(socket, 'close');
		stopping.destroy();
		expect(received).toBeGreaterThan(answerBytes);
	});
});
