import {connect, createServer, type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {ReplicaStandin, streamEvents} from '../../platform/__tests__/standins.js';
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

// A daemon must be able to tell the exit of a replica from the end of its stream.
describe('a replica that exits behind a link that has stopped listening', () => {
	it('ends its streams in the ordinary way, after its port refuses connections', async () => {
		const replica = new ReplicaStandin('i-1');
		replica.hasUnframedStreams = true;
		replica.eventPauseMs = transitMs;
		await replica.start();
		const link = new FaultyLink(replica.address);
		await link.start();
		const [host, port] = link.address.split(':');
		const client = connect(Number(port), host);
		const ends: string[] = [];
		let received = '';
		client.on('data', chunk => {
			received += String(chunk);
		});
		client.on('end', () => {
			ends.push('stream ended');
		});
		client.on('error', ({message}) => {
			ends.push(message);
		});
		client.write('POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n');
		await delay(transitMs * 2.5);
		link.stopListening();
		replica.stop();
		const probe = connect(Number(port), host);
		probe.on('error', error => {
			ends.push((error as NodeJS.ErrnoException).code ?? error.message);
		});
		await delay(transitMs);
		expect(ends.toSorted()).toEqual(['ECONNREFUSED', 'stream ended']);
		expect(received).toMatch(/id: 2\n/v);
		expect(received).not.toContain(`id: ${streamEvents}\n`);
		link.stop();
	});
});
