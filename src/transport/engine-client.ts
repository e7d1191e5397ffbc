/**
 * Client functions of the model engines' HTTP API (see `protocol/engine-api.ts`).
 */
import {
	type CancelAnswer, type EngineChunk, type EngineCompletionRequest, type EngineLoad, type EngineOrder, type KvImport, type KvSnapshot, notRunCode,
} from '../protocol/engine-api.js';
import {
	fetchJson, readJson, requestJson, requestStream,
} from './http-client.js';
import {EngineRefusalError, HttpStatusError} from './errors.js';
import {readEvents} from './sse.js';

/** Longest wait for the start of a completion's response, in milliseconds. */
const responseTimeoutMs = 30_000;
/** Longest wait for the response to a control request, in milliseconds. */
const controlTimeoutMs = 2000;

/**
 * Yields a completion's chunks in the order of arrival, which may differ from their sequence.
 *
 * @throws {EngineRefusalError} When the engine reports that it did not start the request.
 * @throws {TransportError} When the connection fails; the engine may have run the request.
 */
export async function * streamCompletion(engineUrl: string, request: EngineCompletionRequest, signal: AbortSignal): AsyncGenerator<EngineChunk> {
	const url = `${engineUrl}/v1/completions`;
	const response = await requestStream({
		method: 'POST', url, payload: request, signal, timeoutMs: responseTimeoutMs,
	});
	if (response.statusCode !== 200) {
		const body = await readJson<{error?: {code?: string}}>(response, controlTimeoutMs);
		if (body.error?.code === notRunCode) {
			throw new EngineRefusalError(url);
		}

		throw new HttpStatusError(url, response.statusCode ?? 0, body);
	}

	for await (const data of readEvents(response)) {
		// Late chunks may follow the end marker, so the stream is read to its end.
		if (data !== '[DONE]') {
			yield JSON.parse(data) as EngineChunk;
		}
	}
}

/** Reads an engine's load report. */
export async function readLoad(engineUrl: string, timeoutMs: number, signal: AbortSignal): Promise<EngineLoad> {
	return fetchJson<EngineLoad>({
		method: 'GET', url: `${engineUrl}/load`, timeoutMs, signal,
	});
}

/** Cancels a request and returns whether the engine had started it. */
export async function cancelRequest(engineUrl: string, requestId: string): Promise<CancelAnswer> {
	return fetchJson<CancelAnswer>({method: 'POST', url: `${engineUrl}/v1/requests/${encodeURIComponent(requestId)}/cancel`, timeoutMs: controlTimeoutMs});
}

/** Exports a request's KV cache, which ends the request's stream. */
export async function exportKv(engineUrl: string, requestId: string): Promise<KvSnapshot> {
	return fetchJson<KvSnapshot>({method: 'POST', url: `${engineUrl}/v1/requests/${encodeURIComponent(requestId)}/export`, timeoutMs: controlTimeoutMs});
}

/** Makes an engine fetch a request's KV cache from the engine at `source`. */
export async function importKv(engineUrl: string, kvImport: KvImport): Promise<KvSnapshot> {
	return fetchJson<KvSnapshot>({
		method: 'POST', url: `${engineUrl}/v1/kv/import`, payload: kvImport, timeoutMs: controlTimeoutMs,
	});
}

/**
 * Sends a fenced order to an engine.
 *
 * @param mayStillSend Called once the connection is open, right before the order is written.
 * @returns The status: 200, or 409 if the engine has seen a higher fencing token.
 * @throws {TransportError} When `mayStillSend` returned false or the connection failed.
 */
export async function sendOrder(engineUrl: string, order: EngineOrder, mayStillSend: () => boolean): Promise<number> {
	const response = await requestJson({
		method: 'POST', url: `${engineUrl}/v1/orders`, payload: order, timeoutMs: controlTimeoutMs, mayStillSend,
	});
	return response.statusCode;
}
