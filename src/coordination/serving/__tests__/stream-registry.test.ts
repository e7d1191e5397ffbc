import {type ServerResponse} from 'node:http';
import {describe, expect, it} from 'vitest';
import {
	type Backend, BackendState, RequestKind, type Route,
} from '../../../protocol/serving.js';
import {BackendTable} from '../../../state/backend-table.js';
import {type BegunAnswer} from '../dispatcher.js';
import {Flight} from '../flight.js';
import {ServedRequest} from '../served-request.js';
import {shouldMove, StreamRegistry} from '../stream-registry.js';

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
	const response: Partial<ServerResponse> = {writableNeedDrain: false};
	const flight = new Flight(served, response as ServerResponse, () => undefined, () => 0);
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

/** An engine that started at a time. */
function startedEngine(startedAtMs: number): Backend {
	return {
		id: `e@${startedAtMs}`, name: 'e', startedAtMs, service: 's', host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 4, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	};
}

describe('StreamRegistry', () => {
	it.each([
		{name: 'goes on while its engine does', listed: startedEngine(1), isEnded: false},
		{name: 'ends when its engine has started anew, though its connection stays open and it may not run again', listed: startedEngine(2), isEnded: true},
	])('a stream $name', ({listed, isEnded}) => {
		const backends = new BackendTable({drainMs: 2000});
		backends.upsert(startedEngine(1), 0);
		const registry = new StreamRegistry({
			backends, engines: undefined as never, dispatcher: undefined as never, routes: undefined as never, signal: new AbortController().signal,
		});
		const flight = createFlight(3, 50, 1000);
		const abort = new AbortController();
		const begun: Partial<BegunAnswer> = {backend: startedEngine(1), abort};
		flight.begun = begun as BegunAnswer;
		registry.add(flight);
		backends.upsert(listed, 100);
		registry.sweep(200);
		expect(abort.signal.aborted).toBe(isEnded);
	});
});
