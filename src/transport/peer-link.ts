/**
 * WebSocket connections between gateways, based on `ws`. A gateway opens one connection to
 * each peer and sends its heartbeats there, and accepts inbound connections at `/peer` on
 * the admin port. Bytes and messages are counted in both directions.
 */
import type {Server as HttpServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import WebSocket, {WebSocketServer} from 'ws';
import {type PeerMessage, decodePeerMessage, encodePeerMessage} from '../protocol/peer-messages.js';
import {type Peer} from '../protocol/gateway-settings.js';
import {createLogger} from '../log.js';

const log = createLogger('peer');

/** Delay before a reconnection attempt to a peer, in milliseconds. */
export const reconnectDelayMs = 500;

/** Totals of peer traffic, for the state dump and the capacity benchmark. */
export type PeerTraffic = {bytesSent: number; bytesReceived: number; messagesSent: number; messagesReceived: number};

/** Accepts inbound peer connections on an HTTP server's upgrade path `/peer` and passes decoded messages to `onMessage`. */
export function acceptPeerLinks(server: HttpServer, traffic: PeerTraffic, onMessage: (message: PeerMessage) => void): WebSocketServer {
	const sockets = new WebSocketServer({noServer: true});
	server.on('upgrade', (request, socket, head) => {
		if (request.url !== '/peer') {
			socket.destroy();
			return;
		}

		sockets.handleUpgrade(request, socket, head, ws => {
			ws.on('message', (data: Uint8Array) => {
				traffic.bytesReceived += data.length;
				traffic.messagesReceived++;
				const message = decodePeerMessage(data);
				if (message) {
					onMessage(message);
				}
			});
		});
	});
	return sockets;
}

/** The options of the connection to one peer. */
export type PeerLinkOptions = {
	peer: Peer;
	intervalMs: number;
	/** Creates the next message to send, such as a heartbeat. */
	createMessage: () => PeerMessage;
	traffic: PeerTraffic;
};

/**
 * Keeps a connection to one peer and sends a new message every `intervalMs` milliseconds,
 * reconnecting after failures, until the signal aborts.
 */
export async function runPeerLink(link: PeerLinkOptions, signal: AbortSignal): Promise<void> {
	const {peer} = link;
	let wasConnected = false;
	while (!signal.aborted) {
		const ws = new WebSocket(peer.url);
		// eslint-disable-next-line no-await-in-loop
		const isOpen = await new Promise<boolean>(resolve => {
			ws.once('open', () => {
				resolve(true);
			});
			ws.once('error', () => {
				resolve(false);
			});
		});
		if (isOpen) {
			if (!wasConnected) {
				log.info('connected.', {peer: peer.id});
			}

			wasConnected = true;
			// eslint-disable-next-line no-await-in-loop
			await sendUntilClosed(ws, link, signal);
		} else if (wasConnected) {
			log.warn('disconnected.', {peer: peer.id});
			wasConnected = false;
		}

		ws.terminate();
		// eslint-disable-next-line no-await-in-loop
		await delay(reconnectDelayMs, undefined, {signal}).catch(() => undefined);
	}
}

async function sendUntilClosed(ws: WebSocket, link: PeerLinkOptions, signal: AbortSignal): Promise<void> {
	const {intervalMs, createMessage, traffic} = link;
	const closed = new AbortController();
	ws.once('close', () => {
		closed.abort();
	});
	ws.once('error', () => {
		closed.abort();
	});
	const stop = AbortSignal.any([closed.signal, signal]);
	while (!stop.aborted) {
		const data = encodePeerMessage(createMessage());
		ws.send(data);
		traffic.bytesSent += data.length;
		traffic.messagesSent++;
		// eslint-disable-next-line no-await-in-loop
		await delay(intervalMs, undefined, {signal: stop}).catch(() => undefined);
	}
}
