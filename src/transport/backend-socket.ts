/** A connection to a backend server that notices a reset shortly after the other side has ended it. */
import {Agent, type ClientRequestArgs} from 'node:http';
import {Socket, type TcpNetConnectOpts} from 'node:net';

/** A connection whose end can be reported late. */
export class BackendSocket extends Socket {
	/** How long the end is held back, in milliseconds; the connection stays open on this side until then. */
	endDelayMs = 0;
	/** Whether the other side has ended the connection, also while that is held back. */
	hasReceivedEnd = false;

	/** Called with each chunk received, and with `null` at the end. */
	override push(chunk: unknown, encoding?: BufferEncoding): boolean {
		this.hasReceivedEnd ||= chunk === null;
		if (chunk !== null || this.endDelayMs === 0) {
			return super.push(chunk, encoding);
		}

		const timer = setTimeout(() => {
			if (!this.destroyed) {
				super.push(null);
			}
		}, this.endDelayMs);
		timer.unref();
		this.endDelayMs = 0;
		return false;
	}
}

/** Opens connections of this kind. */
export class BackendAgent extends Agent {
	/** Called by the agent when a request needs a new connection. */
	override createConnection(options: ClientRequestArgs): Socket {
		return new BackendSocket(options).connect(options as TcpNetConnectOpts);
	}
}
