/** Checks whether connections to an address are refused or accepted, without sending a request. */
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

/**
 * How long a connection must stay open to show that a process listens, in milliseconds. A
 * process that is killed may lose its connections before its port; until then the kernel
 * accepts further ones, which it resets when the port is closed.
 */
const holdMs = 20;
/** Pause before the next connection after one that was reset, in milliseconds. */
const repeatPauseMs = 2;

/** What became of a connection. */
enum ConnectionEnd {
	Refused = 'refused',
	/** It was reset before it had been open for {@link holdMs}. */
	Reset = 'reset',
	/** It stayed open, did not open in time, or failed otherwise. */
	Other = 'other',
}

/**
 * Returns whether an address refuses connections, so that no process listens there. If a
 * connection is reset, another one is opened until the time is over. A timeout and resets alone
 * don't count as a refusal.
 *
 * @param timeoutMs Longest wait for a refusal, in milliseconds.
 */
export async function isConnectionRefused(address: {host: string; port: number}, timeoutMs: number): Promise<boolean> {
	const endsAtMs = performance.now() + timeoutMs;
	let end = await openConnection(address, timeoutMs);
	while (end === ConnectionEnd.Reset && performance.now() < endsAtMs) {
		await delay(repeatPauseMs); // eslint-disable-line no-await-in-loop -- one connection after the other.
		end = await openConnection(address, Math.max(1, endsAtMs - performance.now())); // eslint-disable-line no-await-in-loop
	}

	return end === ConnectionEnd.Refused;
}

/** Opens a connection, and closes it once it has been open for {@link holdMs} or did not open in time. */
async function openConnection(address: {host: string; port: number}, timeoutMs: number): Promise<ConnectionEnd> {
	return new Promise(resolve => {
		const socket = connect(address);
		const finish = (end: ConnectionEnd) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(end);
		};

		let timer = setTimeoutAfterEvents(() => {
			if (socket.connecting) {
				finish(ConnectionEnd.Other);
			}
		}, timeoutMs);
		socket.once('connect', () => {
			clearTimeout(timer);
			timer = setTimeoutAfterEvents(() => {
				finish(ConnectionEnd.Other);
			}, holdMs);
		});
		socket.once('error', ({code}: NodeJS.ErrnoException) => {
			const isReset = code === 'ECONNRESET' || code === 'EPIPE';
			finish(code === 'ECONNREFUSED' ? ConnectionEnd.Refused : (isReset ? ConnectionEnd.Reset : ConnectionEnd.Other));
		});
		socket.once('end', () => {
			finish(ConnectionEnd.Reset);
		});
		// The end of a connection is reported only while it is read.
		socket.resume();
	});
}

/**
 * Returns whether an address accepts a connection in time.
 *
 * @param timeoutMs Longest wait for the connection, in milliseconds.
 */
export async function isConnectionAccepted(address: {host: string; port: number}, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect(address);
		const finish = (isAccepted: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isAccepted);
		};

		const timer = setTimeoutAfterEvents(() => {
			finish(false);
		}, timeoutMs);
		socket.once('connect', () => {
			finish(true);
		});
		socket.once('error', () => {
			finish(false);
		});
	});
}

/**
 * Calls a function after a time. If this process did not run for a while, events that arrived
 * meanwhile are processed first: Node.js runs timers that are due before it reads its sockets.
 */
function setTimeoutAfterEvents(callback: () => void, delayMs: number): NodeJS.Timeout {
	return setTimeout(() => {
		setImmediate(callback);
	}, delayMs);
}
