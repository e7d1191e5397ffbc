import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {RawClient} from '../raw-client.js';

const timeoutMs = 300;
const chunkMs = 100;
const answerBytes = 8;
let server: Server;

afterEach(() => {
	server.close();
	server.closeAllConnections();
});

describe('a call', () => {
	it.each([
		{name: 'is not given up while its answer keeps coming', bytes: answerBytes, isWhole: true},
		{name: 'is given up when its answer stops coming', bytes: 2, isWhole: false},
	])('$name', async ({bytes, isWhole}) => {
		server = createServer((_, response) => {
			response.writeHead(200, {'Content-Length': String(answerBytes)});
			for (let index = 0; index < bytes; index++) {
				setTimeout(() => {
					response.write('x');
				}, index * chunkMs);
			}
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const client = new RawClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
		const call = client.call({method: 'GET', path: '/', timeoutMs});
		await (isWhole ? expect(call).resolves.toMatchObject({statusCode: 200}) : expect(call).rejects.toThrow('got no answer on a new connection'));
	});
});
