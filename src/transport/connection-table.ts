/**
 * Decides which of a listener's connections are read and which are closed, so that all of them
 * together stay within its limits. Connections that serve nobody are closed first: those that
 * have never had a successful answer before others, and the ones that were used least recently
 * first. A request that is being served is always answered.
 */
import {type ConnectionLimits} from './connection-limits.js';

/** Bytes of a request, and of unread answers, that each connection may take whatever the others take. */
const ownReceivedBytes = 16_384;
const ownUnreadBytes = 16_384;

/** A connection as the table sees it. */
export type LimitedConnection = {
	readonly openRequests: number;
	readonly servedRequests: number;
	readonly isProven: boolean;
	readonly receivingBytes: number;
	readonly unreadBytes: number;
	readonly progressAtMs: number;
	destroy(): void;
	giveUp(): void;
	closeAfterResponses(): void;
	scheduleFeed(): void;
};

/** The limits by which connections were closed or requests refused. */
export enum LimitKind {
	/** A connection that serves nobody was closed for a new one. */
	Connections = 'connections',
	/** A new connection was closed unread, since all others serve requests. */
	Serving = 'serving',
	/** A connection with too many requests ahead is closed after its answers. */
	Waiting = 'waiting',
	/** Requests were given up while they were being received. */
	Received = 'received',
	/** The client left too much of its answers unread. */
	Unread = 'unread',
	/** A body had too many values. */
	Values = 'values',
}

/** The connections of one listener. */
export class ConnectionTable {
	/** How often each limit was met. */
	readonly hits: Record<LimitKind, number> = {
		[LimitKind.Connections]: 0, [LimitKind.Serving]: 0, [LimitKind.Waiting]: 0, [LimitKind.Received]: 0, [LimitKind.Unread]: 0, [LimitKind.Values]: 0,
	};

	/** Connections that serve nobody, the least recently used one first: those without a successful answer, and the others. */
	private readonly unproven = new Set<LimitedConnection>();
	private readonly proven = new Set<LimitedConnection>();
	private readonly all = new Set<LimitedConnection>();
	/** Connections that may not read their next request yet. */
	private readonly waiting = new Set<LimitedConnection>();
	private ahead = 0;
	private received = 0;

	constructor(readonly limits: ConnectionLimits) {}

	get size(): number {
		return this.all.size;
	}

	/** Bytes received of requests that have not been answered. */
	get receivedBytes(): number {
		return this.received;
	}

	/** Adds a new connection, and closes another one if there are too many; returns false if the new one has to be closed. */
	add(connection: LimitedConnection): boolean {
		if (this.all.size >= this.limits.maxConnections) {
			const [leastUsed] = this.unproven.size > 0 ? this.unproven : this.proven;
			if (!leastUsed) {
				this.hits[LimitKind.Serving]++;
				return false;
			}

			this.hits[LimitKind.Connections]++;
			leastUsed.destroy();
		}

		this.all.add(connection);
		this.unproven.add(connection);
		return true;
	}

	remove(connection: LimitedConnection): void {
		this.all.delete(connection);
		this.unproven.delete(connection);
		this.proven.delete(connection);
		this.waiting.delete(connection);
	}

	/** Whether a connection may read its next request. */
	mayReadAhead({openRequests, unreadBytes}: LimitedConnection): boolean {
		const {maxRequestsAhead, maxTotalAhead} = this.limits;
		return openRequests === 0 || (openRequests < maxRequestsAhead && this.ahead < maxTotalAhead && unreadBytes <= ownUnreadBytes);
	}

	/** Records that a connection has got one more open request. */
	noteOpened(connection: LimitedConnection): void {
		this.ahead += connection.openRequests > 1 ? 1 : 0;
		this.noteUse(connection);
	}

	/** Records that an open request of a connection has ended. */
	noteEnded(connection: LimitedConnection): void {
		this.ahead -= connection.openRequests > 0 ? 1 : 0;
		this.noteUse(connection);
		const [next] = this.waiting;
		if (next && next !== connection && this.ahead < this.limits.maxTotalAhead) {
			next.scheduleFeed();
		}
	}

	/** Records whether a connection serves requests, and that it was used. */
	noteUse(connection: LimitedConnection): void {
		this.unproven.delete(connection);
		this.proven.delete(connection);
		if (this.all.has(connection) && connection.servedRequests === 0) {
			(connection.isProven ? this.proven : this.unproven).add(connection);
		}
	}

	/** Records whether a connection has requests that it may not read yet. */
	noteWaiting(connection: LimitedConnection, isWaiting: boolean): void {
		if (!isWaiting) {
			this.waiting.delete(connection);
			return;
		}

		this.waiting.add(connection);
		if (this.waiting.size > this.limits.maxWaiting) {
			const [first] = this.waiting;
			this.waiting.delete(first);
			this.hits[LimitKind.Waiting]++;
			first.closeAfterResponses();
		}
	}

	/** Records that the bytes of requests have changed. */
	noteReceived(bytes: number): void {
		this.received += bytes;
	}

	/** Gives up requests that are being received, the longest first, as long as all together are too long; short ones are always received. */
	limitReceived(): void {
		while (this.received > this.limits.maxReceivedBytes) {
			const longest = this.findLongest();
			const before = this.received;
			longest?.giveUp();
			if (this.received >= before) {
				return;
			}

			this.hits[LimitKind.Received]++;
		}
	}

	/** Closes connections whose clients do not read: those that have not for too long, and as long as all together leave too much unread, the one that has not for the longest time. Returns whether any answer is unread. */
	limitUnread(nowMs: number): boolean {
		const {maxUnreadBytes, unreadTimeoutMs} = this.limits;
		const unread = [...this.all].map(connection => ({connection, bytes: connection.unreadBytes}))
			.filter(({bytes}) => bytes > 0)
			.toSorted((a, b) => a.connection.progressAtMs - b.connection.progressAtMs);
		let total = 0;
		for (const {bytes} of unread) {
			total += bytes;
		}

		for (const {connection, bytes} of unread) {
			const isStalled = nowMs - connection.progressAtMs > unreadTimeoutMs;
			const isTooMuch = total > maxUnreadBytes && bytes > ownUnreadBytes;
			if (isStalled || isTooMuch) {
				this.hits[LimitKind.Unread]++;
				total -= bytes;
				connection.destroy();
			}
		}

		return unread.length > 0;
	}

	/** Finds the connection of which most is being received, unless all of it may be. */
	private findLongest(): LimitedConnection | undefined {
		let longest: LimitedConnection | undefined;
		for (const connection of this.all) {
			if (connection.receivingBytes > (longest?.receivingBytes ?? ownReceivedBytes)) {
				longest = connection;
			}
		}

		return longest;
	}
}
