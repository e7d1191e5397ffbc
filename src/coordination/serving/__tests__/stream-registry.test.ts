import {describe, expect, it} from 'vitest';
import {RequestKind, type Route} from '../../../protocol/serving.js';
import {Flight} from '../flight.js';
import {ServedRequest} from '../served-request.js';
import {shouldMove} from '../stream-registry.js';

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: RequestKind.Streaming, timeoutMs: 15_000, latencyTargetMs: 1000, priority: 0, attempts: 1, isPublic: true, isResumable: false, targets: [],
};

/** A stream that has delivered events at a steady pace and expects a number of tokens in all. */
function createFlight(events: number, msPerEvent: number, expectedTokens: number | undefined): Flight {
	const served = new ServedRequest({
		request: {
			id: 'q', host: 'h', path: '/', method: 'POST', apiKey: undefined, deadlineMs: 15_000, promptTokens: 100, maxOutputTokens: undefined, expectedOutputTokens: expectedTokens, promptParts: [], lastEventId: undefined, forwardedHeaders: [],
		},
		route,
		service: 's',
		account: undefined,
		body: new Uint8Array(),
		response: undefined as never,
		signal: new AbortController().signal,
		arrivedAtMs: 0,
		configVersion: 1,
	});
	const flight = new Flight(served, undefined as never, () => undefined, () => 0);
	flight.events = events;
	flight.firstEventAtMs = 0;
	flight.progressAtMs = (events - 1) * msPerEvent;
	return flight;
}

describe('shouldMove', () => {
	// An event holds five tokens; the engine leaves at 10 s.
	it.each([
		{
			name: 'not while there is much time', flight: createFlight(10, 50, 1000), nowMs: 8000, expected: false,
		},
		{
			name: 'a long stream shortly before', flight: createFlight(10, 50, 1000), nowMs: 9000, expected: true,
		},
		{
			name: 'not one that ends in time', flight: createFlight(10, 50, 75), nowMs: 9000, expected: false,
		},
		{
			name: 'one whose length is unknown', flight: createFlight(10, 50, undefined), nowMs: 9000, expected: true,
		},
		{
			name: 'one that has no pace yet', flight: createFlight(1, 50, 75), nowMs: 9000, expected: true,
		},
	])('$name: $expected', ({flight, nowMs, expected}) => {
		expect(shouldMove(flight, 5, 10_000, nowMs)).toBe(expected);
	});
});
