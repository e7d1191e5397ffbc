/** Guards against a daemon that ends for one message of another party: an error in the listener of a socket ends the process. */
import {createSocket} from 'node:dgram';
import {pack} from 'msgpackr';
import {expect, it} from 'vitest';
import {FleetMessageKind, isFleetMessage} from '../../protocol/fleet-messages.js';
import {DatagramLink} from '../datagram-link.js';

const address = {host: '127.0.0.1', port: 18_899};

it('processes the messages after one that cannot be processed', async () => {
	const stop = new AbortController();
	const received: unknown[] = [];
	await DatagramLink.open(address, message => {
		if (message === 'malformed') {
			throw new TypeError('unexpected form');
		}

		received.push(message);
	}, stop.signal);
	const sender = createSocket('udp4');
	for (const bytes of [pack('malformed'), new Uint8Array([0xC1]), pack('whole')]) {
		sender.send(bytes, address.port, address.host);
	}

	await expect.poll(() => received).toContain('whole');
	sender.close();
	stop.abort();
});

it.each([
	{name: 'a port over 65535', host: '10.0.0.1', port: 65_536},
	{name: 'port 0', host: '10.0.0.1', port: 0},
	{name: 'a name as host', host: 'vm-1', port: 80},
])('ignores a message with an address that cannot be sent to: $name', ({host, port}) => {
	const sender = {
		name: 'a', incarnation: 'a#1', failureDomain: 'fd-a', uptimeMs: 1, isStopping: false,
	};
	const valid = {host: '10.0.0.1', port: 80};
	expect(isFleetMessage({kind: FleetMessageKind.Report, sender: {...sender, address: valid}})).toBe(true);
	expect(isFleetMessage({kind: FleetMessageKind.Report, sender: {...sender, address: {host, port}}})).toBe(false);
	expect(isFleetMessage({kind: FleetMessageKind.View, sender: {...sender, address: valid}, relays: [{name: 'b', address: {host, port}}]})).toBe(false);
});
