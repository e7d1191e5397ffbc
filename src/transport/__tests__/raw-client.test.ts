import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {RawClient} from '../raw-client.js';

const timeoutMs = 300;
const chunkIntervalMs = 100;
const responseBytes = 8;
let server: Server;

afterEach(() => {
	server.close();
	server.closeAllConnections();
});

describe('RawClient', () => {
	it.each([
		{name: 'waits longer than the timeout while response bytes keep arriving', bytes: responseBytes, isComplete: true},
		{name: 'fails when no more response bytes arrive within the timeout', bytes: 2, isComplete: false},
	])('$name', async ({bytes, isComplete}) => {
		server = createServer((_, response) => {
			response.writeHead(200, {'Content-Length': String(responseBytes)});
			for (let index = 0; index < bytes; index++) {
				setTimeout(() => {
					response.write('x');
				}, index * chunkIntervalMs);
			}
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const client = new RawClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
		const response = client.send({method: 'GET', path: '/', timeoutMs});
		await (isComplete ? expect(response).resolves.toMatchObject({statusCode: 200}) : expect(response).rejects.toThrow('got no response on a new connection'));
	});

	// What was answered to a call that writes decides whether it counts as done.
	it.each([
		{name: 'one whose status is 000', head: 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n', isReset: false},
		{name: 'one whose status is 099', head: 'HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n', isReset: false},
		{name: 'one whose reason phrase has control characters', head: 'HTTP/1.1 200 \u0001\r\nContent-Length: 2\r\n\r\n', isReset: false},
		{name: 'one without a length whose connection is reset', head: 'HTTP/1.1 200 OK\r\n\r\n', isReset: true},
	])('takes no answer for an answer that is not one or not whole: $name', async ({head, isReset}) => {
		server = createServer(({socket}) => {
			socket.write(`${head}{}`);
			if (isReset) {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			}
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const client = new RawClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
		await expect(client.send({method: 'GET', path: '/', timeoutMs})).rejects.toThrow('got no response on a new connection');
	});
});
