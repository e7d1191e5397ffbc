/**
 * Calls to one HTTP endpoint with opaque bodies, through `@hapi/wreck` and kept
 * connections. A call that ends without an answer closes its connection and the idle ones,
 * so that none that went silent is used again.
 */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {performance} from 'node:perf_hooks';
import Wreck from '@hapi/wreck';
import {TransportError} from './errors.js';

/** One call. */
export type RawCall = {
	method: 'GET' | 'POST' | 'DELETE';
	/** Path and query. */
	path: string;
	headers?: Record<string, string>;
	body?: Uint8Array;
	/** Time without a byte of the answer after which the call fails, in milliseconds. */
	timeoutMs: number;
	signal?: AbortSignal;
};

/** An answer of any status. */
export type RawAnswer = {statusCode: number; body: Uint8Array};

/** Kept idle connections of one client. */
const idleConnections = 4;
/** An idle connection is closed after this, in milliseconds. */
const idleMs = 10_000;

/** A client of one endpoint. */
export class RawClient {
	private readonly agent = new Agent({
		keepAlive: true, maxFreeSockets: idleConnections, timeout: idleMs, scheduling: 'lifo', noDelay: true,
	});

	/** @param baseUrl Such as `http://10.0.0.1:8080`. */
	constructor(private readonly baseUrl: string) {}

	/**
	 * Sends a call and reads the whole answer.
	 *
	 * @throws {TransportError} When there is no whole answer; the call may have been carried out.
	 */
	async call(call: RawCall): Promise<RawAnswer> {
		const {method, path, headers, body, timeoutMs, signal} = call;
		const what = `${method} ${path.split('?')[0]}`;
		const startedAtMs = performance.now();
		const pending = Wreck.request(method, this.baseUrl + path, {headers, payload: body && Buffer.from(body), agent: this.agent});
		const abort = () => {
			pending.req.destroy(new TransportError(`${what} aborted`));
		};

		const timer = setTimeout(abort, timeoutMs);
		signal?.addEventListener('abort', abort, {once: true});
		if (signal?.aborted) {
			abort();
		}

		try {
			const response = await pending;
			// An answer that keeps coming is not given up, however large it is.
			response.on('data', () => {
				timer.refresh();
			});
			const answer = await Wreck.read(response, {});
			return {statusCode: response.statusCode ?? 0, body: answer};
		} catch (error) {
			this.dropIdle();
			const connection = pending.req.reusedSocket ? 'a kept connection' : 'a new connection';
			throw new TransportError(`${what} got no answer on ${connection} in ${Math.round(performance.now() - startedAtMs)} ms`, {cause: error});
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', abort);
		}
	}

	/** Closes the idle connections: what ended one without an answer may have left the others silent, and each would cost a whole timeout. */
	private dropIdle(): void {
		for (const socket of Object.values(this.agent.freeSockets).flatMap(sockets => sockets ?? [])) {
			socket.destroy();
		}
	}
}
