/**
 * Guards against streams that are lost with their engine: those not moved before it leaves, and
 * those whose engine restarted while the old connection stayed open.
 */
import {type ServerResponse} from 'node:http';
import {describe, expect, it} from 'vitest';
import {
	type Backend, BackendState, RequestKind, type Route,
} from '../../../protocol/serving.js';
import {BackendTable} from '../../../state/backend-table.js';
import {crashesToQuarantine, initialQuarantineMs, Quarantine} from '../../quarantine/quarantine.js';
import {Rollouts} from '../../rollout/rollouts.js';
import {type StartedAnswer} from '../dispatcher.js';
import {ForwardedStream} from '../forwarded-stream.js';
import {ServedRequest} from '../served-request.js';
import {StreamOriginSharing} from '../stream-origin-sharing.js';
import {shouldMove, StreamRegistry} from '../stream-registry.js';
import {noEvidence} from '../../rollout/__fixtures__/no-evidence.js';

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: RequestKind.Streaming, timeoutMs: 15_000, latencyTargetMs: 1000, priority: 0, attempts: 1, isPublic: true, isResumable: false, targets: [],
};

/** Creates a stream that has delivered events at a steady rate and expects a total number of tokens. */
function createStream(events: number, msPerEvent: number, expectedTokens: number | undefined): ForwardedStream {
	const served = new ServedRequest({
		request: {
			id: 'q', host: 'h', path: '/', method: 'POST', apiKey: undefined, deadlineMs: 15_000, promptTokens: 100, maxOutputTokens: undefined, expectedOutputTokens: expectedTokens, promptParts: [], lastEventId: undefined, resumedRequestId: undefined, forwardedHeaders: [],
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
	const stream = new ForwardedStream(served, response as ServerResponse, () => undefined, () => 0);
	stream.events = events;
	stream.firstEventAtMs = 0;
	stream.lastProgressAtMs = (events - 1) * msPerEvent;
	return stream;
}

describe('shouldMove', () => {
	// An event holds five tokens; the engine leaves at 10 s.
	it.each([
		{
			name: 'a long stream well before its engine leaves', stream: createStream(10, 50, 1000), nowMs: 8000, expected: false,
		},
		{
			name: 'a long stream shortly before its engine leaves', stream: createStream(10, 50, 1000), nowMs: 9000, expected: true,
		},
		{
			name: 'a stream that will end before its engine leaves', stream: createStream(10, 50, 75), nowMs: 9000, expected: false,
		},
		{
			name: 'a stream of unknown length', stream: createStream(10, 50, undefined), nowMs: 9000, expected: true,
		},
		{
			name: 'a stream whose event rate is not known yet', stream: createStream(1, 50, 75), nowMs: 9000, expected: true,
		},
	])('returns $expected for $name', ({stream, nowMs, expected}) => {
		expect(shouldMove(stream, 5, 10_000, nowMs)).toBe(expected);
	});
});

/** Creates an engine that started at `startedAtMs`. */
function startedEngine(startedAtMs: number): Backend {
	return {
		id: `e@${startedAtMs}`, name: 'e', startedAtMs, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 4, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	};
}

/** Creates a registry of streams on the listed backend servers. */
function createRegistry(backends: BackendTable, quarantine = new Quarantine(() => false)): StreamRegistry {
	return new StreamRegistry({
		backends, engines: undefined as never, dispatcher: undefined as never, routes: undefined as never, rollouts: new Rollouts({canaryShare: 0.1}, () => 0, noEvidence), sharing: new StreamOriginSharing({
			versions: {isMixed: () => false}, exchange: {note: () => undefined}, engines: {readStartTime: async () => undefined}, signal: new AbortController().signal,
		}), quarantine, clock: {now: () => 0}, signal: new AbortController().signal,
	});
}

describe('StreamRegistry', () => {
	it.each([
		{name: 'continues while its engine runs', listed: startedEngine(1), isEnded: false},
		{name: 'is closed when its engine has restarted, even if its connection stays open and it may not run again', listed: startedEngine(2), isEnded: true},
	])('a stream $name', ({listed, isEnded}) => {
		const backends = new BackendTable({drainMs: 2000});
		backends.upsert(startedEngine(1), 0);
		const registry = createRegistry(backends);
		const stream = createStream(3, 50, 1000);
		const abort = new AbortController();
		const run: Partial<StartedAnswer> = {backend: startedEngine(1), abort};
		stream.currentRun = run as StartedAnswer;
		registry.add(stream);
		backends.upsert(listed, 100);
		registry.sweep(200);
		expect(abort.signal.aborted).toBe(isEnded);
	});

	it.each([
		{
			name: 'is cancelled while it waits for its answer', hasHead: false, writingSinceMs: undefined, isProbe: false, isCancelled: true,
		},
		{
			name: 'is cancelled after the head of its answer', hasHead: true, writingSinceMs: undefined, isProbe: false, isCancelled: true,
		},
		{
			name: 'goes on once its answer has begun', hasHead: true, writingSinceMs: 100, isProbe: false, isCancelled: false,
		},
		{
			name: 'goes on as the probe after a quarantine', hasHead: true, writingSinceMs: undefined, isProbe: true, isCancelled: false,
		},
	])('a stream whose request becomes known to crash engines $name', ({hasHead, writingSinceMs, isProbe, isCancelled}) => {
		const backends = new BackendTable({drainMs: 2000});
		backends.upsert(startedEngine(1), 0);
		const quarantine = new Quarantine(() => true);
		const stream = createStream(0, 50, 1000);
		const attempt = stream.createAttemptSignal();
		const abort = new AbortController();
		if (hasHead) {
			const run: Partial<StartedAnswer> = {
				backend: startedEngine(1), abort, attempt: {
					backendId: 'e', address: '127.0.0.1:80', version: 'v1', costMs: 0, sentAfterMs: 0, result: 'sent', writingSinceMs,
				},
			};
			stream.currentRun = run as StartedAnswer;
		}

		for (let crash = 0; crash < crashesToQuarantine; crash++) {
			quarantine.recordCrash([stream.served.fingerprints.request], crash, 100);
		}

		const nowMs = isProbe ? 100 + initialQuarantineMs : 200;
		expect(quarantine.admit(stream.served.fingerprints, nowMs) === undefined).toBe(isProbe);
		const registry = createRegistry(backends, quarantine);
		registry.add(stream);
		registry.sweep(nowMs);
		expect(hasHead ? abort.signal.aborted : attempt.aborted).toBe(isCancelled);
	});
});
