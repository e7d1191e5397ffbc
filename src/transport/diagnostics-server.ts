/**
 * The HTTP server for the metrics and state of a serving daemon. It loads its HTTP library
 * (hapi) with the first request, since loading takes a third of the CPU time of a start, and
 * after a power outage every daemon would spend that time before it can serve clients.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Registry} from 'prom-client';
import {type MachineLimits} from '../protocol/platform.js';
import {type Listen} from '../protocol/settings.js';
import {monitoringListenerLimits} from './connection-limits.js';
import {type ConnectionTable} from './connection-table.js';
import {TransportError} from './errors.js';
import {LimitedServer} from './limited-server.js';
import {type RequestReader, type StateReader} from './http-server.js';

/** What a {@link DiagnosticsServer} serves. */
export type Diagnostics = {registry: Registry; readState: StateReader; explain?: RequestReader};

/** Serves the metrics and state of a process. */
export class DiagnosticsServer {
	/**
	 * Opens the port.
	 *
	 * @throws {TransportError} When the address cannot be bound.
	 */
	static async open(address: Listen, machine: MachineLimits, {registry, readState, explain}: Diagnostics): Promise<DiagnosticsServer> {
		const listener = new LimitedServer(monitoringListenerLimits(machine));
		const server = new DiagnosticsServer(listener, {registry, readState, explain});
		await new Promise<void>((resolve, reject) => {
			listener.once('error', error => {
				reject(new TransportError(`cannot listen on ${address.host}:${address.port}`, {cause: error}));
			});
			listener.listen(address.port, address.host, resolve);
		});
		return server;
	}

	private constructor(
		private readonly listener: LimitedServer,
		private readonly diagnostics: Diagnostics,
	) {
		listener.once('request', (request, response) => {
			void this.serve(request, response);
		});
	}

	/** The connections of the port. */
	get connections(): ConnectionTable {
		return this.listener.connectionTable;
	}

	/** Closes the port and its connections. */
	close(): void {
		this.listener.close();
		this.listener.closeAllConnections();
	}

	/** Loads the HTTP library, and passes it the port and the requests that arrived meanwhile. */
	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const pendingExchanges: Array<[IncomingMessage, ServerResponse]> = [[request, response]];
		const enqueue = (...exchange: [IncomingMessage, ServerResponse]) => {
			pendingExchanges.push(exchange);
		};

		this.listener.on('request', enqueue);
		const {addDiagnosticsRoutes, createServerFromListener} = await import('./http-server.js');
		this.listener.off('request', enqueue);
		const server = createServerFromListener(this.listener);
		addDiagnosticsRoutes(server, this.diagnostics.registry, this.diagnostics.readState, this.diagnostics.explain);
		await server.initialize();
		for (const exchange of pendingExchanges) {
			this.listener.emit('request', ...exchange);
		}
	}
}
