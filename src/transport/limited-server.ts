/**
 * An HTTP server whose clients are not trusted: all that is kept for them, for one connection and
 * for all together, stays within {@link ConnectionLimits}.
 */
import {
	IncomingMessage, Server, type ServerOptions, ServerResponse,
} from 'node:http';
import {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {createLogger} from '../log.js';
import {ClientConnection, type ConnectionContext} from './client-connection.js';
import {type ConnectionLimits} from './connection-limits.js';
import {ConnectionTable} from './connection-table.js';
import {ReceivedBody} from './received-body.js';
import {TurnQueue} from './turn-queue.js';

const log = createLogger('clients');

/** Interval at which unread answers are checked, in milliseconds. */
const unreadCheckIntervalMs = 250;
/** Shortest interval between log lines on limits, in milliseconds. */
const logIntervalMs = 5000;
/** Length from which on a chunk of a body is passed on by itself, in bytes. */
const minChunkBytes = 4096;

/** Collects the chunks of a body, each of which would cost far more than its bytes when it is small. */
class CoalescedRequest extends IncomingMessage {
	private readonly collected = new ReceivedBody();

	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		if (!(chunk instanceof Uint8Array)) {
			this.flush();
			return super.push(chunk, encoding);
		}

		if (this.collected.length === 0 && chunk.length >= minChunkBytes) {
			return super.push(chunk);
		}

		this.collected.append(chunk);
		return this.collected.length < minChunkBytes || this.flush();
	}

	private flush(): boolean {
		return this.collected.length === 0 || super.push(this.collected.take());
	}
}

/** Counts each request that the parser has read, also those that Node.js answers itself. */
class CountedResponse<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
	constructor(request: Request, options?: Record<string, unknown>) {
		// @ts-expect-error -- Node.js passes options that the declared constructor lacks.
		super(request, options);
		connectionOf(request).addRequest(request, this);
	}
}

/* eslint-disable @typescript-eslint/naming-convention -- the options of Node.js. */
const messageClasses = {IncomingMessage: CoalescedRequest, ServerResponse: CountedResponse};
/* eslint-enable @typescript-eslint/naming-convention */

/** An HTTP server with limits; its connections are {@link ClientConnection}s. */
export class LimitedServer extends Server {
	readonly connectionTable: ConnectionTable;
	private readonly context: ConnectionContext;
	private loggedHits = 0;
	private loggedAtMs = Number.NEGATIVE_INFINITY;
	private unreadTimer: NodeJS.Timeout | undefined;

	constructor(limits: ConnectionLimits, options: ServerOptions = {}, listener?: (request: IncomingMessage, response: ServerResponse) => void) {
		super({...options, ...messageClasses});
		this.connectionTable = new ConnectionTable(limits);
		this.context = {
			table: this.connectionTable,
			turns: new TurnQueue(),
			onUnread: () => {
				this.watchUnread();
			},
		};
		if (listener) {
			this.on('request', listener);
		}
	}

	/** Passes limited connections to the listeners in place of sockets. */
	override emit(event: string, ...parameters: unknown[]): boolean {
		if (event !== 'connection' || !(parameters[0] instanceof Socket)) {
			return super.emit(event, ...parameters);
		}

		const [socket] = parameters;
		const connection = new ClientConnection(socket, this.context);
		if (!this.connectionTable.add(connection)) {
			connection.destroy();
			return true;
		}

		this.logHits(performance.now());
		return super.emit('connection', connection);
	}

	/** Closes connections that leave too much unread; returns whether any answer is unread. */
	limitUnread(): boolean {
		return this.connectionTable.limitUnread(performance.now());
	}

	/** Logs which limits were met since the last line, not more often than every few seconds. */
	private logHits(nowMs: number): void {
		const {hits, size} = this.connectionTable;
		let total = 0;
		for (const count of Object.values(hits)) {
			total += count;
		}

		if (total > this.loggedHits && nowMs - this.loggedAtMs >= logIntervalMs) {
			this.loggedHits = total;
			this.loggedAtMs = nowMs;
			const address = this.address();
			log.warn('limits on clients were met.', {port: typeof address === 'object' ? address?.port : undefined, open: size, ...hits});
		}
	}

	/** Checks unread answers as long as there are any. */
	private watchUnread(): void {
		this.unreadTimer ??= setInterval(() => {
			this.logHits(performance.now());
			if (!this.limitUnread()) {
				clearInterval(this.unreadTimer);
				this.unreadTimer = undefined;
			}
		}, unreadCheckIntervalMs).unref();
	}
}

/** Returns the connection of a request that a {@link LimitedServer} has received. */
export function connectionOf(request: IncomingMessage): ClientConnection {
	return request.socket as unknown as ClientConnection;
}
