/**
 * Connections to backend servers and single exchanges over them. A connection is kept only
 * while nothing is in doubt about it: bytes that arrive while no request waits, an answer
 * of another request or a broken one close it.
 */
import {Buffer} from 'node:buffer';
import {
	Agent, type ClientRequest, type IncomingMessage, request as startRequest,
} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {type Backend} from '../protocol/serving.js';
import {ConnectError, TransportError} from './errors.js';

/** An idle connection is closed after this, in milliseconds, if the backend server names no earlier time. */
const idleMs = 4000;
/** Idle time allowed on a connection whose backend server named no time, in milliseconds: it may close within its first second. */
const unstatedIdleMs = 400;
/** Share of the stated idle time that is used, so that a request doesn't cross the close. */
const idleShare = 0.6;
/** After a kept connection turned out to be dropped, requests that may run only once are sent on connections this young, in milliseconds, or new ones: a reset then leaves open whether they ran. */
const trustedIdleMs = 100;
/** ... for this long, in milliseconds. */
const distrustMs = 60_000;
/** First probe of a silent connection, in milliseconds. */
const keepAliveProbeMs = 1000;

/** Reads the idle time from a Keep-Alive header, in milliseconds. */
function statedIdleMs(value: string | string[] | undefined): number {
	const seconds = /timeout=(\d+)/v.exec(String(value ?? ''))?.[1];
	return seconds === undefined ? unstatedIdleMs : Math.min(idleMs, Number(seconds) * 1000 * idleShare);
}

/** Closes an idle connection on which bytes arrive. */
const destroyOnData = function (this: Socket): void {
	this.destroy();
};

/** The kept connections to all backend servers. */
export class BackendPool extends Agent {
	private readonly idleLimits = new WeakMap<Socket, number>();
	private readonly idleTimers = new WeakMap<Socket, NodeJS.Timeout>();
	private readonly idleSinceMs = new WeakMap<Socket, number>();
	private distrustedUntilMs = Number.NEGATIVE_INFINITY;
	/** Opens a connection for each request that no kept one is trusted with. */
	private readonly single = new Agent({keepAlive: false, noDelay: true});

	constructor() {
		super({
			keepAlive: true, keepAliveMsecs: keepAliveProbeMs, maxFreeSockets: 64, scheduling: 'lifo', noDelay: true,
		});
	}

	/** Notes that a kept connection was reset by the request sent on it. */
	noteDropped(nowMs: number): void {
		this.distrustedUntilMs = nowMs + distrustMs;
	}

	/** The agent that should send a request: this pool, unless its kept connections are not trusted with it. */
	agentFor(backend: Backend, isRepeatable: boolean, nowMs: number): Agent {
		if (isRepeatable || nowMs >= this.distrustedUntilMs) {
			return this;
		}

		// The next request takes the connection that was used last.
		const last = this.freeSockets[this.getName({host: backend.host, port: backend.port})]?.at(-1);
		const isTrusted = !last || nowMs - (this.idleSinceMs.get(last) ?? nowMs) <= trustedIdleMs;
		return isTrusted ? this : this.single;
	}

	override destroy(): void {
		this.single.destroy();
		super.destroy();
	}

	/** Notes how long the backend server keeps this connection. */
	noteAnswer(response: IncomingMessage): void {
		this.idleLimits.set(response.socket, statedIdleMs(response.headers['keep-alive']));
	}

	/** Called by the agent when an exchange is over. */
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- the agent closes the connection unless true is returned; the types say void.
	override keepSocketAlive(socket: Socket): boolean {
		socket.setKeepAlive(true, keepAliveProbeMs);
		// An idle connection must not keep a stopping process alive.
		socket.unref();
		// Bytes on an idle connection belong to no request.
		socket.on('data', destroyOnData);
		this.idleSinceMs.set(socket, performance.now());
		const limitMs = this.idleLimits.get(socket) ?? unstatedIdleMs;
		if (limitMs <= 0) {
			return false;
		}

		const timer = setTimeout(() => {
			socket.destroy();
		}, limitMs);
		timer.unref();
		this.idleTimers.set(socket, timer);
		return true;
	}

	/** Called by the agent when an idle connection gets its next request. */
	override reuseSocket(socket: Socket, request: ClientRequest): void {
		clearTimeout(this.idleTimers.get(socket));
		socket.off('data', destroyOnData);
		super.reuseSocket(socket, request);
	}
}

/** One request for one backend server. */
export type Exchange = {
	backend: Backend;
	method: string;
	path: string;
	/** Names and values by turns. */
	headers: string[];
	body: Uint8Array | undefined;
	/** Whether it may be sent again after a failure that leaves open whether it ran. */
	isRepeatable: boolean;
	/** Time for a new connection to open, in milliseconds. */
	connectMs: number;
	/** Aborting it closes the connection. */
	signal: AbortSignal;
};

const watchedSockets = new WeakSet<Socket>();
const brokenSockets = new WeakSet<Socket>();

/**
 * Notes a connection's reset before node sees it, since node takes one for the end of a
 * body that has no length. A reset that comes together with the last bytes is even reported
 * as a plain end; it shows in that the connection has no peer any more.
 */
function watchForErrors(socket: Socket): void {
	if (watchedSockets.has(socket)) {
		return;
	}

	watchedSockets.add(socket);
	socket.prependOnceListener('error', () => {
		brokenSockets.add(socket);
	});
	socket.prependOnceListener('end', () => {
		if (socket.remoteAddress === undefined) {
			brokenSockets.add(socket);
		}
	});
}

/** An answer whose body is still to be read. */
export class BackendAnswer {
	constructor(
		readonly response: IncomingMessage,
		private readonly request: ClientRequest,
	) {
		watchForErrors(response.socket);
	}

	get status(): number {
		return this.response.statusCode ?? 0;
	}

	/** Whether the body came whole; meaningful once it ended. */
	get isWhole(): boolean {
		return this.response.complete && !brokenSockets.has(this.response.socket);
	}

	/** Closes the connection. */
	destroy(): void {
		this.request.destroy();
	}

	/**
	 * Reads the whole body.
	 *
	 * @throws {TransportError} When it breaks off or is longer than `mostBytes`.
	 */
	async read(mostBytes: number): Promise<Uint8Array> {
		const chunks: Uint8Array[] = [];
		let length = 0;
		try {
			for await (const chunk of this.response as AsyncIterable<Uint8Array>) {
				chunks.push(chunk);
				length += chunk.length;
				if (length > mostBytes) {
					throw new TransportError(`answer is longer than ${mostBytes} bytes`);
				}
			}
		} catch (error) {
			this.destroy();
			throw error instanceof TransportError ? error : new TransportError('answer broke off', {cause: error});
		}

		if (!this.isWhole) {
			throw new TransportError('answer broke off');
		}

		return Buffer.concat(chunks);
	}
}

/**
 * Sends a request and waits for the head of its answer.
 *
 * @throws {ConnectError} When no connection opened: nothing was sent.
 * @throws {TransportError} When the connection broke or the signal aborted: it may have run.
 */
export async function exchange(pool: BackendPool, options: Exchange): Promise<BackendAnswer> {
	const {
		backend, method, path, headers, body, isRepeatable, connectMs, signal,
	} = options;
	signal.throwIfAborted();
	const hasBody = body !== undefined && (body.length > 0 || (method !== 'GET' && method !== 'HEAD'));
	const request = startRequest({
		agent: pool.agentFor(backend, isRepeatable, performance.now()), host: backend.host, port: backend.port, method, path, setHost: false,
		headers: hasBody ? [...headers, 'Content-Length', String(body.length)] : headers,
	});
	let isConnected = false;
	const abort = () => {
		request.destroy(new TransportError('aborted'));
	};

	signal.addEventListener('abort', abort, {once: true});
	request.once('close', () => {
		signal.removeEventListener('abort', abort);
	});
	request.once('socket', socket => {
		if (!socket.connecting) {
			isConnected = true;
			return;
		}

		const timer = setTimeout(() => {
			request.destroy(new ConnectError(`${backend.host}:${backend.port} did not accept a connection in ${connectMs} ms`));
		}, connectMs);
		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(timer);
		});
		socket.once('close', () => {
			clearTimeout(timer);
		});
	});
	return new Promise((resolve, reject) => {
		request.once('response', response => {
			pool.noteAnswer(response);
			resolve(new BackendAnswer(response, request));
		});
		request.on('error', error => {
			if (request.reusedSocket && !signal.aborted) {
				pool.noteDropped(performance.now());
			}

			if (isConnected) {
				reject(new TransportError(`${backend.id} gave no answer`, {cause: error}));
			} else {
				reject(new ConnectError(`${backend.id} could not be connected to`, {cause: error}));
			}
		});
		request.end(hasBody ? body : undefined);
	});
}
