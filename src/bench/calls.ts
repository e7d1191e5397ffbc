/**
 * The calls that the bench makes as a client, and how their outcomes are counted.
 */
import {requestJson, requestStream} from '../transport/http-client.js';
import {readEvents} from '../transport/sse.js';
import {generateCompletionText} from '../standins/engine-output.js';
import {type LatencyHistogram} from './histogram.js';

/** The number of calls sent and of calls with each outcome. */
export type OutcomeCounts = {
	sent: number;
	/** Completed with the whole and correct answer. */
	whole: number;
	/** Completed with a wrong or partial answer. */
	broken: number;
	/** Refused with the outcome `not-run`: the call was not executed. */
	refused: number;
	/** Ended with an error that leaves open whether the call was executed. */
	unknownOutcome: number;
	/** Ended in any other way. */
	failed: number;
};

/** Where a call is sent: the URL of a gateway or of an engine, and the API key. */
type CallTarget = {gateway: string; apiKey: string};
/** A completion request. */
export type CompletionCall = CallTarget & {model: string; prompt: string; maxTokens: number};
/** A call to a plain service. */
export type ServiceCall = CallTarget & {service: string; key: string};
/** The measurements of an experiment: time to first token, inter-token latency and outcomes. */
export type Measurements = {ttft: LatencyHistogram; itl: LatencyHistogram; counts: OutcomeCounts};

/** Streams one completion, records its latencies, and checks the answer byte for byte. */
export async function streamCompletion({gateway, apiKey, model, prompt, maxTokens}: CompletionCall, measurements: Measurements, signal: AbortSignal): Promise<void> {
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
				measurements.counts.refused++;
			} else {
				measurements.counts.failed++;
			}

			return;
		}

		let text = '';
		let lastTokenMs = sentMs;
		let isOutcomeUnknown = false;
		for await (const data of readEvents(response)) {
			if (data === '[DONE]') {
				break;
			}

			const event = JSON.parse(data) as {choices?: Array<{text: string}>; error?: unknown};
			if (event.error !== undefined) {
				isOutcomeUnknown = true;
				break;
			}

			const nowMs = performance.now();
			if (text === '') {
				measurements.ttft.record(nowMs - sentMs);
			} else {
				measurements.itl.record(nowMs - lastTokenMs);
			}

			lastTokenMs = nowMs;
			text += event.choices![0].text;
		}

		if (isOutcomeUnknown) {
			measurements.counts.unknownOutcome++;
		} else if (text === generateCompletionText(prompt, maxTokens)) {
			measurements.counts.whole++;
		} else {
			measurements.counts.broken++;
		}
	} catch {
		measurements.counts.failed++;
	}
}

/** Makes one non-idempotent call to a plain service and counts its outcome. */
export async function callService({gateway, apiKey, service, key}: ServiceCall, counts: OutcomeCounts): Promise<void> {
	try {
		const response = await requestJson({
			method: 'POST',
			url: `${gateway}/v1/services/${service}/confirm`,
			payload: {key},
			headers: {authorization: `Bearer ${apiKey}`, 'idempotency-key': key, 'x-sesametally-idempotent': 'false'},
		});
		const outcome = response.headers['x-sesametally-outcome'];
		if (response.statusCode === 200) {
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

