/**
 * UDP datagrams between daemons, encoded with `msgpackr`. Datagrams are used rather than
 * WebSocket connections because every message repeats all current information: a lost
 * message does no harm, no connection can become unresponsive unnoticed, and a frozen peer
 * delays nobody.
 */
import {createSocket, type Socket} from 'node:dgram';
import {pack, unpack} from 'msgpackr';
import {type PeerAddress} from '../protocol/fleet-messages.js';
import {createLogger} from '../log.js';
import {TransportError} from './errors.js';

const log = createLogger('peer');

/** Sends messages to peers without detecting losses. */
export type MessageSender = {
	send(message: unknown, to: PeerAddress[]): void;
};

/** Largest datagram sent, in bytes; larger ones would be fragmented. */
export const maxDatagramBytes = 1400;

/** One bound UDP socket. */
export class DatagramLink implements MessageSender {
	/**
	 * Binds an address and passes every decodable message to `onMessage` until the signal aborts.
	 *
	 * @throws {TransportError} When the address cannot be bound.
	 */
	static async open(address: PeerAddress, onMessage: (message: unknown) => void, signal: AbortSignal): Promise<DatagramLink> {
		const socket = createSocket('udp4');
		socket.on('message', bytes => {
			let message: unknown;
			try {
				message = unpack(bytes);
			} catch {
				// A datagram that cannot be decoded is not from a peer; anyone can send one.
				return;
			}

			try {
				onMessage(message);
			} catch (error) {
				// Thrown in a listener, the error would end the process.
				log.error('message cannot be processed, skipping it.', {error: String(error)});
			}
		});
		await new Promise<void>((resolve, reject) => {
			socket.once('error', error => {
				reject(new TransportError(`cannot bind ${address.host}:${address.port}`, {cause: error}));
			});
			socket.bind(address.port, address.host, resolve);
		});
		// A later send fails if a peer is gone; its missing messages reveal that anyway.
		socket.on('error', () => undefined);
		signal.addEventListener('abort', () => {
			socket.close();
		}, {once: true});
		return new DatagramLink(socket);
	}

	bytesSent = 0;
	private constructor(private readonly socket: Socket) {}

	send(message: unknown, to: PeerAddress[]): void {
		if (to.length === 0) {
			return;
		}

		const bytes = pack(message);
		for (const {host, port} of to) {
			this.bytesSent += bytes.length;
			this.socket.send(bytes, port, host, () => undefined);
		}
	}
}
