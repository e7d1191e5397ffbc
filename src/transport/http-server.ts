/**
 * The hapi servers every process runs: a factory, and the two routes each process has on
 * a port that callers do not reach, `/metrics` (prom-client) and `/debug/state` (a JSON
 * dump of its state).
 */
import {type Server} from 'node:http';
import process from 'node:process';
import Hapi from '@hapi/hapi';
import {type Registry} from 'prom-client';
import {type Listen} from '../protocol/settings.js';
import {TransportError} from './errors.js';

/** Largest request body taken. */
const maxPayloadBytes = 8 * 1024 * 1024;

/** Produces the JSON-serialisable state of a process for `/debug/state`. */
export type StateDump = () => unknown;

/** Reads one request header as a string; a repeated header gives its first value. */
export function headerValue(request: Hapi.Request, name: string): string | undefined {
	const value: unknown = request.headers[name];
	if (Array.isArray(value)) {
		return typeof value[0] === 'string' ? value[0] : undefined;
	}

	return typeof value === 'string' ? value : undefined;
}

/** Reads a bearer token from the authorization header. */
export function bearerToken(request: Hapi.Request): string {
	return (headerValue(request, 'authorization') ?? '').replace(/^Bearer /v, '');
}

/** Reads CPU and memory use of this process, for dumps and the capacity bench. */
export function readProcessUsage(): {cpuUs: number; rssBytes: number; heapUsedBytes: number} {
	const cpu = process.cpuUsage();
	const memory = process.memoryUsage();
	return {cpuUs: cpu.user + cpu.system, rssBytes: memory.rss, heapUsedBytes: memory.heapUsed};
}

/** Creates a hapi server on the given address; it is not started. */
export function createServer(listen: Listen): Hapi.Server {
	return Hapi.server({
		host: listen.host,
		port: listen.port,
		routes: {payload: {maxBytes: maxPayloadBytes}},
	});
}

/** Creates a hapi server that answers what comes to a port that is open already. */
export function createServerAt(listener: Server): Hapi.Server {
	return Hapi.server({listener, autoListen: false});
}

/** Adds `/metrics` and `/debug/state` to a server that callers do not reach. */
export function addObservationRoutes(server: Hapi.Server, registry: Registry, dump: StateDump): void {
	server.route({
		method: 'GET',
		path: '/metrics',
		async handler(_request, h) {
			return h.response(await registry.metrics()).type(registry.contentType);
		},
	});
	server.route({
		method: 'GET',
		path: '/debug/state',
		handler: () => ({process: readProcessUsage(), state: dump()}),
	});
}

/** Creates the server of a stand-in, with `/metrics` and `/debug/state`. */
export function createObservedServer(listen: Listen, registry: Registry, dump: StateDump): Hapi.Server {
	const server = createServer(listen);
	addObservationRoutes(server, registry, dump);
	return server;
}

/**
 * Starts a server, wrapping a bind failure.
 *
 * @throws {TransportError} When the address cannot be bound.
 */
export async function startServer(server: Hapi.Server): Promise<void> {
	try {
		await server.start();
	} catch (error) {
		throw new TransportError(`cannot listen on ${server.settings.host ?? ''}:${server.settings.port ?? ''}`, {cause: error});
	}
}
