import {SesametallyError} from '../errors.js';

/** A connection, a request or a listening port failed below the protocol layer. */
export class TransportError extends SesametallyError {}

/** An HTTP response has a status that the calling code did not expect. */
export class HttpStatusError extends TransportError {
	constructor(
		readonly url: string,
		readonly statusCode: number,
		readonly body: unknown,
	) {
		super(`request to ${url} returned status ${statusCode}`);
	}
}

/** No connection could be opened, so no part of the request was sent. */
export class ConnectError extends TransportError {}

/** A model engine reported that it did not start the request. */
export class EngineRefusalError extends TransportError {
	constructor(url: string) {
		super(`${url} refused the request without starting it`);
	}
}

/** The sender was no longer allowed to send when the request was about to be written, such as after losing its lease. */
export class SendNotAllowedError extends TransportError {
	constructor(url: string) {
		super(`request to ${url} was not sent because the sender may no longer send it`);
	}
}
