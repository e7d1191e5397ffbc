/**
 * The callers' HTTP/1.1 port. Requests are taken strictly, since a request that can be
 * read in two ways could carry another inside it, and their bodies are read whole before
 * anything is decided, so that a request can be sent again. `node:http` is used rather than
 * hapi: nothing is routed here, and the connection itself has to be governed.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type ClientLimits} from '../protocol/serving.js';
import {type Listen} from '../protocol/settings.js';
import {TransportError} from './errors.js';

/** Header bytes that node parses at the most; the configuration's limit is checked beyond it. */
const parserHeaderBytes = 65_536;
/** How often node looks for connections over their time, in milliseconds. */
const timeoutCheckMs = 1000;
/** Kept longer than clients reuse idle connections, in milliseconds. */
const idleMarginMs = 1000;
/** Bytes of request bodies held at once, over all requests: a seventh of the smallest daemon's memory. */
const mostBufferedBytes = 48 * 1024 * 1024;
/** When a client that met a stopping daemon should return, in seconds: at once, to another. */
const stoppingReturn = '0.05';
const defaultLimits: ClientLimits = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
};

/** A request that was read whole. */
export type FrontRequest = {
	method: string;
	path: string;
	rawHeaders: string[];
	body: Uint8Array;
	response: ServerResponse;
	/** Aborts when the client closes its connection before its answer was written. */
	signal: AbortSignal;
};

/** What is done with each request. */
export type FrontHandler = (request: FrontRequest) => Promise<void>;

/** Why a request was turned away before it was looked at, with its status. */
class BadRequestError extends TransportError {
	constructor(readonly statusCode: number, message: string) {
		super(message);
	}
}

/** Checks framing and header size. */
function checkHead(request: IncomingMessage, limits: ClientLimits): void {
	const {rawHeaders, headers} = request;
	let bytes = 0;
	let lengths = 0;
	let encodings = 0;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		bytes += rawHeaders[index].length + rawHeaders[index + 1].length + 4;
		const name = rawHeaders[index].toLowerCase();
		lengths += name === 'content-length' ? 1 : 0;
		encodings += name === 'transfer-encoding' ? 1 : 0;
	}

	if (lengths + encodings > 1) {
		throw new BadRequestError(400, 'more than one length');
	}

	if (encodings === 1 && headers['transfer-encoding']!.toLowerCase() !== 'chunked') {
		throw new BadRequestError(400, 'unknown transfer encoding');
	}

	if (bytes > limits.headerBytes) {
		throw new BadRequestError(431, 'headers too long');
	}

	if (Number(headers['content-length'] ?? 0) > limits.bodyBytes) {
		throw new BadRequestError(413, 'body too long');
	}
}

/** Writes a whole answer of the daemon's own. */
export function writeOwnAnswer(response: ServerResponse, status: number, reason: string, headers: Record<string, string> = {}): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const body = JSON.stringify({error: reason});
	response.writeHead(status, {...headers, 'Content-Type': 'application/json', 'Content-Length': String(Buffer.byteLength(body))});
	response.end(body);
}

/** The callers' port. */
export class FrontServer {
	/** Open connections, and the requests each waits for. */
	private readonly connections = new Map<Socket, number>();
	private readonly server: Server;
	private limits = defaultLimits;
	private bufferedBytes = 0;
	private isStopping = false;
	private isClosed = false;

	constructor(private readonly handler: FrontHandler) {
		this.server = createServer({
			maxHeaderSize: parserHeaderBytes, connectionsCheckingInterval: timeoutCheckMs, noDelay: true, requireHostHeader: false,
		}, (request, response) => {
			void this.take(request, response);
		});
		this.server.on('connection', socket => {
			this.connections.set(socket, 0);
			socket.once('close', () => {
				this.connections.delete(socket);
			});
		});
		this.server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			if (socket.writable && error.code !== 'ECONNRESET' && !socket.destroyed) {
				const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request');
				socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			} else {
				socket.destroy();
			}
		});
		this.setLimits(defaultLimits);
	}

	get openConnections(): number {
		return this.connections.size;
	}

	/** Requests that were read and not yet answered. */
	get openRequests(): number {
		let sum = 0;
		for (const count of this.connections.values()) {
			sum += count;
		}

		return sum;
	}

	/** Takes new limits into force, also for connections that are open. */
	setLimits(limits: ClientLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headerTimeoutMs;
		this.server.requestTimeout = limits.idleTimeoutMs;
		this.server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
	}

	/** @throws {TransportError} When the address cannot be bound. */
	async listen(address: Listen): Promise<void> {
		return new Promise((resolve, reject) => {
			this.server.once('error', error => {
				reject(new TransportError(`cannot listen on ${address.host}:${address.port}`, {cause: error}));
			});
			this.server.listen({host: address.host, port: address.port, backlog: 1024}, resolve);
		});
	}

	/** Every answer from now on closes its connection. */
	beginStop(): void {
		this.isStopping = true;
	}

	/** Takes no new connections and requests, and closes those that wait for nothing. */
	close(): void {
		this.isClosed = true;
		this.server.close();
		for (const [socket, requests] of this.connections) {
			if (requests === 0) {
				socket.destroySoon();
			}
		}
	}

	/** Closes every connection. */
	destroy(): void {
		for (const socket of this.connections.keys()) {
			socket.destroy();
		}
	}

	private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {socket} = request;
		const gone = new AbortController();
		this.connections.set(socket, (this.connections.get(socket) ?? 0) + 1);
		response.once('close', () => {
			if (this.connections.has(socket)) {
				this.connections.set(socket, this.connections.get(socket)! - 1);
			}

			if (!response.writableFinished) {
				gone.abort();
			} else if (this.isClosed) {
				// An answer that began before the stop still promised to keep the connection.
				socket.destroySoon();
			}
		});
		if (this.isStopping) {
			response.shouldKeepAlive = false;
		}

		let held = 0;
		try {
			if (this.isClosed) {
				writeOwnAnswer(response, 503, 'stopping', {'Retry-After': stoppingReturn});
				return;
			}

			checkHead(request, this.limits);
			const body = await this.readBody(request);
			held = body.length;
			this.bufferedBytes += held;
			await this.handler({
				method: request.method ?? 'GET', path: request.url ?? '/', rawHeaders: request.rawHeaders, body, response, signal: gone.signal,
			});
		} catch (error) {
			response.shouldKeepAlive = false;
			if (error instanceof BadRequestError) {
				writeOwnAnswer(response, error.statusCode, error.message);
			} else {
				// The request was not read whole, or its handler failed: nothing can be promised.
				response.destroy(error as Error);
			}
		} finally {
			this.bufferedBytes -= held;
		}
	}

	private async readBody(request: IncomingMessage): Promise<Uint8Array> {
		const chunks: Uint8Array[] = [];
		let length = 0;
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
			length += chunk.length;
			if (length > this.limits.bodyBytes) {
				throw new BadRequestError(413, 'body too long');
			}

			if (this.bufferedBytes + length > mostBufferedBytes) {
				throw new BadRequestError(503, 'too many bodies at once');
			}
		}

		return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
	}
}
