/**
 * The readiness endpoint that the load balancer polls to decide whether to send new
 * connections. It is opened before anything that loads slowly, so that a restarted daemon
 * is back in rotation as soon as it can serve.
 */
import {type MachineLimits} from '../protocol/platform.js';
import {type Listen} from '../protocol/settings.js';
import {monitoringListenerLimits} from './connection-limits.js';
import {TransportError} from './errors.js';
import {LimitedServer} from './limited-server.js';

/**
 * Starts the readiness endpoint.
 *
 * @throws {TransportError} When the address cannot be bound.
 */
export async function openReadinessServer(address: Listen, path: string, isReady: () => boolean, machine: MachineLimits): Promise<LimitedServer> {
	const server = new LimitedServer(monitoringListenerLimits(machine), {}, (request, response) => {
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
