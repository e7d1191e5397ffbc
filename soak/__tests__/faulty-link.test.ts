import {connect, createServer, type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {FaultyLink, LinkMode} from '../faulty-link.js';

/** Time in which bytes pass the link, in milliseconds. */
const transitMs = 100;

describe('a link that drops bytes', () => {
	it.each([
		{name: 'drops the end of the connection after them', mode: LinkMode.Silence, hasEnded: false},
		{name: 'drops the end after bytes of the answer alone', mode: LinkMode.OneWay, hasEnded: false},
		{name: 'passes the end on while it drops nothing', mode: LinkMode.Pass, hasEnded: true},
	])('$name', async ({mode, hasEnded}) => {
		const server = createServer(socket => {
			socket.write('first half');
			setTimeout(() => {
				socket.end('second half');
			}, transitMs);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const link = new FaultyLink(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		await link.start();
		const [host, port] = link.address.split(':');
		const client = connect(Number(port), host);
		let ended = false;
		client.on('data', () => {
			link.mode = mode;
		});
		client.on('end', () => {
			ended = true;
		});
		client.on('error', () => undefined);
		await delay(transitMs * 3);
		expect(ended).toBe(hasEnded);
		client.destroy();
		link.stop();
		server.close();
	});
});
