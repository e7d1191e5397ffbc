import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {type ConnectionLimits} from '../connection-limits.js';
import {ConnectionTable, LimitKind} from '../connection-table.js';

const limits: ConnectionLimits = {
	maxConnections: 3, maxRequestsAhead: 2, maxTotalAhead: 2, maxWaiting: 1, maxReceivedBytes: 100_000, maxUnreadBytes: 100_000, unreadTimeoutMs: 1000,
};

let table: ConnectionTable;

/** A connection whose figures a test sets. */
class FakeConnection {
	openRequests = 0;
	servedRequests = 0;
	isProven = false;
	receivingBytes = 0;
	unreadBytes = 0;
	progressAtMs = 0;
	ended = '';

	constructor(readonly name: string) {}

	destroy(): void {
		this.ended = 'destroyed';
		table.remove(this);
	}

	giveUp(): void {
		this.ended = 'given up';
		table.noteReceived(-this.receivingBytes);
		this.receivingBytes = 0;
	}

	closeAfterResponses(): void {
		this.ended = 'closing';
	}

	scheduleFeed(): void {
		this.ended = 'fed';
	}

	receive(bytes: number): void {
		this.receivingBytes += bytes;
		table.noteReceived(bytes);
		table.limitReceived();
	}

	open(): void {
		this.openRequests++;
		table.noteOpened(this);
	}

	end(): void {
		this.openRequests--;
		table.noteEnded(this);
	}
}

function addConnections(...names: string[]): FakeConnection[] {
	return names.map(name => {
		const connection = new FakeConnection(name);
		table.add(connection);
		return connection;
	});
}

beforeEach(() => {
	table = new ConnectionTable(limits);
});

describe('ConnectionTable with as many connections as it may have', () => {
	it.each([
		{
			name: 'the oldest one without a successful answer', proven: [0], served: [], closed: 'b',
		},
		{
			name: 'the least recently used one if all have had an answer', proven: [2, 0, 1], served: [], closed: 'c',
		},
		{
			name: 'none that serves a request', proven: [], served: [0, 1], closed: 'c',
		},
	])('closes $name', ({proven, served, closed}) => {
		const connections = addConnections('a', 'b', 'c');
		for (const index of proven) {
			connections[index].isProven = true;
			table.noteUse(connections[index]);
		}

		for (const index of served) {
			connections[index].servedRequests = 1;
			table.noteUse(connections[index]);
		}

		expect(table.add(new FakeConnection('d'))).toBe(true);
		expect(connections.filter(({ended}) => ended === 'destroyed').map(({name}) => name)).toEqual([closed]);
		expect(table.hits[LimitKind.Connections]).toBe(1);
	});

	it('does not accept another one while all serve requests', () => {
		for (const connection of addConnections('a', 'b', 'c')) {
			connection.servedRequests = 1;
			table.noteUse(connection);
		}

		expect(table.add(new FakeConnection('d'))).toBe(false);
		expect(table.hits[LimitKind.Serving]).toBe(1);
	});
});

describe('ConnectionTable with requests that are sent ahead', () => {
	it.each([
		{
			name: 'the first of a connection, whatever the others have', own: 0, others: 4, unreadBytes: 100_000, mayRead: true,
		},
		{
			name: 'another one within the limits', own: 1, others: 1, unreadBytes: 0, mayRead: true,
		},
		{
			name: 'no more of a connection than it may have', own: 2, others: 0, unreadBytes: 0, mayRead: false,
		},
		{
			name: 'no more than all together may have', own: 1, others: 3, unreadBytes: 0, mayRead: false,
		},
		{
			name: 'none behind answers that are not read', own: 1, others: 0, unreadBytes: 20_000, mayRead: false,
		},
	])('reads $name', ({own, others, unreadBytes, mayRead}) => {
		const [first, second] = addConnections('a', 'b');
		for (let count = 0; count < others; count++) {
			second.open();
		}

		for (let count = 0; count < own; count++) {
			first.open();
		}

		first.unreadBytes = unreadBytes;
		expect(table.mayReadAhead(first)).toBe(mayRead);
	});

	it('lets a connection go on once another one has had its answers', () => {
		const [first, second] = addConnections('a', 'b');
		for (let count = 0; count < 3; count++) {
			second.open();
		}

		table.noteWaiting(first, true);
		second.end();
		expect(first.ended).toBe('fed');
	});

	it('closes the first of too many connections that wait, after its answers', () => {
		const [first, second] = addConnections('a', 'b');
		table.noteWaiting(first, true);
		table.noteWaiting(second, true);
		expect([first.ended, second.ended]).toEqual(['closing', '']);
		expect(table.hits[LimitKind.Waiting]).toBe(1);
	});
});

describe('ConnectionTable with requests that are too long together', () => {
	it('gives up the longest one', () => {
		const [first, second, third] = addConnections('a', 'b', 'c');
		first.receive(40_000);
		second.receive(50_000);
		third.receive(20_000);
		expect([first.ended, second.ended, third.ended]).toEqual(['', 'given up', '']);
		expect(table.hits[LimitKind.Received]).toBe(1);
	});

	it('receives short ones while those that are being served take all', () => {
		const [first] = addConnections('a');
		table.noteReceived(limits.maxReceivedBytes);
		first.receive(1000);
		expect(first.ended).toBe('');
		first.receive(20_000);
		expect(first.ended).toBe('given up');
	});
});

describe('ConnectionTable with answers that are not read', () => {
	it.each([
		{
			name: 'none within the limits', unread: [50_000, 40_000], progressAtMs: [0, 100], closed: [],
		},
		{
			name: 'the one without progress for the longest time', unread: [50_000, 60_000], progressAtMs: [100, 0], closed: ['b'],
		},
		{
			name: 'none that left only a little unread', unread: [1000, 120_000], progressAtMs: [0, 100], closed: ['b'],
		},
		{
			name: 'those without progress for too long', unread: [10, 50_000], progressAtMs: [-1001, 0], closed: ['a'],
		},
	])('closes $name', ({unread, progressAtMs, closed}) => {
		const connections = addConnections('a', 'b');
		for (const [index, connection] of connections.entries()) {
			connection.unreadBytes = unread[index];
			connection.progressAtMs = progressAtMs[index];
		}

		table.limitUnread(0);
		expect(connections.filter(({ended}) => ended === 'destroyed').map(({name}) => name)).toEqual(closed);
		expect(table.hits[LimitKind.Unread]).toBe(closed.length);
	});
});
