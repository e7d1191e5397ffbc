/**
 * The daemon's own final answers. 429 and 503 promise that the request has not run and
 * never will; 502 and 504 promise nothing.
 */
import {type ServerResponse} from 'node:http';
import {connectionHeaders} from '../../transport/connection-headers.js';
import {writeOwnAnswer} from '../../transport/front-server.js';

/** Shortest and longest Retry-After after a refusal, in milliseconds. */
const shortestReturnMs = 150;
const longestReturnMs = 2000;
/** Share of the client's time left after which it should return: clients wait at most a third of it. */
const returnShare = 0.25;

/** The headers of a backend server's answer that go on to the client, as name and value by turns. */
export function passedHeaders(rawHeaders: string[]): string[] {
	const headers: string[] = [];
	for (let index = 0; index < rawHeaders.length; index += 2) {
		if (!connectionHeaders.has(rawHeaders[index].toLowerCase())) {
			headers.push(rawHeaders[index], rawHeaders[index + 1]);
		}
	}

	return headers;
}

/** When a refused client should return: spread out, and early enough that it still has time. */
export function returnAfterMs(remainingMs: number, wantedMs: number): number {
	const mostMs = Math.min(longestReturnMs, Math.max(shortestReturnMs, remainingMs * returnShare));
	return spreadReturn(Math.min(mostMs, Math.max(shortestReturnMs, wantedMs)));
}

/** Spreads the return of clients that were refused together: later by up to a quarter. */
export function spreadReturn(afterMs: number): number {
	return afterMs * (1 + (Math.random() / 4));
}

/** Refuses a request that has not run and never will. */
export function refuse(response: ServerResponse, status: 429 | 503, reason: string, retryAfterMs: number): void {
	writeOwnAnswer(response, status, reason, {'Retry-After': (retryAfterMs / 1000).toFixed(2)});
}

/** Passes on a whole answer of a backend server. */
export function passWhole(response: ServerResponse, status: number, statusText: string, rawHeaders: string[], body: Uint8Array): void {
	const headers = passedHeaders(rawHeaders);
	const hasBody = status !== 204 && status !== 304;
	response.writeHead(status, statusText, hasBody ? [...headers, 'Content-Length', String(body.length)] : headers);
	response.end(hasBody ? body : undefined);
}
