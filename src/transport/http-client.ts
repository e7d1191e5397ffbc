/**
 * Requests to other processes and to the platform through `@hapi/wreck`.
 */
import {PassThrough} from 'node:stream';
import type {ClientRequest, IncomingMessage} from 'node:http';
import Wreck from '@hapi/wreck';
import {
	ConnectError, HttpStatusError, TransportError, WithheldError,
} from './errors.js';

/** Options of one request. */
export type JsonRequest = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	url: string;
	payload?: unknown;
	headers?: Record<string, string>;
	/** Time without an answer after which the request fails, in milliseconds. */
	timeoutMs?: number;
	/** Aborting it destroys the connection. */
	signal?: AbortSignal;
	/** Asked once the connection is open, right before the request is written; false withholds it. */
	mayStillSend?: () => boolean;
};

/** A JSON answer with its status. */
export type JsonResponse<T> = {
	statusCode: number;
	headers: Record<string, string | string[] | undefined>;
	body: T;
};

const defaultTimeoutMs = 10_000;

/** Codes of connection failures before any byte of the request was sent. */
const neverSentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

function wrapRequestError(what: string, error: unknown): TransportError {
	if (error instanceof TransportError) {
		return error;
	}

	const code = (error as {code?: string; cause?: {code?: string}}).code ?? (error as {cause?: {code?: string}}).cause?.code;
	return code !== undefined && neverSentCodes.has(code)
		? new ConnectError(`${what} could not connect`, {cause: error})
		: new TransportError(`${what} failed`, {cause: error});
}

/** Holds a request's bytes back until its connection is open and `mayStillSend` agrees. */
function writeWhenAllowed(request: ClientRequest, payload: string, url: string, mayStillSend: () => boolean): void {
	const write = () => {
		if (mayStillSend()) {
			request.end(payload);
		} else {
			request.destroy(new WithheldError(url));
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
 * Sends a request and returns the answer as a stream, with its status.
 *
 * @throws {ConnectError} When no connection could be opened: nothing was sent.
 * @throws {TransportError} When the connection fails, times out or is aborted.
 */
export async function requestStream(options: JsonRequest): Promise<IncomingMessage> {
	const {method, url, payload, headers = {}, timeoutMs = defaultTimeoutMs, signal, mayStillSend} = options;
	const what = `${method} ${url}`;
	signal?.throwIfAborted();
	const text = payload === undefined ? undefined : JSON.stringify(payload);
	const pending = Wreck.request(method, url, {
		// A stream as payload leaves the writing to us.
		payload: mayStillSend === undefined ? text : new PassThrough(),
		headers: text === undefined ? headers : {'content-type': 'application/json', ...headers},
		timeout: timeoutMs,
	});
	if (mayStillSend !== undefined) {
		writeWhenAllowed(pending.req, text ?? '', url, mayStillSend);
	}

	const abort = () => {
		pending.req.destroy(new TransportError(`${what} aborted`));
	};

	signal?.addEventListener('abort', abort, {once: true});
	try {
		const response = await pending;
		response.once('close', () => {
			signal?.removeEventListener('abort', abort);
		});
		return response;
	} catch (error) {
		signal?.removeEventListener('abort', abort);
		throw wrapRequestError(what, error);
	}
}

/**
 * Reads the JSON body of an answer.
 *
 * @throws {TransportError} When it cannot be read in time.
 */
export async function readJson<T>(response: IncomingMessage, timeoutMs: number): Promise<T> {
	try {
		return await Wreck.read(response, {json: 'force', timeout: timeoutMs});
	} catch (error) {
		throw new TransportError('answer unreadable', {cause: error});
	}
}

/**
 * Sends a request and reads a JSON answer of any status.
 *
 * @throws {ConnectError} When no connection could be opened: nothing was sent.
 * @throws {TransportError} When the connection fails, times out or is aborted.
 */
export async function requestJson<T>(options: JsonRequest): Promise<JsonResponse<T>> {
	const response = await requestStream(options);
	const body = await readJson<T>(response, options.timeoutMs ?? defaultTimeoutMs);
	return {statusCode: response.statusCode ?? 0, headers: response.headers, body};
}

/**
 * Sends a request and returns the JSON body of a 2xx answer.
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
