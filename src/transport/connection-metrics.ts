/** Metrics of the connections of clients and of their limits, with `prom-client`. */
import {Gauge, type Registry} from 'prom-client';
import {type ConnectionTable} from './connection-table.js';

/** Adds the metrics of the listeners that clients reach, by name. */
export function addConnectionMetrics(registry: Registry, listeners: () => Record<string, ConnectionTable>): void {
	const connections = new Gauge({
		name: 'sesametally_client_connections',
		help: 'Connections of clients, by listener.',
		labelNames: ['listener'],
		registers: [registry],
		collect() {
			for (const [listener, {size}] of Object.entries(listeners())) {
				connections.set({listener}, size);
			}
		},
	});
	const received = new Gauge({
		name: 'sesametally_client_received_bytes',
		help: 'Bytes of requests that have not been answered, by listener.',
		labelNames: ['listener'],
		registers: [registry],
		collect() {
			for (const [listener, {receivedBytes}] of Object.entries(listeners())) {
				received.set({listener}, receivedBytes);
			}
		},
	});
	const hits = new Gauge({
		name: 'sesametally_client_limit_hits',
		help: 'How often a limit on clients was met since the start, by listener and limit.',
		labelNames: ['listener', 'limit'],
		registers: [registry],
		collect() {
			for (const [listener, table] of Object.entries(listeners())) {
				for (const [limit, count] of Object.entries(table.hits)) {
					hits.set({listener, limit}, count);
				}
			}
		},
	});
}
