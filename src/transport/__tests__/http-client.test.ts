/** Guards against a part of an answer, or one that is none, being taken for an answer. */
import {createServer, type AddressInfo, type Server} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {TransportError} from '../errors.js';
import {requestJson} from '../http-client.js';

describe('requestJson', () => {
	let server: Server;

	afterEach(() => {
		server.close();
	});

	async function listen(answer: string, isReset: boolean): Promise<string> {
		server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(answer);
				setTimeout(() => {
					if (isReset) {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				}, 20);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
	}

	it.each([
		{name: 'whose status is 000', answer: 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}', isReset: false},
		{name: 'whose reason phrase has control characters', answer: 'HTTP/1.1 200 \u0001\r\nContent-Length: 2\r\n\r\n{}', isReset: false},
		{name: 'without a length whose connection is reset', answer: 'HTTP/1.1 200 OK\r\n\r\n{}', isReset: true},
		{name: 'without a length that ends before its first byte', answer: 'HTTP/1.1 200 OK\r\n\r\n', isReset: false},
		{name: 'without a length that ends before its first byte by a reset', answer: 'HTTP/1.1 200 OK\r\n\r\n', isReset: true},
		{name: 'without a length that ends within an object', answer: 'HTTP/1.1 200 OK\r\n\r\n{"a":1', isReset: false},
		{name: 'shorter than its length', answer: 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}', isReset: false},
		{name: 'without its last chunk', answer: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n', isReset: false},
	])('fails after an answer $name', async ({answer, isReset}) => {
		const url = await listen(answer, isReset);
		await expect(requestJson({
			method: 'POST', url, payload: {}, timeoutMs: 500,
		})).rejects.toThrow(TransportError);
	});

	it.each([
		{
			name: 'without a length', answer: 'HTTP/1.1 200 OK\r\n\r\n{}', statusCode: 200, body: {},
		},
		{
			name: 'of length 0', answer: 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', statusCode: 200, body: null,
		},
		{
			name: 'that has no body by its status', answer: 'HTTP/1.1 204 No Content\r\n\r\n', statusCode: 204, body: null,
		},
	])('returns an answer $name', async ({answer, statusCode, body}) => {
		const url = await listen(answer, false);
		await expect(requestJson({
			method: 'POST', url, payload: {}, timeoutMs: 500,
		})).resolves.toMatchObject({statusCode, body});
	});
});
