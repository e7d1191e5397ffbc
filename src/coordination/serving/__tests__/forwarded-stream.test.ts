/**
 * Guards against taking a truncated stream for a complete one: when a run is closed while the
 * client reads too slowly, the engine's answer ends as if it were complete, with events unread.
 */
import {Writable} from 'node:stream';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {BackendState, RequestKind} from '../../../protocol/serving.js';
import {BackendConnectionPool, sendBackendRequest} from '../../../transport/backend-connection-pool.js';
import {Placement} from '../../placement.js';
import {DispatchKind} from '../dispatcher.js';
import {ForwardedStream, InterruptCause, RunEnd} from '../forwarded-stream.js';
import {ServedRequest} from '../served-request.js';

/** A client that accepts one event and then stops reading. */
class StalledResponse extends Writable {
	headersSent = false;

	constructor() {
		super({highWaterMark: 1});
	}

	writeHead(): void {
		this.headersSent = true;
	}

	override _write(): void {
		// The write never completes.
	}
}

/** Creates the request of a stream. */
function servedRequest(): ServedRequest {
	return new ServedRequest({
		request: {
			id: 'q', host: 'h', path: '/', method: 'POST', apiKey: undefined, deadlineMs: undefined, promptTokens: undefined, maxOutputTokens: undefined, expectedOutputTokens: undefined, promptParts: [], lastEventId: undefined, resumedRequestId: undefined, forwardedHeaders: [],
		},
		route: {
			name: 'r', host: 'h', pathPrefix: '/', kind: RequestKind.Streaming, timeoutMs: 1000, latencyTargetMs: 100, priority: 0, attempts: 2, isPublic: true, isResumable: true, targets: [],
		},
		service: 's',
		account: undefined,
		body: new Uint8Array(),
		response: undefined as never,
		signal: new AbortController().signal,
		arrivedAtMs: 0,
		configVersion: 1,
	});
}

describe('a stream paused by a slow client', () => {
	it('does not count as complete when its run is closed with events unread', async () => {
		const server = createServer((_, response) => {
			response.write('id: 1\ndata: x\n\n');
			setTimeout(() => {
				response.end(Array.from({length: 39}, (_, index) => `id: ${index + 2}\ndata: x\n\n`).join(''));
			}, 20);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const backend = {
			id: 'e', name: 'e', startedAtMs: undefined, service: 's', version: 'v1', host: '127.0.0.1', port: (server.address() as AddressInfo).port, failureDomain: 'fd', slots: 1, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
		};
		const abort = new AbortController();
		const pool = new BackendConnectionPool();
		const answer = await sendBackendRequest(pool, {
			backend, method: 'GET', path: '/', headers: ['Host', 'x'], body: undefined, isRetryable: true, connectTimeoutMs: 1000, signal: abort.signal,
		});
		const stream = new ForwardedStream(servedRequest(), new StalledResponse() as unknown as ServerResponse, () => undefined, () => 0);
		const ended = stream.forwardRun({
			kind: DispatchKind.Answer, backend, answer, abort, metadata: undefined as never, running: new Placement('fd').begin('e', 0, [], 0), attempt: {
				backendId: 'e', address: '127.0.0.1:80', version: 'v1', costMs: 0, sentAfterMs: 0, result: 'sent',
			},
		});
		await delay(100);
		expect(stream.isPaused).toBe(true);
		stream.interrupt(InterruptCause.Deadline);
		expect(await ended).toBe(RunEnd.Interrupted);
		expect(stream.events).toBeLessThan(40);
		pool.destroy();
		server.close();
	});
});
