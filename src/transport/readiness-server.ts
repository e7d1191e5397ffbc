/**
 * The readiness endpoint that the load balancer polls to decide whether to send new
 * connections. It is opened before anything that loads slowly, so that a restarted daemon
 * is back in rotation as soon as it can serve.
 */
import {createServer, type Server} from 'node:http';
import {type Listen} from '../protocol/settings.js';
import {TransportError} from './errors.js';

/**
 * Starts the readiness endpoint.
 *
 * @throws {TransportError} When the address cannot be bound.
 */
export async function openReadinessServer(address: Listen, path: string, isReady: () => boolean): Promise<Server> {
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
