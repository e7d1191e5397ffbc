/** Guards against limits that close the connections of clients which are sending, or are passed by requests behind those that are being served. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {waitUntil} from '../../testing/stack.js';
import {clientListenerLimits} from '../connection-limits.js';
import {LimitKind} from '../connection-table.js';
import {FrontServer, type FrontRequest} from '../front-server.js';

const port = 18_481;
const waitMs = 5000;
const shortRequest = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const headStart = 'GET / HTTP/1.1\r\nHost: h\r\nX: ';
const defaultLimits = clientListenerLimits({memoryMegabytes: 210, maxDescriptors: 3075});

let server: FrontServer;
let handledRequests: FrontRequest[];
let sockets: Socket[];

/** Starts a server that answers no request until the test does. */
async function startServer(limits: Partial<typeof defaultLimits>): Promise<void> {
	handledRequests = [];
	sockets = [];
	server = new FrontServer(async request => {
		handledRequests.push(request);
	}, () => true, {...defaultLimits, ...limits});
	await server.listen({host: '127.0.0.1', port});
}

/** Opens a connection that sends something, and waits until the server has it. */
async function open(bytes: string): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.resume();
	sockets.push(socket);
	await once(socket, 'connect');
	await send(socket, bytes);
	return socket;
}

/** Sends bytes, and waits until the server has received them. */
async function send(socket: Socket, bytes: string): Promise<void> {
	const before = server.connections.receivedBytes;
	socket.write(bytes);
	await waitUntil(async () => bytes === '' || server.connections.receivedBytes !== before, waitMs);
}

afterEach(() => {
	server.close();
	server.destroy();
	for (const socket of sockets) {
		socket.destroy();
	}
});

describe('a server with limits', () => {
	it('closes a connection that has sent nothing for one that still sends its request', async () => {
		await startServer({maxConnections: 2});
		const sending = await open(headStart);
		const silent = await open('');
		await waitUntil(async () => server.openConnections === 2, waitMs);
		await send(sending, 'x');
		await Promise.all([once(silent, 'close'), open('')]);
		expect(sending.closed).toBe(false);
		await send(sending, '\r\n\r\n');
		await waitUntil(async () => handledRequests.length === 1, waitMs);
	});

	it('gives up a request behind one that is served, although a longer one has been given up', async () => {
		await startServer({maxReceivedBytes: 45_000});
		const [first, second] = [await open(shortRequest), await open(shortRequest)];
		await waitUntil(async () => handledRequests.length === 2, waitMs);
		await send(first, headStart + 'x'.repeat(18_000));
		await send(second, headStart + 'x'.repeat(25_000));
		second.write('x'.repeat(5000));
		await waitUntil(async () => server.connections.hits[LimitKind.Received] === 1, waitMs);
		first.write('x'.repeat(4000));
		await waitUntil(async () => server.connections.hits[LimitKind.Received] === 2, waitMs);
		for (const {response} of handledRequests) {
			response.end('ok');
		}

		await waitUntil(async () => server.openConnections === 0, waitMs);
	});
});
