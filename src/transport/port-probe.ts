/** Checks whether connections to an address are refused or accepted, without sending a request. */
import {connect} from 'node:net';

/**
 * Returns whether an address refuses connections, so that no process listens there. A
 * timeout and a connection that is reset after it opened don't count as a refusal.
 *
 * @param timeoutMs Longest wait for the connection, in milliseconds.
 */
export async function isConnectionRefused(address: {host: string; port: number}, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect(address);
		const finish = (isRefused: boolean) => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.setTimeout(timeoutMs, () => {
			finish(false);
		});
		socket.once('connect', () => {
			finish(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED');
		});
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

		const timer = setTimeout(finish, timeoutMs, false);
		socket.once('connect', () => {
			finish(true);
		});
		socket.once('error', () => {
			finish(false);
		});
	});
}
