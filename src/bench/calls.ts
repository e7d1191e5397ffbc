/**
 * The calls the bench makes as a caller would, and how each counts.
 */
import {requestJson, requestStream} from '../transport/http-client.js';
import {readEvents} from '../transport/sse.js';
import {completionText} from '../standins/engine-output.js';
import {type LatencyHistogram} from './histogram.js';

/** How the calls of an experiment ended. */
export type Counts = {
	sent: number;
	/** Completed with the whole, correct answer. */
	whole: number;
	/** Completed with a wrong or partial answer. */
	broken: number;
	refused: number;
	unknownOutcome: number;
	failed: number;
};

/** One call the bench makes, to a gateway or straight to an engine. */
type Call = {gateway: string; apiKey: string};
/** A completion to ask for. */
export type CompletionCall = Call & {model: string; prompt: string; maxTokens: number};
/** A service call to make. */
export type ServiceCall = Call & {service: string; key: string};
/** Where the figures of a completion go. */
export type Sinks = {ttft: LatencyHistogram; itl: LatencyHistogram; counts: Counts};

/** Streams one completion and checks its answer byte for byte. */
export async function streamCompletion({gateway, apiKey, model, prompt, maxTokens}: CompletionCall, sinks: Sinks, signal: AbortSignal): Promise<void> {
	const sentMs = performance.now();
	try {
		const response = await requestStream({
			method: 'POST',
			url: `${gateway}/v1/completions`,
			payload: {
				model, prompt, max_tokens: maxTokens, stream: true,
			},
			headers: {authorization: `Bearer ${apiKey}`},
			timeoutMs: 60_000,
			signal,
		});
		if (response.statusCode !== 200) {
			response.resume();
			const outcome = response.headers['x-sesametally-outcome'];
			if (outcome === 'not-run') {
				sinks.counts.refused++;
			} else {
				sinks.counts.failed++;
			}

			return;
		}

		let text = '';
		let lastMs = sentMs;
		let unknown = false;
		for await (const data of readEvents(response)) {
			if (data === '[DONE]') {
				break;
			}

			const event = JSON.parse(data) as {choices?: Array<{text: string}>; error?: unknown};
			if (event.error !== undefined) {
				unknown = true;
				break;
			}

			const nowMs = performance.now();
			if (text === '') {
				sinks.ttft.record(nowMs - sentMs);
			} else {
				sinks.itl.record(nowMs - lastMs);
			}

			lastMs = nowMs;
			text += event.choices![0].text;
		}

		if (unknown) {
			sinks.counts.unknownOutcome++;
		} else if (text === completionText(prompt, maxTokens)) {
			sinks.counts.whole++;
		} else {
			sinks.counts.broken++;
		}
	} catch {
		sinks.counts.failed++;
	}
}

/** Makes one non-idempotent call to a plain service. */
export async function callService({gateway, apiKey, service, key}: ServiceCall, counts: Counts): Promise<void> {
	try {
		const answer = await requestJson({
			method: 'POST',
			url: `${gateway}/v1/services/${service}/confirm`,
			payload: {key},
			headers: {authorization: `Bearer ${apiKey}`, 'idempotency-key': key, 'x-sesametally-idempotent': 'false'},
		});
		const outcome = answer.headers['x-sesametally-outcome'];
		if (answer.statusCode === 200) {
			counts.whole++;
		} else if (outcome === 'not-run') {
			counts.refused++;
		} else if (outcome === 'unknown') {
			counts.unknownOutcome++;
		} else {
			counts.failed++;
		}
	} catch {
		counts.failed++;
	}
}

