/**
 * Writes the final answers to clients. 408, 421, 429 and 503 guarantee that the request has not
 * run and never will; 502 and 504 guarantee nothing.
 */
import {type ServerResponse} from 'node:http';
import {hopByHopHeaders} from '../../transport/hop-by-hop-headers.js';
import {writeErrorResponse} from '../../transport/front-server.js';

/** Bounds of the Retry-After of a refusal, in milliseconds. */
const minRetryAfterMs = 150;
const maxRetryAfterMs = 2000;
/** Upper bound of Retry-After, as a share of the client's remaining time: clients wait at most a third of it. */
const retryAfterShare = 0.25;

/** The statuses that guarantee to a client that its request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether a status guarantees to a client that its request has not run. */
export function promisesNotRun(status: number): boolean {
	return notRunStatuses.has(status);
}

/** Returns the headers of a backend server's answer that are forwarded to the client, as alternating names and values. */
export function filterForwardedHeaders(rawHeaders: string[]): string[] {
	const headers: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (!hopByHopHeaders.has(rawHeaders[index].toLowerCase())) {
			headers.push(rawHeaders[index], rawHeaders[index + 1]);
		}
	}

	return headers;
}

/** Chooses the Retry-After of a refusal in milliseconds: with jitter, and short enough that the client still has time for a retry. */
export function chooseRetryAfterMs(remainingMs: number, desiredMs: number): number {
	const maxMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, remainingMs * retryAfterShare));
	return addRetryJitter(Math.min(maxMs, Math.max(minRetryAfterMs, desiredMs)));
}

/** Adds up to a quarter of jitter, so that clients that were refused together do not retry together. */
export function addRetryJitter(retryAfterMs: number): number {
	return retryAfterMs * (1 + (Math.random() / 4));
}

/** Writes a refusal: the request has not run and never will. */
export function writeRefusal(response: ServerResponse, status: 429 | 503, reason: string, retryAfterMs: number): void {
	writeErrorResponse(response, status, reason, {'Retry-After': (retryAfterMs / 1000).toFixed(2)});
}

/** Writes the complete answer of a backend server. */
export function writeBackendAnswer(response: ServerResponse, status: number, rawHeaders: string[], body: Uint8Array): void {
	const headers = filterForwardedHeaders(rawHeaders);
	const hasBody = status !== 204 && status !== 304;
	response.writeHead(status, hasBody ? [...headers, 'Content-Length', String(body.length)] : headers);
	response.end(hasBody ? body : undefined);
}
