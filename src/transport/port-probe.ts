/** Asks whether anything listens at an address, without a request. */
import {connect} from 'node:net';

/**
 * Whether an address refuses connections: nothing listens there. Silence and a connection
 * that is reset after it opened are no refusal.
 */
export async function refusesConnections(address: {host: string; port: number}, timeoutMs: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect(address);
		const end = (isRefused: boolean) => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.setTimeout(timeoutMs, () => {
			end(false);
		});
		socket.once('connect', () => {
			end(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			end(error.code === 'ECONNREFUSED');
		});
	});
}
