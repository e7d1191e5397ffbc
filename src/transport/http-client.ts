/**
 * HTTP client functions for JSON and streamed responses, based on `@hapi/wreck`.
 */
import {PassThrough} from 'node:stream';
import type {ClientRequest, IncomingMessage} from 'node:http';
import Wreck from '@hapi/wreck';
import {
	ConnectError, HttpStatusError, TransportError, SendNotAllowedError,
} from './errors.js';
import {
	isBodyComplete, isEndedByClose, isFinalStatusLine, trackResets,
} from './response-integrity.js';

/** Options of one request. */
export type JsonRequest = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	url: string;
	payload?: unknown;
	headers?: Record<string, string>;
	/** Time without a response after which the request fails, in milliseconds. */
	timeoutMs?: number;
	/** Destroys the connection when it aborts. */
	signal?: AbortSignal;
	/** Called once the connection is open, right before the request is written; if it returns false, the request fails without being sent. */
	mayStillSend?: () => boolean;
};

/** A JSON response with its status. */
export type JsonResponse<T> = {
	statusCode: number;
	headers: Record<string, string | string[] | undefined>;
	body: T;
};

const defaultTimeoutMs = 10_000;
/** Longest JSON body that is read, in bytes. */
const maxBodyBytes = 16 * 1024 * 1024;

/** Error codes of connections that failed before any byte of the request was sent. */
const connectFailureCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

function wrapRequestError(requestName: string, error: unknown): TransportError {
	if (error instanceof TransportError) {
		return error;
	}

	const code = (error as {code?: string; cause?: {code?: string}}).code ?? (error as {cause?: {code?: string}}).cause?.code;
	return code !== undefined && connectFailureCodes.has(code)
		? new ConnectError(`${requestName} could not connect`, {cause: error})
		: new TransportError(`${requestName} failed`, {cause: error});
}

/** Writes a request's body once its connection is open and `mayStillSend` returns true; destroys the request otherwise. */
function writeWhenAllowed(request: ClientRequest, body: string, url: string, mayStillSend: () => boolean): void {
	const write = () => {
		if (mayStillSend()) {
			request.end(body);
		} else {
			request.destroy(new SendNotAllowedError(url));
		}
	};

	request.once('socket', socket => {
		if (socket.connecting) {
			socket.once('connect', write);
		} else {
			write();
		}
	});
}

/**
 * Sends a request and returns the response as a stream, with its status.
 *
 * @throws {ConnectError} When no connection could be opened; nothing was sent.
 * @throws {TransportError} When the connection fails, times out or is aborted, or the status line is invalid.
 */
export async function requestStream(options: JsonRequest): Promise<IncomingMessage> {
	const {method, url, payload, headers = {}, timeoutMs = defaultTimeoutMs, signal, mayStillSend} = options;
	const requestName = `${method} ${url}`;
	signal?.throwIfAborted();
	const body = payload === undefined ? undefined : JSON.stringify(payload);
	const pending = Wreck.request(method, url, {
		// With a stream as payload, Wreck leaves the writing to `writeWhenAllowed`.
		payload: mayStillSend === undefined ? body : new PassThrough(),
		headers: body === undefined ? headers : {'content-type': 'application/json', ...headers},
		timeout: timeoutMs,
	});
	if (mayStillSend !== undefined) {
		writeWhenAllowed(pending.req, body ?? '', url, mayStillSend);
	}

	const abort = () => {
		pending.req.destroy(new TransportError(`${requestName} aborted`));
	};

	signal?.addEventListener('abort', abort, {once: true});
	try {
		const response = await pending;
		trackResets(response.socket);
		if (!isFinalStatusLine(response)) {
			response.destroy();
			throw new TransportError(`${requestName} got an invalid status line`);
		}

		response.once('close', () => {
			signal?.removeEventListener('abort', abort);
		});
		return response;
	} catch (error) {
		signal?.removeEventListener('abort', abort);
		throw wrapRequestError(requestName, error);
	}
}

/**
 * Reads the JSON body of a response of {@link requestStream}; an empty body is null, unless only the end of the connection ends it.
 *
 * @throws {TransportError} When the body is not valid JSON, is not complete or does not arrive in time.
 */
export async function readJson<T>(response: IncomingMessage, timeoutMs: number): Promise<T> {
	try {
		const body = await Wreck.read<unknown>(response, {json: 'force', timeout: timeoutMs, maxBytes: maxBodyBytes});
		if (!isBodyComplete(response) || (body === null && isEndedByClose(response))) {
			throw new TransportError('the body is not complete');
		}

		return body as T;
	} catch (error) {
		response.destroy();
		throw new TransportError('cannot read the JSON body of the response', {cause: error});
	}
}

/**
 * Sends a request and reads a JSON response of any status.
 *
 * @throws {ConnectError} When no connection could be opened; nothing was sent.
 * @throws {TransportError} When the connection fails, times out or is aborted.
 */
export async function requestJson<T>(options: JsonRequest): Promise<JsonResponse<T>> {
	const response = await requestStream(options);
	const body = await readJson<T>(response, options.timeoutMs ?? defaultTimeoutMs);
	return {statusCode: response.statusCode ?? 0, headers: response.headers, body};
}

/**
 * Sends a request and returns the JSON body of a 2xx response.
 *
 * @throws {HttpStatusError} On any other status.
 * @throws {TransportError} When the connection fails, times out or is aborted.
 */
export async function fetchJson<T>(options: JsonRequest): Promise<T> {
	const response = await requestJson<T>(options);
	if (response.statusCode < 200 || response.statusCode >= 300) {
		throw new HttpStatusError(options.url, response.statusCode, response.body);
	}

	return response.body;
}
