/**
 * Error responses to callers: OpenAI-style error bodies that state in the header
 * `x-sesametally-outcome` and in `error.outcome` whether the request ran.
 */
import type Hapi from '@hapi/hapi';
import {Outcome, createErrorBody} from '../protocol/openai.js';

/** Retry-After of a refusal without a better estimate, in seconds. */
export const defaultRetryAfterSeconds = 1;

/** The content of an error response. */
export type FailureResponse = {
	status: number;
	message: string;
	code: string;
	outcome: Outcome;
	/** Time after which the caller may retry, in seconds. */
	retryAfterSeconds?: number;
};

/** Creates an error response. */
export function respondWithFailure(h: Hapi.ResponseToolkit, {status, message, code, outcome, retryAfterSeconds}: FailureResponse): Hapi.ResponseObject {
	const type = status < 500 ? 'invalid_request_error' : 'server_error';
	const response = h.response(createErrorBody(message, type, code, outcome)).code(status).header('x-sesametally-outcome', outcome);
	return retryAfterSeconds === undefined ? response : response.header('retry-after', String(retryAfterSeconds));
}

/** Creates the error response to a request that did not run. */
export function refuseRequest(h: Hapi.ResponseToolkit, refusal: Omit<FailureResponse, 'outcome'>): Hapi.ResponseObject {
	return respondWithFailure(h, {...refusal, outcome: Outcome.NotRun});
}

/** Refuses a request whose API key belongs to no client account. */
export function refuseUnknownKey(h: Hapi.ResponseToolkit): Hapi.ResponseObject {
	return refuseRequest(h, {status: 401, message: 'Unknown API key.', code: 'invalid_api_key'});
}

/** Refuses a request that cannot be served at the moment; it did not run. */
export function refuseOverloaded(h: Hapi.ResponseToolkit, message: string, code = 'overloaded'): Hapi.ResponseObject {
	return refuseRequest(h, {
		status: 503, message, code, retryAfterSeconds: defaultRetryAfterSeconds,
	});
}
