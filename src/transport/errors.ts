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
