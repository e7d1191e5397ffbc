/** Tells which responses of HTTP servers are not what they seem to be. */
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';

/** The statuses of final responses (RFC 9110, section 15). */
const minStatus = 200;
const maxStatus = 599;
/** A reason phrase (RFC 9112, section 4); the parser of Node.js accepts control characters too. */
const reasonPhrasePattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/v;
/** The statuses of responses that have no body (RFC 9112, section 6.3). */
const bodilessStatuses: ReadonlySet<number | undefined> = new Set([204, 304]);
/** A transfer coding whose last part is chunks, which alone show where a body ends (RFC 9112, section 6.1). */
const finalChunkedPattern = /(?:^|,)\s*chunked\s*$/iv;

const trackedSockets = new WeakSet<Socket>();
const resetSockets = new WeakSet<Socket>();

/**
 * Detects the reset of a connection before Node.js handles it, since Node.js takes a reset
 * for the end of a body without a length. A reset that arrives together with the last bytes
 * is even reported as a normal end; it is recognised by the missing remote address.
 */
export function trackResets(socket: Socket): void {
	if (trackedSockets.has(socket)) {
		return;
	}

	trackedSockets.add(socket);
	socket.prependOnceListener('error', () => {
		resetSockets.add(socket);
	});
	socket.prependOnceListener('end', () => {
		if (socket.remoteAddress === undefined) {
			resetSockets.add(socket);
		}
	});
}

/** Whether the body of a response is complete, as far as its connection shows; valid only after its end, if the resets of the connection are tracked. */
export function isBodyComplete({complete, socket}: IncomingMessage): boolean {
	return complete && !resetSockets.has(socket);
}

/** Whether the connection of a response was reset; valid only if its resets are tracked. */
export function isReset({socket}: IncomingMessage): boolean {
	return resetSockets.has(socket);
}

/** Whether only the end of its connection ends the body of a response to a request other than HEAD (RFC 9112, section 6.3). */
export function isEndedByClose({headers, statusCode}: IncomingMessage): boolean {
	const transferCoding = headers['transfer-encoding'];
	const isFramed = transferCoding === undefined ? headers['content-length'] !== undefined : finalChunkedPattern.test(transferCoding);
	return !isFramed && !bodilessStatuses.has(statusCode);
}

/** Whether a status line is well-formed and belongs to a final response. */
export function isFinalStatusLine({statusCode = 0, statusMessage = ''}: IncomingMessage): boolean {
	return statusCode >= minStatus && statusCode <= maxStatus && reasonPhrasePattern.test(statusMessage);
}
