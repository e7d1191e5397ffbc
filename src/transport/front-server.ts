/**
 * The client-facing HTTP/1.1 server. Parsing is strict, since a request with ambiguous
 * framing could smuggle in another one. Bodies are buffered whole before a request is
 * handled, so that it can be sent to a backend server more than once. The server uses
 * `node:http` rather than hapi, since it routes nothing and needs control of connections.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {finished} from 'node:stream';
import {type ClientLimits} from '../protocol/serving.js';
import {type Listen} from '../protocol/settings.js';
import {createLogger} from '../log.js';
import {type ClientConnection} from './client-connection.js';
import {clientListenerLimits, type ConnectionLimits, defaultMachineLimits} from './connection-limits.js';
import {type ConnectionTable} from './connection-table.js';
import {TransportError} from './errors.js';
import {connectionOf, LimitedServer} from './limited-server.js';
import {nextPoll} from './next-poll.js';
import {ReceivedBody} from './received-body.js';

const log = createLogger('front');

/** Largest request head that the parser accepts, in bytes; the configured limit is checked after parsing. */
const maxParsedHeaderBytes = 65_536;
/** Interval at which Node.js checks connections for exceeded timeouts, in milliseconds. */
const timeoutCheckIntervalMs = 1000;
/** Time by which the server keeps an idle connection beyond the configured timeout, in milliseconds, so that clients stop reusing it before the server closes it. */
const keepAliveMarginMs = 1000;
/** Length of an unread answer from which on it is checked at once how much all clients leave unread, in bytes. */
const checkedUnreadBytes = 65_536;
/** Retry-After of a request that was refused while it was being received, in seconds; short, since the client's next connection may reach another daemon. */
const receivingRetryAfterSeconds = '0.25';
/** Retry-After of a stopping daemon, in seconds; short, since the client's next connection reaches another daemon. */
const stoppingRetryAfterSeconds = '0.05';
const defaultLimits: ClientLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** A request with its whole body. */
export type FrontRequest = {
	method: string;
	path: string;
	rawHeaders: string[];
	body: Uint8Array;
	response: ServerResponse;
	/** Aborts when the connection closes before the response is written; the reason is a {@link ConnectionCutError} if the server has closed it, and a {@link RequestEndedError} if the handler is to write a response at once. */
	signal: AbortSignal;
};

/** Handles one request and writes its response. */
export type FrontHandler = (request: FrontRequest) => Promise<void>;

/** A request was rejected before it reached the handler; the message becomes the reason in the response. */
class RejectedRequestError extends TransportError {
	constructor(readonly statusCode: number, message: string, readonly headers: Record<string, string> = {}) {
		super(message);
	}
}

/** The server has closed a connection with an open response. */
export class ConnectionCutError extends TransportError {}

/** The server ends a request whose client still waits for the response. */
export class RequestEndedError extends TransportError {}

/**
 * Checks a request's framing, header size and stated body length.
 *
 * @throws {RejectedRequestError} When one of them is not acceptable.
 */
function validateHead(request: IncomingMessage, limits: ClientLimits): void {
	const {rawHeaders, headers} = request;
	let headerBytes = 0;
	let lengthHeaders = 0;
	let encodingHeaders = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		headerBytes += rawHeaders[index].length + rawHeaders[index + 1].length + 4;
		const name = rawHeaders[index].toLowerCase();
		lengthHeaders += name === 'content-length' ? 1 : 0;
		encodingHeaders += name === 'transfer-encoding' ? 1 : 0;
	}

	if (lengthHeaders + encodingHeaders > 1) {
		throw new RejectedRequestError(400, 'more than one length');
	}

	if (encodingHeaders === 1 && headers['transfer-encoding']!.toLowerCase() !== 'chunked') {
		throw new RejectedRequestError(400, 'unknown transfer encoding');
	}

	if (headerBytes > limits.headerBytes) {
		throw new RejectedRequestError(431, 'headers too long');
	}

	if (Number(headers['content-length'] ?? 0) > limits.bodyBytes) {
		throw new RejectedRequestError(413, 'body too long');
	}
}

/** Writes an error response of the daemon itself, or closes the connection if a response has begun. */
export function writeErrorResponse(response: ServerResponse, status: number, reason: string, headers: Record<string, string> = {}): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const body = JSON.stringify({error: reason});
	response.writeHead(status, {...headers, 'Content-Type': 'application/json', 'Content-Length': String(Buffer.byteLength(body))});
	response.end(body);
}

/** The client-facing HTTP server of a serving daemon. */
export class FrontServer {
	private readonly clients = new Set<ClientConnection>();
	/** The responses of the requests that the handler is serving, by what aborts the request. */
	private readonly handledRequests = new Map<AbortController, ServerResponse>();
	private readonly server: LimitedServer;
	private readonly connectionLimits: ConnectionLimits;
	private limits = defaultLimits;
	private isStopping = false;
	private isClosed = false;
	private isDestroyed = false;

	/** @param accepts Returns whether a connection that has just been opened is accepted; otherwise it is closed with nothing read. */
	constructor(private readonly handler: FrontHandler, accepts: () => boolean = () => true, connectionLimits = clientListenerLimits(defaultMachineLimits)) {
		this.connectionLimits = {...connectionLimits};
		this.server = new LimitedServer(this.connectionLimits, {
			maxHeaderSize: maxParsedHeaderBytes, connectionsCheckingInterval: timeoutCheckIntervalMs, noDelay: true, requireHostHeader: false,
		}, (request, response) => {
			void this.handleRequest(request, response);
		});
		// On close, Node.js would also close connections whose response has ended but is still being sent.
		this.server.closeIdleConnections = () => undefined;
		this.server.prependListener('connection', connection => {
			if (!accepts()) {
				connection.destroy();
			}
		});
		this.server.on('connection', socket => {
			if (socket.destroyed) {
				return;
			}

			const connection = socket as unknown as ClientConnection;
			this.clients.add(connection);
			connection.once('close', () => {
				this.clients.delete(connection);
			});
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.rejectConnection(error, socket as unknown as ClientConnection);
		});
		this.setLimits(defaultLimits);
	}

	/** The connections of clients, and how often their limits were met. */
	get connections(): ConnectionTable {
		return this.server.connectionTable;
	}

	get openConnections(): number {
		return this.clients.size;
	}

	/** Number of requests whose response has not ended yet. */
	get openRequests(): number {
		let total = 0;
		for (const {openRequests} of this.clients) {
			total += openRequests;
		}

		return total;
	}

	/** Applies new limits, also to open connections. */
	setLimits(limits: ClientLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headerTimeoutMs;
		this.server.requestTimeout = limits.idleTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
		if (Number.isFinite(this.connectionLimits.unreadTimeoutMs)) {
			this.connectionLimits.unreadTimeoutMs = limits.idleTimeoutMs;
		}
	}

	/**
	 * Starts to listen.
	 *
	 * @throws {TransportError} When the address cannot be bound.
	 */
	async listen(address: Listen): Promise<void> {
		return new Promise((resolve, reject) => {
			this.server.once('error', error => {
				reject(new TransportError(`cannot listen on ${address.host}:${address.port}`, {cause: error}));
			});
			this.server.listen({host: address.host, port: address.port, backlog: 1024}, resolve);
		});
	}

	/** Makes every later response close its connection. */
	beginStop(): void {
		this.isStopping = true;
	}

	/** Stops accepting connections and requests, and closes connections without unfinished requests. */
	close(): void {
		this.isClosed = true;
		this.server.close();
		for (const connection of this.clients) {
			if (connection.openRequests === 0) {
				connection.destroySoon();
			}
		}
	}

	/** Ends the requests whose response has not begun, so that their clients get one before the connections are closed. */
	endRequests(): void {
		for (const [request, response] of this.handledRequests) {
			if (!response.headersSent) {
				request.abort(new RequestEndedError('the server stops'));
			}
		}
	}

	/** Closes all connections at once. */
	destroy(): void {
		this.isDestroyed = true;
		for (const connection of this.clients) {
			connection.destroy();
		}
	}

	/** Rejects bytes that are not a request, or a request that was not complete in time. */
	private rejectConnection(error: NodeJS.ErrnoException, connection: ClientConnection): void {
		// A client that has left must not keep its request running.
		if (!this.clients.has(connection) || !connection.writable || connection.readableEnded || error.code === 'ECONNRESET') {
			connection.destroy();
			return;
		}

		const {openRequests, servedRequests} = connection;
		log.info('connection rejected.', {code: error.code, openRequests, handledRequests: servedRequests});
		if (servedRequests === 0) {
			const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request');
			connection.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		}

		// The client of a request that may run would take this status for its answer.
		connection.closeAfterResponses();
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const connection = connectionOf(request);
		const clientDisconnect = new AbortController();
		connection.onRequestEnd(request, () => {
			if (!response.writableFinished) {
				clientDisconnect.abort(this.isDestroyed ? new ConnectionCutError('connection closed by the server') : undefined);
			} else if (this.isClosed) {
				// The headers of a response that began before the stop promise a keep-alive connection.
				connection.destroySoon();
			}
		});
		if (this.isStopping) {
			response.shouldKeepAlive = false;
		}

		let isHandled = false;
		try {
			if (this.isClosed) {
				writeErrorResponse(response, 503, 'stopping', {'Retry-After': stoppingRetryAfterSeconds});
				return;
			}

			validateHead(request, this.limits);
			const body = await this.readBody(request, connection);
			// A daemon that is short of processor time reads a request long after it arrived. If its client has left meanwhile, the next poll shows that, and the request must not load a backend server.
			await nextPoll();
			// After a status for the whole connection, such as 408, the client takes the request for one that has not run.
			if (connection.readableEnded || connection.writableEnded || connection.destroyed) {
				response.destroy();
				return;
			}

			if (this.isClosed) {
				writeErrorResponse(response, 503, 'stopping', {'Retry-After': stoppingRetryAfterSeconds});
				return;
			}

			isHandled = true;
			connection.noteServed(request);
			this.handledRequests.set(clientDisconnect, response);
			await this.handler({
				method: request.method ?? 'GET', path: request.url ?? '/', rawHeaders: request.rawHeaders, body, response, signal: clientDisconnect.signal,
			});
		} catch (error) {
			response.shouldKeepAlive = false;
			if (error instanceof RejectedRequestError) {
				connection.ignoreRest(request);
				writeErrorResponse(response, error.statusCode, error.message, error.headers);
			} else {
				if (isHandled) {
					log.error('handler of a request failed, closing its connection.', {
						method: request.method, path: request.url, error: String(error), cause: error instanceof Error ? String(error.cause) : '',
					});
				}

				// The body was not read completely or the handler failed, so the outcome is unknown and no response is sent.
				response.destroy(error as Error);
			}
		} finally {
			this.handledRequests.delete(clientDisconnect);
			if (response.writableLength > checkedUnreadBytes) {
				this.server.limitUnread();
			}
		}
	}

	private async readBody(request: IncomingMessage, connection: ClientConnection): Promise<Uint8Array> {
		const length = request.headers['content-length'];
		const body = new ReceivedBody(length === undefined ? undefined : Number(length));
		try {
			return await new Promise((resolve, reject) => {
				const refuse = (error: RejectedRequestError) => {
					request.off('data', append);
					body.clear();
					reject(error);
				};

				const append = (chunk: Uint8Array) => {
					if (body.length + chunk.length > this.limits.bodyBytes) {
						refuse(new RejectedRequestError(413, 'body too long'));
					} else {
						body.append(chunk);
					}
				};

				connection.setRefusal(request, () => {
					refuse(new RejectedRequestError(503, 'too many requests are being received', {'Retry-After': receivingRetryAfterSeconds}));
				});
				request.on('data', append);
				finished(request, {writable: false}, error => {
					if (error) {
						reject(error);
					} else {
						resolve(body.take());
					}
				});
			});
		} finally {
			connection.setRefusal(request, undefined);
		}
	}
}
