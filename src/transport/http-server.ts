/**
 * Helpers for hapi servers: factories, header access, and the two diagnostics routes that
 * each process serves on an internal port, `/metrics` (prom-client) and `/debug/state`
 * (a JSON dump of its state).
 */
import {type Server} from 'node:http';
import process from 'node:process';
import Hapi from '@hapi/hapi';
import {type Registry} from 'prom-client';
import {type Listen} from '../protocol/settings.js';
import {refuseRequest} from './caller-responses.js';
import {LimitKind} from './connection-table.js';
import {TransportError} from './errors.js';
import {MalformedJsonError, parseJsonBody, TooManyValuesError} from './json-body.js';
import {connectionOf, type LimitedServer} from './limited-server.js';

/** Largest accepted request body, in bytes. */
const maxPayloadBytes = 8 * 1024 * 1024;

/** A function that returns the JSON-serialisable state of a process for `/debug/state`. */
export type StateReader = () => unknown;

/** Reads one request header as a string; of a repeated header, it returns the first value. */
export function headerValue(request: Hapi.Request, name: string): string | undefined {
	const value: unknown = request.headers[name];
	if (Array.isArray(value)) {
		return typeof value[0] === 'string' ? value[0] : undefined;
	}

	return typeof value === 'string' ? value : undefined;
}

/** Reads the bearer token from the authorization header; empty if there is none. */
export function bearerToken(request: Hapi.Request): string {
	return (headerValue(request, 'authorization') ?? '').replace(/^Bearer /v, '');
}

/** Reads the CPU and memory use of this process, for state dumps and the capacity benchmark. */
export function readProcessUsage(): {cpuUs: number; rssBytes: number; heapUsedBytes: number} {
	const cpu = process.cpuUsage();
	const memory = process.memoryUsage();
	return {cpuUs: cpu.user + cpu.system, rssBytes: memory.rss, heapUsedBytes: memory.heapUsed};
}

/** Creates a hapi server for the given address without starting it. */
export function createServer(listen: Listen): Hapi.Server {
	return keepSendingOnClose(Hapi.server({host: listen.host, port: listen.port, routes: {payload: {maxBytes: maxPayloadBytes}}}));
}

/** Creates a hapi server like {@link createServer} for clients that are not trusted, with a listener that has limits. It accepts JSON bodies only. */
export function createLimitedServer({host, port}: Listen, listener: LimitedServer): Hapi.Server {
	const server = Hapi.server({
		listener, host, port, routes: {payload: {maxBytes: maxPayloadBytes, parse: 'gunzip', allow: 'application/json'}},
	});
	server.ext('onPostAuth', (request, h) => {
		if (!(request.payload instanceof Uint8Array)) {
			return h.continue;
		}

		try {
			Object.assign(request, {payload: parseJsonBody(request.payload)});
			return h.continue;
		} catch (error) {
			if (error instanceof MalformedJsonError) {
				return refuseRequest(h, {status: 400, message: 'The body is not valid JSON.', code: 'invalid_json'}).takeover();
			}

			if (error instanceof TooManyValuesError) {
				listener.connectionTable.hits[LimitKind.Values]++;
				return refuseRequest(h, {status: 413, message: `The body has ${error.message}.`, code: 'too_many_values'}).takeover();
			}

			throw error;
		}
	});
	server.ext('onPreHandler', ({raw}, h) => {
		connectionOf(raw.req).noteServed(raw.req);
		return h.continue;
	});
	return keepSendingOnClose(server);
}

function keepSendingOnClose(server: Hapi.Server): Hapi.Server {
	// On close, Node.js would also close connections whose response has ended but is still being sent; hapi closes the idle ones itself.
	server.listener.closeIdleConnections = () => undefined;
	return server;
}

/** Creates a hapi server that handles the requests of a port that is already listening. */
export function createServerFromListener(listener: Server): Hapi.Server {
	return Hapi.server({listener, autoListen: false});
}

/** Explains the request that the parameters of a URL describe; throws a RangeError when they are malformed. */
export type RequestReader = (parameters: URLSearchParams) => unknown;

/** Adds `/metrics` and `/debug/state` to a server on an internal port, and `/debug/explain` where requests can be explained. */
export function addDiagnosticsRoutes(server: Hapi.Server, registry: Registry, readState: StateReader, explain?: RequestReader): void {
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
		handler: () => ({process: readProcessUsage(), state: readState()}),
	});
	if (explain) {
		server.route({
			method: 'GET',
			path: '/debug/explain',
			handler(request, h) {
				try {
					return h.response(explain(request.url.searchParams) as Record<string, unknown>);
				} catch (error) {
					if (error instanceof RangeError) {
						return h.response({error: error.message}).code(400);
					}

					throw error;
				}
			},
		});
	}
}

/** Creates the server of a stand-in with the routes `/metrics` and `/debug/state`. */
export function createServerWithDiagnostics(listen: Listen, registry: Registry, readState: StateReader): Hapi.Server {
	const server = createServer(listen);
	addDiagnosticsRoutes(server, registry, readState);
	return server;
}

/**
 * Starts a server.
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
