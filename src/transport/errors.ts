import {SesametallyError} from '../errors.js';

/** A connection, request or server that failed below the protocol layer. */
export class TransportError extends SesametallyError {}

/** An HTTP answer with a status that the caller did not expect. */
export class HttpStatusError extends TransportError {
	constructor(
		readonly url: string,
		readonly statusCode: number,
		readonly body: unknown,
	) {
		super(`request to ${url} answered ${statusCode}`);
	}
}

/** No connection could be opened: nothing of the request was sent. */
export class ConnectError extends TransportError {}

/** A model engine said that it did not begin the request. */
export class EngineRefusalError extends TransportError {
	constructor(url: string) {
		super(`${url} did not take the request`);
	}
}

/** The sender lost its right to send before the request was written. */
export class WithheldError extends TransportError {
	constructor(url: string) {
		super(`request to ${url} withheld`);
	}
}
