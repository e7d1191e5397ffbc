/**
 * Requests to other processes and to the platform through `@hapi/wreck`.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import Wreck from '@hapi/wreck';
import {HttpStatusError, TransportError} from './errors.js';

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
};

/** A JSON answer with its status. */
export type JsonResponse<T> = {
	statusCode: number;
	headers: Record<string, string | string[] | undefined>;
	body: T;
};

const defaultTimeoutMs = 10_000;

/**
 * Sends a request and returns the answer as a stream, with its status.
 *
 * @throws {TransportError} When the connection fails, times out or is aborted.
 */
export async function requestStream(options: JsonRequest): Promise<IncomingMessage> {
	const {method, url, payload, headers = {}, timeoutMs = defaultTimeoutMs, signal} = options;
	signal?.throwIfAborted();
	const pending = Wreck.request(method, url, {
		payload: payload === undefined ? undefined : JSON.stringify(payload),
		headers: payload === undefined ? headers : {'content-type': 'application/json', ...headers},
		timeout: timeoutMs,
	});
	const abort = () => {
		pending.req.destroy(new TransportError(`${method} ${url} aborted`));
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
		throw new TransportError(`${method} ${url} failed`, {cause: error});
	}
}

/**
 * Sends a request and reads a JSON answer of any status.
 *
 * @throws {TransportError} When the connection fails, times out or is aborted.
 */
export async function requestJson<T>(options: JsonRequest): Promise<JsonResponse<T>> {
	const response = await requestStream(options);
	try {
		const body = await Wreck.read(response, {json: 'force', timeout: options.timeoutMs ?? defaultTimeoutMs});
		return {statusCode: response.statusCode ?? 0, headers: response.headers, body: body as T};
	} catch (error) {
		throw new TransportError(`${options.method} ${options.url} answer unreadable`, {cause: error});
	}
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
