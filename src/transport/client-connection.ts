/**
 * A client's connection as the HTTP server sees it. It passes on what it receives message by
 * message and only as far as the limits of its listener allow: a parser that is handed all bytes
 * that have arrived creates a request for each of them before anything can refuse it.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {Duplex} from 'node:stream';
import {type ConnectionTable} from './connection-table.js';
import {type Chunk, type WriteCallback, writeChunks} from './socket-writes.js';
import {type PieceProcessor, type TurnQueue} from './turn-queue.js';

/** Length of a piece up to which no end of a message is searched for, in bytes; the shortest requests have a quarter of it. */
const minPieceBytes = 64;
/** Longest piece of a message of unknown length, in bytes. */
const maxPieceBytes = 2048;
/** Bytes that may wait to be passed on before the connection is not read any more. Until then the client's close is noticed. */
const maxPendingBytes = 16_384;

/** Pieces that are passed on as they arrive: usually a head and a body. */
const piecesAtOnce = 4;
/** Time for which a connection that is closed on a client which still sends is read, in milliseconds. */
const lingerMs = 500;

/** A request that is being received or served. */
type Exchange = {
	/** Bytes received of it. */
	bytes: number;
	/** Bytes of its body that have not been passed on, where its length is known. */
	bodyLeft: number;
	request?: IncomingMessage;
	response?: ServerResponse;
	/** Whether the connection may not be closed before its answer. */
	isServed: boolean;
	/** Refuses the request while its body is being received; without it the connection is closed. */
	refuse?: () => void;
	onEnd: Array<() => void>;
};

/** What the connections of one server share. */
export type ConnectionContext = {
	table: ConnectionTable;
	turns: TurnQueue;
	/** Called when a client has not read all that was written at once. */
	onUnread: () => void;
};

/** A connection of a client within the limits of a {@link ConnectionTable}. */
export class ClientConnection extends Duplex implements PieceProcessor {
	/** Requests whose response has not been sent completely. */
	openRequests = 0;
	/** Those of them before whose answer the connection may not be closed. */
	servedRequests = 0;
	/** Whether one of its requests was answered with success. */
	isProven = false;
	/** When the client last read a part of an answer, or had none to read. */
	progressAtMs = performance.now();
	private readonly exchanges = new Set<Exchange>();
	private current: Exchange = createExchange();
	private pending: Uint8Array = Buffer.alloc(0);
	private hasReadEnded = false;
	private isClosing = false;

	private readonly table: ConnectionTable;
	private readonly turns: TurnQueue;
	private readonly onUnread: () => void;

	constructor(private readonly socket: Socket, {table, turns, onUnread}: ConnectionContext) {
		super({allowHalfOpen: true, decodeStrings: false, emitClose: true});
		this.table = table;
		this.turns = turns;
		this.onUnread = onUnread;
		socket.on('data', (chunk: Uint8Array) => {
			this.receive(chunk);
		});
		socket.on('end', () => {
			// What was sent before the client closed its side is not served either.
			this.setPending(Buffer.alloc(0));
			this.hasReadEnded = true;
			this.push(null);
			if (this.writableFinished) {
				this.destroy();
			}
		});
		socket.on('error', error => {
			this.destroy(error);
		});
		socket.on('close', () => {
			this.destroy();
		});
		socket.on('timeout', () => {
			this.emit('timeout');
		});
		this.on('resume', () => {
			this.scheduleFeed();
		});
	}

	get remoteAddress(): string | undefined {
		return this.socket.remoteAddress;
	}

	get remotePort(): number | undefined {
		return this.socket.remotePort;
	}

	/** Bytes of the request that is being received, and of those after it; none if no more are read. */
	get receivingBytes(): number {
		return this.isClosing ? 0 : this.pending.length + this.current.bytes;
	}

	/** Bytes of answers that the client has not read. */
	get unreadBytes(): number {
		let total = 0;
		for (const {response} of this.exchanges) {
			total += response?.writableLength ?? 0;
		}

		return Math.max(total, this.writableLength);
	}

	setTimeout(ms: number, callback?: () => void): this {
		this.socket.setTimeout(ms, callback);
		return this;
	}

	setNoDelay(isEnabled?: boolean): this {
		this.socket.setNoDelay(isEnabled);
		return this;
	}

	setKeepAlive(isEnabled?: boolean, delayMs?: number): this {
		this.socket.setKeepAlive(isEnabled, delayMs);
		return this;
	}

	/** Closes the connection once everything has been written. */
	destroySoon(): void {
		if (this.writable) {
			this.end();
		}

		if (this.writableFinished) {
			this.destroyAfterLinger();
		} else {
			this.once('finish', () => {
				this.destroyAfterLinger();
			});
		}
	}

	/** Counts a request that the parser has read. */
	addRequest(request: IncomingMessage, response: ServerResponse): void {
		if (this.current.request) {
			this.beginExchange();
		}

		const exchange = this.current;
		exchange.request = request;
		exchange.response = response;
		exchange.bodyLeft = Number(request.headers['content-length'] ?? 0);
		this.exchanges.add(exchange);
		this.openRequests++;
		this.table.noteOpened(this);
		const end = () => {
			this.endExchange(exchange);
		};

		response.once('close', end);
		// Everything has been passed to the connection; from now on the limits on unread answers apply.
		response.once('prefinish', () => {
			this.endServing(exchange);
		});
	}

	/** Records that a request is being served, so that the connection is not closed before its answer. */
	noteServed(request: IncomingMessage): void {
		const exchange = this.exchangeOf(request);
		if (exchange && !exchange.isServed) {
			exchange.isServed = true;
			this.servedRequests++;
			this.table.noteUse(this);
		}
	}

	/** Calls a function once when the response of a request has been sent or its connection has closed. */
	onRequestEnd(request: IncomingMessage, callback: () => void): void {
		this.exchangeOf(request)?.onEnd.push(callback);
	}

	/** Sets how the request whose body is being received can be refused. */
	setRefusal(request: IncomingMessage, refuse: (() => void) | undefined): void {
		const exchange = this.exchangeOf(request);
		if (exchange) {
			exchange.refuse = refuse;
		}
	}

	/** Gives up what is being received, since all connections together have received too much. */
	giveUp(): void {
		const {refuse, request} = this.current;
		if (refuse) {
			this.ignoreRest(request!);
			this.table.noteReceived(-this.current.bytes);
			this.current.bytes = 0;
			refuse();
		} else if (this.servedRequests > 0) {
			this.closeAfterResponses();
		} else {
			this.destroy();
		}
	}

	/** Reads nothing after a request that is refused before its end; the connection closes with the answer. */
	ignoreRest(request: IncomingMessage): void {
		this.noteServed(request);
		this.isClosing = true;
		this.discardPending();
	}

	/** Reads no more requests, and closes the connection after the answers to those that are being served. */
	closeAfterResponses(): void {
		this.isClosing = true;
		this.discardPending();
		this.closeIfAnswered();
	}

	/** Passes on more of what has been received, unless the limits forbid it, in a later turn of the event loop. */
	scheduleFeed(): void {
		if (!this.destroyed && (this.pending.length > 0 || this.socket.isPaused())) {
			this.turns.add(this);
		}
	}

	/** Passes on one piece, as far as the limits allow; returns whether there is another one that may be passed on. */
	processPiece(): boolean {
		if (this.canFeed()) {
			this.feedPiece();
		}

		const hasMore = this.canFeed();
		this.adjustReading(hasMore);
		return hasMore;
	}

	override _read(): void {
		this.scheduleFeed();
	}

	override _write(chunk: Uint8Array | string, encoding: BufferEncoding, callback: WriteCallback): void {
		this._writev([{chunk, encoding}], callback);
	}

	override _writev(chunks: Chunk[], callback: WriteCallback): void {
		const noteProgress = () => {
			this.progressAtMs = performance.now();
		};

		noteProgress();
		writeChunks(this.socket, chunks, noteProgress, callback);
		if (this.socket.writableLength > 0 || this.writableLength > maxPendingBytes) {
			this.onUnread();
		}
	}

	override _final(callback: WriteCallback): void {
		this.socket.end(() => {
			callback();
		});
	}

	override _destroy(error: Parameters<Duplex['_destroy']>[0], callback: Parameters<Duplex['_destroy']>[1]): void {
		this.socket.destroy();
		this.setPending(Buffer.alloc(0));
		for (const exchange of this.exchanges) {
			this.endExchange(exchange);
		}

		this.beginExchange();
		this.table.remove(this);
		callback(error);
	}

	private receive(chunk: Uint8Array): void {
		if (this.isClosing || this.destroyed) {
			return;
		}

		this.table.noteUse(this);
		const isQueued = this.pending.length > 0;
		this.setPending(isQueued ? Buffer.concat([this.pending, chunk]) : chunk);
		if (!isQueued) {
			for (let piece = 0; piece < piecesAtOnce && this.canFeed(); piece++) {
				this.feedPiece();
			}
		}

		const hasMore = this.canFeed();
		this.adjustReading(hasMore);
		if (hasMore) {
			this.scheduleFeed();
		}
	}

	private canFeed(): boolean {
		return this.pending.length > 0 && this.readableFlowing === true && this.readableLength === 0 && !this.destroyed && this.mayRead();
	}

	private feedPiece(): void {
		const piece = this.pending.subarray(0, this.pieceLength());
		this.pending = this.pending.subarray(piece.length);
		this.current.bytes += piece.length;
		if (this.current.request) {
			this.current.bodyLeft -= piece.length;
		}

		this.push(piece);
		if (this.current.request?.complete) {
			this.beginExchange();
		}
	}

	/** Stops reading from the client while enough waits to be passed on. */
	private adjustReading(mayFeed: boolean): void {
		this.table.noteWaiting(this, this.pending.length > 0 && !mayFeed && !this.destroyed && !this.mayRead());
		if (this.hasReadEnded || this.destroyed) {
			return;
		}

		if (this.pending.length * 2 < this.pending.buffer.byteLength) {
			// A small rest would keep the whole buffer that it arrived in.
			this.pending = new Uint8Array(this.pending);
		}

		if (this.pending.length > maxPendingBytes) {
			this.socket.pause();
		} else if (this.socket.isPaused()) {
			this.socket.resume();
		}
	}

	private mayRead(): boolean {
		// The body of a request that is being received belongs to one that is counted already.
		return this.current.request !== undefined || this.table.mayReadAhead(this);
	}

	/** Returns the length of the next piece: the rest of a body, or a part that contains few ends of messages. */
	private pieceLength(): number {
		const {length} = this.pending;
		if (this.current.request && this.current.bodyLeft > 0) {
			return Math.min(length, this.current.bodyLeft);
		}

		const window = Buffer.from(this.pending.buffer, this.pending.byteOffset, Math.min(length, maxPieceBytes));
		const ends = ['\n\r\n', '\n\n'].map(end => {
			const index = window.indexOf(end, minPieceBytes - end.length);
			return index === -1 ? window.length : index + end.length;
		});
		return Math.min(...ends);
	}

	private setPending(pending: Uint8Array): void {
		this.table.noteReceived(pending.length - this.pending.length);
		this.pending = pending;
		if (pending.length > 0) {
			this.table.limitReceived();
		}
	}

	/** Discards what has been received, and what is still received, so that the client gets the answers: closing a connection with unread bytes resets it. */
	private discardPending(): void {
		this.setPending(Buffer.alloc(0));
		this.socket.resume();
	}

	private destroyAfterLinger(): void {
		if (!this.isClosing || this.hasReadEnded) {
			this.destroy();
			return;
		}

		const timer = setTimeout(() => {
			this.destroy();
		}, lingerMs);
		this.once('close', () => {
			clearTimeout(timer);
		});
	}

	/** Prepares for the next request; the bytes of a request that has been answered already are not kept any more. */
	private beginExchange(): void {
		if (!this.exchanges.has(this.current)) {
			this.table.noteReceived(-this.current.bytes);
		}

		this.current = createExchange();
	}

	private exchangeOf(request: IncomingMessage): Exchange | undefined {
		for (const exchange of this.exchanges) {
			if (exchange.request === request) {
				return exchange;
			}
		}

		return undefined;
	}

	private endExchange(exchange: Exchange): void {
		if (!this.exchanges.delete(exchange)) {
			return;
		}

		const status = exchange.response!.headersSent ? exchange.response!.statusCode : 500;
		this.isProven ||= status < 400;
		this.table.noteReceived(-exchange.bytes);
		exchange.bytes = 0;
		this.openRequests--;
		this.endServing(exchange);
		this.table.noteEnded(this);
		for (const callback of exchange.onEnd) {
			callback();
		}

		this.scheduleFeed();
	}

	private endServing(exchange: Exchange): void {
		if (exchange.isServed) {
			exchange.isServed = false;
			this.servedRequests--;
			this.table.noteUse(this);
			this.closeIfAnswered();
		}
	}

	private closeIfAnswered(): void {
		if (this.isClosing && this.servedRequests === 0) {
			this.destroySoon();
		}
	}
}

function createExchange(): Exchange {
	return {
		bytes: 0, bodyLeft: 0, isServed: false, onEnd: [],
	};
}
