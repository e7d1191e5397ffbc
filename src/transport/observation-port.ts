/**
 * The port of a serving daemon that shows its metrics and state. Its HTTP library loads with
 * the first request: it took a third of the processor time of a start, and after all power is
 * lost every daemon pays for that before it can serve its callers.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Registry} from 'prom-client';
import {type Listen} from '../protocol/settings.js';
import {TransportError} from './errors.js';
import {type StateDump} from './http-server.js';

/** A port that shows the metrics and state of a process. */
export class ObservationPort {
	/**
	 * Opens the port.
	 *
	 * @throws {TransportError} When the address cannot be bound.
	 */
	static async open(address: Listen, registry: Registry, dump: StateDump): Promise<ObservationPort> {
		const listener = createServer();
		const port = new ObservationPort(listener, registry, dump);
		await new Promise<void>((resolve, reject) => {
			listener.once('error', error => {
				reject(new TransportError(`cannot listen on ${address.host}:${address.port}`, {cause: error}));
			});
			listener.listen(address.port, address.host, resolve);
		});
		return port;
	}

	private constructor(
		private readonly listener: Server,
		private readonly registry: Registry,
		private readonly dump: StateDump,
	) {
		listener.once('request', (request, response) => {
			void this.serve(request, response);
		});
	}

	/** Closes the port and its connections. */
	close(): void {
		this.listener.close();
		this.listener.closeAllConnections();
	}

	/** Hands the port over to the HTTP library, with the requests that came while it loaded. */
	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const early: Array<[IncomingMessage, ServerResponse]> = [[request, response]];
		const keep = (...exchange: [IncomingMessage, ServerResponse]) => {
			early.push(exchange);
		};

		this.listener.on('request', keep);
		const {addObservationRoutes, createServerAt} = await import('./http-server.js');
		this.listener.off('request', keep);
		const server = createServerAt(this.listener);
		addObservationRoutes(server, this.registry, this.dump);
		await server.initialize();
		for (const exchange of early) {
			this.listener.emit('request', ...exchange);
		}
	}
}
