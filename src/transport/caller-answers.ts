/**
 * The failures callers are told, as OpenAI-style error bodies with the truth about what
 * became of the request in header `x-sesametally-outcome` and `error.outcome`.
 */
import type Hapi from '@hapi/hapi';
import {Outcome, errorBody} from '../protocol/openai.js';

/** Seconds a caller is told to wait after a refusal with no better estimate. */
export const defaultRetryAfterSeconds = 1;

/** A failure to tell a caller. */
export type Failure = {
	status: number;
	message: string;
	code: string;
	outcome: Outcome;
	/** Seconds after which the caller may try again. */
	retryAfterSeconds?: number;
};

/** Answers a request with a failure. */
export function answerFailure(h: Hapi.ResponseToolkit, {status, message, code, outcome, retryAfterSeconds}: Failure): Hapi.ResponseObject {
	const type = status < 500 ? 'invalid_request_error' : 'server_error';
	const response = h.response(errorBody(message, type, code, outcome)).code(status).header('x-sesametally-outcome', outcome);
	return retryAfterSeconds === undefined ? response : response.header('retry-after', String(retryAfterSeconds));
}

/** Refuses a request that did not run. */
export function refuse(h: Hapi.ResponseToolkit, refusal: Omit<Failure, 'outcome'>): Hapi.ResponseObject {
	return answerFailure(h, {...refusal, outcome: Outcome.NotRun});
}

/** Refuses a request whose API key no client account holds. */
export function refuseUnknownKey(h: Hapi.ResponseToolkit): Hapi.ResponseObject {
	return refuse(h, {status: 401, message: 'Unknown API key.', code: 'invalid_api_key'});
}

/** Refuses a request that cannot be served now; it did not run. */
export function refuseOverloaded(h: Hapi.ResponseToolkit, message: string, code = 'overloaded'): Hapi.ResponseObject {
	return refuse(h, {
		status: 503, message, code, retryAfterSeconds: defaultRetryAfterSeconds,
	});
}
