/**
 * Keep-alive connections to backend servers, and requests over them. A connection is kept
 * open only while its state is certain: bytes that arrive while no request is waiting, a
 * response to another request, or an incomplete response close it.
 */
import {
	type Agent, type ClientRequest, type IncomingMessage, request as startRequest,
} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {finished} from 'node:stream';
import {type Backend} from '../protocol/serving.js';
import {AnswerMemory} from './answer-memory.js';
import {BackendAgent, BackendSocket} from './backend-socket.js';
import {ConnectError, TransportError} from './errors.js';
import {BodyPieces} from './body-pieces.js';
import {ReceivedBody} from './received-body.js';
import {
	isBodyComplete, isEndedByClose, isFinalStatusLine, isReset, trackResets,
} from './response-integrity.js';

/** Longest time that an idle connection is kept, in milliseconds; a backend server may state a shorter one. */
const maxIdleMs = 4000;
/** Idle time allowed on a connection whose backend server stated no timeout, in milliseconds; such a server may close it within the first second. */
const defaultIdleMs = 400;
/** Share of the stated idle timeout that is used, so that a request isn't sent while the backend server closes the connection. */
const idleTimeoutShare = 0.6;
/** Idle time up to which a connection is reused for non-retryable requests while reuse is restricted, in milliseconds; beyond it they get a new connection. A reset of a reused connection would leave it unknown whether such a request ran. */
const nonRetryableIdleMs = 100;
/** Time for which reuse is restricted after a reused connection was reset, in milliseconds. */
const reuseRestrictionMs = 60_000;
/** Most bytes until the end of a response's head, with all interim responses before it. Node.js limits single heads only. */
const maxHeadBytes = 65_536;
/** Most interim responses to one request. */
const maxInterimResponses = 16;
/** Longest rest of a response, in bytes, that is read so that the connection can be reused, and the longest time for it, in milliseconds. */
const maxDiscardedBytes = 16_384;
const discardTimeoutMs = 500;
/** Longest request body, in bytes, that is sent at once, without waiting for acknowledgements (RFC 6928); a longer one may still be on its way as its response ends. */
const initialWindowBytes = 14_600;
/** Time after the end of a response's connection in which a reset shows that the backend server had not read a longer body, in milliseconds: ten round trips between failure domains. */
const unreadResetMs = 50;
/** Time without traffic before the first TCP keep-alive probe, in milliseconds. */
const keepAliveProbeDelayMs = 1000;

/** Determines from a Keep-Alive header how long a connection may stay idle, in milliseconds. */
function readIdleTimeoutMs(value: string | string[] | undefined): number {
	const seconds = /timeout=(\d+)/v.exec(String(value ?? ''))?.[1];
	return seconds === undefined ? defaultIdleMs : Math.min(maxIdleMs, Number(seconds) * 1000 * idleTimeoutShare);
}

/** Closes an idle connection on which bytes arrive, since they belong to no request. */
const destroyOnData = function (this: Socket): void {
	this.destroy();
};

/** The keep-alive connections to all backend servers. */
export class BackendConnectionPool extends BackendAgent {
	/** The memory for the responses that are being read. */
	readonly memory = new AnswerMemory();
	/** Opens a new connection for each request that may not reuse one. */
	readonly singleUseAgent = new BackendAgent({keepAlive: false, noDelay: true});
	private readonly idleTimeoutsMs = new WeakMap<Socket, number>();
	private readonly idleTimers = new WeakMap<Socket, NodeJS.Timeout>();
	private readonly idleSinceMs = new WeakMap<Socket, number>();
	private reuseRestrictedUntilMs = Number.NEGATIVE_INFINITY;

	constructor() {
		super({
			keepAlive: true, keepAliveMsecs: keepAliveProbeDelayMs, maxFreeSockets: 64, scheduling: 'lifo', noDelay: true,
		});
	}

	/** Records that a reused connection failed under a request, and restricts reuse for a while. */
	recordReuseFailure(nowMs: number): void {
		this.reuseRestrictedUntilMs = nowMs + reuseRestrictionMs;
	}

	/** Selects the agent for a request: this pool, or one that opens a new connection if the request is not retryable and reuse is restricted. */
	selectAgent(backend: Pick<Backend, 'host' | 'port'>, isRetryable: boolean, nowMs: number): Agent {
		if (isRetryable || nowMs >= this.reuseRestrictedUntilMs) {
			return this;
		}

		// The pool reuses the most recently used connection first.
		const lastUsedSocket = this.freeSockets[this.getName({host: backend.host, port: backend.port})]?.at(-1);
		const canReuse = !lastUsedSocket || nowMs - (this.idleSinceMs.get(lastUsedSocket) ?? nowMs) <= nonRetryableIdleMs;
		return canReuse ? this : this.singleUseAgent;
	}

	/** Closes the idle connections to a backend server. */
	closeIdle(backend: Pick<Backend, 'host' | 'port'>): void {
		for (const socket of this.freeSockets[this.getName({host: backend.host, port: backend.port})] ?? []) {
			socket.destroy();
		}
	}

	override destroy(): void {
		this.singleUseAgent.destroy();
		super.destroy();
	}

	/** Records how long the backend server keeps the connection of this response open. */
	recordIdleTimeout(response: IncomingMessage): void {
		this.idleTimeoutsMs.set(response.socket, readIdleTimeoutMs(response.headers['keep-alive']));
	}

	/** Called by the agent when a response has ended; decides whether the connection is kept. */
	// eslint-disable-next-line @typescript-eslint/strict-void-return -- the agent closes the connection unless true is returned; the types say void.
	override keepSocketAlive(socket: Socket): boolean {
		socket.setKeepAlive(true, keepAliveProbeDelayMs);
		if (socket instanceof BackendSocket) {
			// An idle connection that the backend server closes must not be used again.
			socket.endDelayMs = 0;
			if (socket.hasReceivedEnd) {
				return false;
			}
		}

		// An idle connection must not keep a stopping process alive.
		socket.unref();
		socket.on('data', destroyOnData);
		this.idleSinceMs.set(socket, performance.now());
		const idleTimeoutMs = this.idleTimeoutsMs.get(socket) ?? defaultIdleMs;
		if (idleTimeoutMs <= 0) {
			return false;
		}

		const timer = setTimeout(() => {
			socket.destroy();
		}, idleTimeoutMs);
		timer.unref();
		this.idleTimers.set(socket, timer);
		return true;
	}

	/** Called by the agent before an idle connection sends its next request. */
	override reuseSocket(socket: Socket, request: ClientRequest): void {
		clearTimeout(this.idleTimers.get(socket));
		socket.off('data', destroyOnData);
		super.reuseSocket(socket, request);
	}
}

/** One request to one backend server. */
export type BackendRequest = {
	backend: Pick<Backend, 'id' | 'host' | 'port'>;
	method: string;
	path: string;
	/** Alternating names and values. */
	headers: string[];
	body: Uint8Array | undefined;
	/** Whether the request may be sent again after a failure that leaves it unknown whether it ran. */
	isRetryable: boolean;
	/** Whether it must not be sent on a connection that has been used before. */
	requiresNewConnection?: boolean;
	/** Connect timeout, in milliseconds. */
	connectTimeoutMs: number;
	/** Called when a new connection has been opened for the request. */
	onConnect?: () => void;
	/** Called before the bytes of the request are sent. */
	onDelivery?: () => void;
	/** Closes the connection when it aborts. */
	signal: AbortSignal;
};

/** Closes a connection that sends more than {@link maxHeadBytes} or {@link maxInterimResponses} before the head of the response is complete. */
function limitHead(request: ClientRequest, socket: Socket, backendId: string): void {
	const firstByte = socket.bytesRead;
	let isComplete = false;
	const checkLength = () => {
		if (!isComplete && socket.bytesRead - firstByte > maxHeadBytes) {
			request.destroy(new TransportError(`${backendId} sent ${maxHeadBytes} bytes without a response`));
		}
	};

	const stop = () => {
		isComplete = true;
		socket.off('data', checkLength);
	};

	let interimResponses = 0;
	request.on('information', () => {
		if (++interimResponses === maxInterimResponses) {
			request.destroy(new TransportError(`${backendId} sent ${maxInterimResponses} interim responses`));
		}
	});
	socket.on('data', checkLength);
	request.once('response', stop);
	request.once('close', stop);
}

/** A response whose body has not been read yet. */
export class BackendResponse {
	constructor(
		readonly response: IncomingMessage,
		private readonly request: ClientRequest,
		private readonly memory = new AnswerMemory(),
	) {
		trackResets(response.socket);
	}

	get status(): number {
		return this.response.statusCode ?? 0;
	}

	/** Whether the connection had carried another request before. */
	get isConnectionReused(): boolean {
		return this.request.reusedSocket;
	}

	/** Whether the body is complete; valid only after its end. */
	get isComplete(): boolean {
		return isBodyComplete(this.response);
	}

	/** Whether its connection was reset. */
	get isReset(): boolean {
		return isReset(this.response);
	}

	/** Whether only the end of its connection ends the body. */
	get isEndedByClose(): boolean {
		return this.request.method !== 'HEAD' && isEndedByClose(this.response);
	}

	/** Changes the number of bytes of the body that are kept, unless that takes more than what is left for all answers. */
	tryKeep(fromBytes: number, toBytes: number): boolean {
		return this.memory.tryResize(fromBytes, toBytes);
	}

	/** Closes the connection. */
	destroy(): void {
		this.request.destroy();
	}

	/** Discards the rest of the body, and closes the connection unless the body ends soon. */
	discard(): void {
		let length = 0;
		const timer = setTimeout(() => {
			this.destroy();
		}, discardTimeoutMs);
		timer.unref();
		this.response.once('close', () => {
			clearTimeout(timer);
		});
		this.response.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length > maxDiscardedBytes) {
				this.destroy();
			}
		});
	}

	/**
	 * Reads the whole body.
	 *
	 * @throws {TransportError} When the body is incomplete, longer than `maxBytes`, or too long beside the other bodies that are being read.
	 */
	async read(maxBytes: number): Promise<Uint8Array> {
		const length = this.response.headers['content-length'];
		const body = new ReceivedBody(length === undefined ? undefined : Number(length));
		try {
			await this.readInto(body, maxBytes);
		} catch (error) {
			this.destroy();
			throw error instanceof TransportError ? error : new TransportError('response body is incomplete', {cause: error});
		} finally {
			this.memory.release(body.length);
		}

		if (!this.isComplete) {
			throw new TransportError('response body is incomplete');
		}

		return body.take();
	}

	private async readInto(body: ReceivedBody, maxBytes: number): Promise<void> {
		const pieces = new BodyPieces();
		return new Promise((resolve, reject) => {
			const readPiece = (piece: Uint8Array) => {
				pieces.add(piece, this.response.socket.bytesRead);
				if (pieces.bytes > maxBytes || pieces.areTooSmall) {
					fail(`response body is longer than ${maxBytes} bytes, or in too small pieces`);
				} else if (this.memory.tryResize(body.length, pieces.bytes)) {
					body.append(piece);
				} else {
					fail(`no memory for a response body of ${pieces.bytes} bytes`);
				}
			};

			const fail = (reason: string) => {
				this.response.off('data', readPiece);
				reject(new TransportError(reason));
			};

			this.response.on('data', readPiece);
			finished(this.response, {writable: false}, error => {
				if (error) {
					reject(error);
				} else {
					resolve();
				}
			});
		});
	}
}

/**
 * Sends a request and waits for the status and headers of the response.
 *
 * @throws {ConnectError} When no connection could be opened; nothing was sent.
 * @throws {TransportError} When the connection failed, the status line is invalid, or the signal aborted; the request may have run.
 */
export async function sendBackendRequest(pool: BackendConnectionPool, options: BackendRequest): Promise<BackendResponse> {
	const {
		backend, method, path, headers, body, isRetryable, requiresNewConnection = false, connectTimeoutMs, onConnect, onDelivery, signal,
	} = options;
	signal.throwIfAborted();
	const hasBody = body !== undefined && (body.length > 0 || (method !== 'GET' && method !== 'HEAD'));
	const request = startRequest({
		agent: requiresNewConnection ? pool.singleUseAgent : pool.selectAgent(backend, isRetryable, performance.now()), host: backend.host, port: backend.port, method, path, setHost: false,
		headers: hasBody ? [...headers, 'Content-Length', String(body.length)] : headers,
	});
	let isConnected = false;
	const abort = () => {
		request.destroy(new TransportError('request aborted'));
	};

	signal.addEventListener('abort', abort, {once: true});
	request.once('close', () => {
		signal.removeEventListener('abort', abort);
	});
	request.once('socket', socket => {
		limitHead(request, socket, backend.id);
		if (socket instanceof BackendSocket) {
			socket.endDelayMs = body !== undefined && body.length > initialWindowBytes ? unreadResetMs : 0;
		}

		// A connection may fail at once, for want of a route or a local port; nothing is sent on it.
		if (socket.destroyed) {
			return;
		}

		if (!socket.connecting) {
			isConnected = true;
			onDelivery?.();
			return;
		}

		const timer = setTimeout(() => {
			request.destroy(new ConnectError(`${backend.host}:${backend.port} did not accept a connection in ${connectTimeoutMs} ms`));
		}, connectTimeoutMs);
		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(timer);
			onConnect?.();
			onDelivery?.();
		});
		socket.once('close', () => {
			clearTimeout(timer);
		});
	});
	return new Promise((resolve, reject) => {
		// A response that switches protocols is closed without an error.
		request.once('close', () => {
			reject(new TransportError(`${backend.id} closed the connection without a response`));
		});
		request.once('response', response => {
			if (!isFinalStatusLine(response)) {
				reject(new TransportError(`${backend.id} sent an invalid status line`));
				request.destroy();
				return;
			}

			pool.recordIdleTimeout(response);
			resolve(new BackendResponse(response, request, pool.memory));
		});
		request.on('error', error => {
			if (request.reusedSocket && !signal.aborted) {
				pool.recordReuseFailure(performance.now());
			}

			if (isConnected) {
				reject(new TransportError(`${backend.id} sent no response`, {cause: error}));
			} else {
				reject(new ConnectError(`cannot connect to ${backend.id}`, {cause: error}));
			}
		});
		request.end(hasBody ? body : undefined);
	});
}
