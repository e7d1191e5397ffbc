/**
 * The port at which the balancer asks whether new connections should come. It is opened
 * before everything that takes long to load, so that a restarted daemon is back in rotation
 * as soon as it can serve.
 */
import {createServer, type Server} from 'node:http';
import {type Listen} from '../protocol/settings.js';
import {TransportError} from './errors.js';

/**
 * Opens the readiness port.
 *
 * @throws {TransportError} When the address cannot be bound.
 */
export async function openReadiness(address: Listen, path: string, isReady: () => boolean): Promise<Server> {
	const server = createServer((request, response) => {
		if (request.url !== path) {
			response.writeHead(404).end();
			return;
		}

		response.writeHead(isReady() ? 200 : 503, {'Content-Type': 'application/json'}).end(JSON.stringify({ready: isReady()}));
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', error => {
			reject(new TransportError(`cannot listen on ${address.host}:${address.port}`, {cause: error}));
		});
		server.listen(address.port, address.host, resolve);
	});
	return server;
}
