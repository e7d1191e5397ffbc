/** Guards against a request that reaches a backend server after it was cancelled. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {BackendConnectionPool} from '../../../transport/backend-connection-pool.js';
import {RetryPurpose} from '../../retry-budget.js';
import {DispatchKind, Dispatcher, type DispatcherDependencies} from '../dispatcher.js';
import {ServedRequest, type ServedRequestInputs} from '../served-request.js';

const slotWaitMs = 50;
const nothing = () => undefined;
let received = 0;
let endedSlots = 0;
let server: Server;

/** Creates a dispatcher whose slots are granted after a while. */
function createDispatcher(): Dispatcher {
	const dependencies = {
		dialect: {backendHeaders: () => ['Host', 'h'], readAnswer: () => ({requestId: 'r', isSealed: true})},
		slots: {
			async acquire() {
				await delay(slotWaitMs);
				return {
					end() {
						endedSlots++;
					},
				};
			},
			leases: {noteLoad: nothing},
		},
		quarantine: {isEmpty: true},
		placement: {begin: () => ({end: nothing}), noteFailure: nothing},
		reachability: {noteSent: () => nothing, noteConnected: nothing},
		tolerances: {noteAnswer: nothing},
		statedLimits: {noteStated: nothing},
		rollouts: {noteAnswer: nothing},
		versions: {isMixed: () => false},
		crashWatch: {recordBrokenRun: async () => undefined},
		pool: new BackendConnectionPool(),
		clock: {now: () => performance.now(), wallTimeMs: () => Date.now()},
	};
	const dispatcher = new Dispatcher(dependencies as unknown as DispatcherDependencies);
	Object.assign(dispatcher.selector, {tryContinueMoved: () => true, chargeRateLimit: () => false});
	return dispatcher;
}

beforeEach(async () => {
	received = 0;
	endedSlots = 0;
	server = createServer((_request, response) => {
		received++;
		response.end();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

afterEach(() => {
	server.closeAllConnections();
	server.close();
});

describe('Dispatcher', () => {
	it.each([
		{name: 'nobody', isDelivered: true},
		{name: 'the caller', isDelivered: false},
		{name: 'the client', isDelivered: false},
	])('delivers a request: $isDelivered, when $name cancels it while it waits for a slot', async ({name, isDelivered}) => {
		const [caller, client] = [new AbortController(), new AbortController()];
		const inputs = {
			request: {
				id: 'r', method: 'POST', path: '/', deadlineMs: 5000,
			}, route: {
				kind: 'idempotent', timeoutMs: 5000, latencyTargetMs: 200, attempts: 2,
			}, service: 's', body: new Uint8Array(), signal: client.signal, arrivedAtMs: performance.now(),
		};
		const target = {
			id: 'b', name: 'b', host: '127.0.0.1', port: (server.address() as AddressInfo).port, service: 's', failureDomain: 'fd', version: 'v1',
		};
		const sent = createDispatcher().send(new ServedRequest(inputs as unknown as ServedRequestInputs), {
			target: target as never, purpose: RetryPurpose.Move, firstByteTimeoutMs: 5000, signal: caller.signal,
		});
		await delay(slotWaitMs / 5);
		if (name !== 'nobody') {
			(name === 'the caller' ? caller : client).abort();
		}

		const result = await sent;
		await delay(slotWaitMs);
		expect(received).toBe(isDelivered ? 1 : 0);
		expect(result.kind).toBe(isDelivered ? DispatchKind.Answer : DispatchKind.NotRun);
		expect(endedSlots).toBe(isDelivered ? 0 : 1);
	});
});
