/**
 * Connections between gateways over `ws`: one task per peer dials it and sends
 * heartbeats; the peer server accepts inbound links on the admin port at `/peer`
 * and hands decoded messages on. Bytes are counted both ways for the capacity page.
 */
import type {Server as HttpServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import WebSocket, {WebSocketServer} from 'ws';
import {type PeerMessage, decodePeerMessage, encodePeerMessage} from '../protocol/peer-messages.js';
import {type Peer} from '../protocol/gateway-settings.js';
import {createLogger} from '../log.js';

const log = createLogger('peer');

/** Pause before dialling a peer again after its link dropped. */
export const redialMs = 500;

/** Bytes of peer traffic, counted for metrics and the capacity bench. */
export type PeerTraffic = {bytesSent: number; bytesReceived: number; messagesSent: number; messagesReceived: number};

/** Accepts inbound peer links on an HTTP server's upgrade path `/peer`. */
export function acceptPeers(server: HttpServer, traffic: PeerTraffic, onMessage: (message: PeerMessage) => void): WebSocketServer {
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

/** What one peer link sends, how often, and where it counts bytes. */
export type PeerLink = {
	peer: Peer;
	intervalMs: number;
	/** Produces the next message to send, such as a fresh heartbeat. */
	next: () => PeerMessage;
	traffic: PeerTraffic;
};

/**
 * Keeps a link to one peer and sends what `next` produces every `intervalMs`,
 * redialling after drops, until the signal aborts.
 */
export async function linkPeer(link: PeerLink, signal: AbortSignal): Promise<void> {
	const {peer} = link;
	let connected = false;
	while (!signal.aborted) {
		const ws = new WebSocket(peer.url);
		// eslint-disable-next-line no-await-in-loop
		const opened = await new Promise<boolean>(resolve => {
			ws.once('open', () => {
				resolve(true);
			});
			ws.once('error', () => {
				resolve(false);
			});
		});
		if (opened) {
			if (!connected) {
				log.info('link up.', {peer: peer.id});
			}

			connected = true;
			// eslint-disable-next-line no-await-in-loop
			await sendUntilClosed(ws, link, signal);
		} else if (connected) {
			log.warn('link down.', {peer: peer.id});
			connected = false;
		}

		ws.terminate();
		// eslint-disable-next-line no-await-in-loop
		await delay(redialMs, undefined, {signal}).catch(() => undefined);
	}
}

async function sendUntilClosed(ws: WebSocket, link: PeerLink, signal: AbortSignal): Promise<void> {
	const {intervalMs, next, traffic} = link;
	const closed = new AbortController();
	ws.once('close', () => {
		closed.abort();
	});
	ws.once('error', () => {
		closed.abort();
	});
	const stop = AbortSignal.any([closed.signal, signal]);
	while (!stop.aborted) {
		const data = encodePeerMessage(next());
		ws.send(data);
		traffic.bytesSent += data.length;
		traffic.messagesSent++;
		// eslint-disable-next-line no-await-in-loop
		await delay(intervalMs, undefined, {signal: stop}).catch(() => undefined);
	}
}
