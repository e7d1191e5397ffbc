/**
 * Stand-in for a plain backend service whose calls must not be repeated. It counts
 * executions per idempotency key, so that tests can check that each call is executed at most
 * once. A fault switch drops the connection after the call was executed.
 *
 * - `POST /v1/{call}` with header `idempotency-key`: 200 `{call, key, executions, by}`, where `by` is the stand-in's id.
 * - `GET /executions`: `{[key]: count}`.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	createServerWithDiagnostics, headerValue, startServer,
} from '../transport/http-server.js';
import {createMetricsRegistry} from '../transport/metrics-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {type ServiceStandinSettings} from './settings.js';
import {addFaultRoutes} from './faults.js';

const log = createLogger('standin-service');

/** Fault switches of the service stand-in. */
type ServiceFaults = {
	/** Calls are executed, but the connection is dropped before the answer. */
	loseAnswers?: boolean;
	/** Calls are refused with 503 and not executed. */
	refuse?: boolean;
};

/**
 * Runs the plain service stand-in until the signal aborts.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runServiceStandin(settings: ServiceStandinSettings, signal: AbortSignal): Promise<void> {
	const executions = new Map<string, number>();
	const faults: ServiceFaults = {};
	const server = createServerWithDiagnostics(settings.listen, createMetricsRegistry(), () => ({id: settings.id, executions: Object.fromEntries(executions), faults}));
	addFaultRoutes(server, faults);
	server.route({
		method: 'POST',
		path: '/v1/{call}',
		async handler(request, h) {
			if (faults.refuse) {
				return h.response({error: 'refused', executed: false}).code(503);
			}

			const key = headerValue(request, 'idempotency-key') ?? 'none';
			await delay(settings.latencyMs);
			const count = (executions.get(key) ?? 0) + 1;
			executions.set(key, count);
			if (faults.loseAnswers) {
				request.raw.req.socket.destroy();
				return h.abandon;
			}

			return {
				call: request.params.call, key, executions: count, by: settings.id,
			};
		},
	});
	server.route({method: 'GET', path: '/executions', handler: () => Object.fromEntries(executions)});
	await startServer(server);
	log.info('listening.', {id: settings.id, port: server.info.port});
	await waitForAbort(signal);
	await server.stop({timeout: 1000});
}
