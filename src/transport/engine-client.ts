/**
 * Calls to one model engine (see `protocol/engine-api.ts`).
 */
import {
	type CancelAnswer, type EngineChunk, type EngineCompletionRequest, type EngineLoad, type EngineOrder, type KvImport, type KvSnapshot, notRunCode,
} from '../protocol/engine-api.js';
import {
	fetchJson, readJson, requestJson, requestStream,
} from './http-client.js';
import {EngineRefusalError, HttpStatusError} from './errors.js';
import {readEvents} from './sse.js';

/** Longest wait for an engine's first byte of an answer. */
const answerTimeoutMs = 30_000;
/** Longest wait for the answer to a control call. */
const controlTimeoutMs = 2000;

/** Streams a completion's chunks as they come, in whatever order.
 *
 * @throws {EngineRefusalError} When the engine says that it did not begin the request.
 * @throws {TransportError} When the connection fails; the engine may have run it.
 */
export async function * streamCompletion(engineUrl: string, request: EngineCompletionRequest, signal: AbortSignal): AsyncGenerator<EngineChunk> {
	const url = `${engineUrl}/v1/completions`;
	const response = await requestStream({
		method: 'POST', url, payload: request, signal, timeoutMs: answerTimeoutMs,
	});
	if (response.statusCode !== 200) {
		const body = await readJson<{error?: {code?: string}}>(response, controlTimeoutMs);
		if (body.error?.code === notRunCode) {
			throw new EngineRefusalError(url);
		}

		throw new HttpStatusError(url, response.statusCode ?? 0, body);
	}

	for await (const data of readEvents(response)) {
		// The end marker may overtake late chunks: read until the connection ends.
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

/** Cancels a request; tells whether the engine had begun it. */
export async function cancelRequest(engineUrl: string, requestId: string): Promise<CancelAnswer> {
	return fetchJson<CancelAnswer>({method: 'POST', url: `${engineUrl}/v1/requests/${encodeURIComponent(requestId)}/cancel`, timeoutMs: controlTimeoutMs});
}

/** Exports a request's KV cache; its stream then ends. */
export async function exportKv(engineUrl: string, requestId: string): Promise<KvSnapshot> {
	return fetchJson<KvSnapshot>({method: 'POST', url: `${engineUrl}/v1/requests/${encodeURIComponent(requestId)}/export`, timeoutMs: controlTimeoutMs});
}

/** Has an engine pull a request's KV cache from the engine at `source`. */
export async function importKv(engineUrl: string, kvImport: KvImport): Promise<KvSnapshot> {
	return fetchJson<KvSnapshot>({
		method: 'POST', url: `${engineUrl}/v1/kv/import`, payload: kvImport, timeoutMs: controlTimeoutMs,
	});
}

/**
 * Gives an engine an order.
 *
 * @param mayStillSend Asked once the connection is open, right before the order is written.
 * @returns The status: 200, or 409 when the engine saw a higher fencing token.
 * @throws {TransportError} When `mayStillSend` said no, or the connection failed.
 */
export async function sendOrder(engineUrl: string, order: EngineOrder, mayStillSend: () => boolean): Promise<number> {
	const answer = await requestJson({
		method: 'POST', url: `${engineUrl}/v1/orders`, payload: order, timeoutMs: controlTimeoutMs, mayStillSend,
	});
	return answer.statusCode;
}
