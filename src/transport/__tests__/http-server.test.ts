/** Guards against answers that a stop truncates: Node.js closes connections whose response has ended, sent or not. */
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {createServer, startServer} from '../http-server.js';

const answerBytes = 16 * 1024 * 1024;

it('an answer that is still being sent to a slow client arrives whole when the server stops meanwhile', async () => {
	const server = createServer({host: '127.0.0.1', port: 0});
	server.route({method: 'GET', path: '/', handler: () => 'x'.repeat(answerBytes)});
	await startServer(server);
	const socket = connect(Number(server.info.port), '127.0.0.1');
	let received = 0;
	socket.on('error', () => undefined);
	socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
	await once(socket, 'readable');
	await delay(100);
	const stopped = server.stop({timeout: 5000});
	socket.on('data', (chunk: Uint8Array) => {
		received += chunk.length;
	});
	await once(socket, 'close');
	await stopped;
	expect(received).toBeGreaterThan(answerBytes);
});
