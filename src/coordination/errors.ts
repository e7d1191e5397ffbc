import {SesametallyError} from '../errors.js';

/** A decision that could not be made or carried out: routing, admission, config. */
export class CoordinationError extends SesametallyError {}

/** No backend server can take the request; nothing was dispatched. */
export class NoBackendError extends CoordinationError {}

/** The gateway gave up before any token; an engine may have begun the request. */
export class OutcomeUnknownError extends CoordinationError {}

/** The gateway gave up on a request after some tokens were delivered. */
export class StreamBrokenError extends CoordinationError {
	constructor(
		readonly delivered: number,
		options?: ErrorOptions,
	) {
		super(`stream broke after ${delivered} tokens`, options);
	}
}

/** An engine sent nothing for longer than a running stream may pause. */
export class StalledStreamError extends CoordinationError {}
