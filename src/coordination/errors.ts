import {SesametallyError} from '../errors.js';

/** The base class of errors in the coordination of requests and backend servers. */
export class CoordinationError extends SesametallyError {}

/** No backend server can take the request, and none has begun it. */
export class NoBackendError extends CoordinationError {}

/** The request failed before any result was delivered, and a backend server may have begun it. */
export class OutcomeUnknownError extends CoordinationError {}

/** The request failed after some tokens were delivered. */
export class StreamBrokenError extends CoordinationError {
	constructor(
		readonly delivered: number,
		options?: ErrorOptions,
	) {
		super(`stream broke after ${delivered} tokens`, options);
	}
}

/** An engine sent no token for longer than allowed in a running stream, or its VM is gone. */
export class StalledStreamError extends CoordinationError {}
