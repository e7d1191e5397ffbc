/**
 * HTTP client of one endpoint with opaque bodies, based on `@hapi/wreck` with keep-alive
 * connections. A request that ends without a response closes its connection and all idle
 * connections, so that no unresponsive connection is reused.
 */
import {Buffer} from 'node:buffer';
import {Agent, type IncomingHttpHeaders} from 'node:http';
import {performance} from 'node:perf_hooks';
import Wreck from '@hapi/wreck';
import {TransportError} from './errors.js';
import {isBodyComplete, isFinalStatusLine, trackResets} from './response-integrity.js';

/** One request. */
export type RawRequest = {
	method: 'GET' | 'POST' | 'DELETE';
	/** Path with the query string. */
	path: string;
	headers?: Record<string, string>;
	body?: Uint8Array;
	/** Time without any byte of the response after which the request fails, in milliseconds. */
	timeoutMs: number;
	/** Longest response body, in bytes. */
	maxBytes?: number;
	signal?: AbortSignal;
};

/** A response of any status. */
export type RawResponse = {statusCode: number; headers: IncomingHttpHeaders; body: Uint8Array};

/** Longest response body where a request sets no other limit, in bytes. */
const defaultMaxBytes = 64 * 1024 * 1024;
/** Maximum number of idle connections that one client keeps open. */
const maxIdleConnections = 4;
/** Time after which an idle connection is closed, in milliseconds. */
const idleTimeoutMs = 10_000;

/** A client of one HTTP endpoint. */
export class RawClient {
	private readonly agent = new Agent({
		keepAlive: true, maxFreeSockets: maxIdleConnections, timeout: idleTimeoutMs, scheduling: 'lifo', noDelay: true,
	});

	/** @param baseUrl URL without a path, such as `http://10.0.0.1:8080`. */
	constructor(private readonly baseUrl: string) {}

	/**
	 * Sends a request and reads the whole response.
	 *
	 * @throws {TransportError} When no complete response arrives; the request may have been executed.
	 */
	async send(request: RawRequest): Promise<RawResponse> {
		const {method, path, headers, body, timeoutMs, maxBytes = defaultMaxBytes, signal} = request;
		const requestName = `${method} ${path.split('?')[0]}`;
		const startedAtMs = performance.now();
		const pending = Wreck.request(method, this.baseUrl + path, {headers, payload: body && Buffer.from(body), agent: this.agent});
		const abort = () => {
			pending.req.destroy(new TransportError(`${requestName} aborted`));
		};

		const timer = setTimeout(abort, timeoutMs);
		signal?.addEventListener('abort', abort, {once: true});
		if (signal?.aborted) {
			abort();
		}

		try {
			const response = await pending;
			trackResets(response.socket);
			if (!isFinalStatusLine(response)) {
				throw new TransportError(`${requestName} got an invalid status line`);
			}

			// A response of any size may take longer than the timeout as long as bytes keep arriving.
			response.on('data', () => {
				timer.refresh();
			});
			const responseBody = await Wreck.read(response, {maxBytes});
			if (!isBodyComplete(response)) {
				throw new TransportError(`${requestName} got an incomplete response`);
			}

			return {statusCode: response.statusCode ?? 0, headers: response.headers, body: responseBody};
		} catch (error) {
			pending.req.destroy();
			this.closeIdleConnections();
			const connection = pending.req.reusedSocket ? 'a reused connection' : 'a new connection';
			throw new TransportError(`${requestName} got no response on ${connection} in ${Math.round(performance.now() - startedAtMs)} ms`, {cause: error});
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', abort);
		}
	}

	/** Closes the idle connections: the cause of a missing response may have left the others unresponsive too, and each would cost a full timeout. */
	private closeIdleConnections(): void {
		for (const socket of Object.values(this.agent.freeSockets).flatMap(sockets => sockets ?? [])) {
			socket.destroy();
		}
	}
}
