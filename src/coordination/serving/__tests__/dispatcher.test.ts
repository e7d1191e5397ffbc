/** Guards against a request that reaches a backend server after it was cancelled, and one whose second delivery gets the answer to its first. */
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {type Backend, BackendState} from '../../../protocol/serving.js';
import {BackendConnectionPool} from '../../../transport/backend-connection-pool.js';
import {RetryPurpose} from '../../retry-budget.js';
import {DispatchKind, Dispatcher, type DispatcherDependencies} from '../dispatcher.js';
import {ServedRequest, type ServedRequestInputs} from '../served-request.js';

const slotWaitMs = 50;
const nothing = () => undefined;
let received = 0;
let endedSlots = 0;
let server: Server;
let answer: (response: ServerResponse, socket: Socket) => void;

/** Creates a dispatcher whose slots are granted after a while. */
function createDispatcher(): Dispatcher {
	const dependencies = {
		dialect: {backendHeaders: () => ['Host', 'h'], readAnswer: (headers: NodeJS.Dict<string>) => ({requestId: 'r', isSealed: true, isNotRun: headers['not-run'] !== undefined})},
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
		retryBudget: {tryTake: () => true, describe: () => ''},
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

/** Returns a request; the signal aborts when its client disconnects. */
function createRequest(signal: AbortSignal, kind = 'idempotent'): ServedRequest {
	const inputs = {
		request: {
			id: 'r', method: 'POST', path: '/', deadlineMs: 5000,
		}, route: {
			kind, timeoutMs: 5000, latencyTargetMs: 200, attempts: 2,
		}, service: 's', body: new Uint8Array(), signal, arrivedAtMs: performance.now(),
	};
	return new ServedRequest(inputs as unknown as ServedRequestInputs);
}

/** Returns the entry of a backend server at the address of the server. */
function createBackend(id: string): Backend {
	return {
		id, name: id, service: 's', version: 'v1', host: '127.0.0.1', port: (server.address() as AddressInfo).port, failureDomain: 'fd', slots: 1, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0, startedAtMs: undefined,
	};
}

beforeEach(async () => {
	received = 0;
	endedSlots = 0;
	answer = response => {
		response.end();
	};

	server = createServer((request, response) => {
		received++;
		answer(response, request.socket);
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
		const sent = createDispatcher().send(createRequest(client.signal), {
			target: createBackend('b'), purpose: RetryPurpose.Move, firstByteTimeoutMs: 5000, signal: caller.signal,
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

	it.each([
		{name: 'another start of the backend server', secondId: 'b@2'},
		{name: 'another entry with its address', secondId: 'c'},
	])('does not take a repeated refusal of the first delivery for the answer to the second one: $name', async ({secondId}) => {
		const refusedSockets = new Set<Socket>();
		answer = (response, socket) => {
			if (refusedSockets.size === 0) {
				response.writeHead(503, {'not-run': '1'}).end();
			} else if (refusedSockets.has(socket)) {
				socket.write('HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n');
			} else {
				response.end();
			}

			refusedSockets.add(socket);
		};

		const dispatcher = createDispatcher();
		const served = createRequest(new AbortController().signal, 'non_idempotent');
		const send = async (id: string) => dispatcher.send(served, {target: createBackend(id), purpose: RetryPurpose.Retry, firstByteTimeoutMs: 5000});
		const first = await send('b@1');
		// The connection returns to the pool.
		await delay(slotWaitMs);
		const second = await send(secondId);
		expect([first.kind, second.kind]).toEqual([DispatchKind.NotRun, DispatchKind.Answer]);
		expect(received).toBe(2);
	});
});
