/**
 * Test helpers that start a small local stack of real processes on loopback and wait
 * until it is ready. Each test file uses a port range of its own.
 */
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {startStack, waitUntil, writeStackSettings} from '../../scripts/stack.mjs';
import {requestJson, requestStream} from '../transport/http-client.js';
import {readEvents} from '../transport/sse.js';

/**
 * Returns a small topology: one model on two engines, one service and three gateways.
 *
 * @param overrides Topology fields that replace the defaults.
 */
export function buildSmallTopology(basePort: number, overrides: Record<string, unknown> = {}): Record<string, unknown> {
	return {
		name: 'test',
		failureDomains: ['fd-a', 'fd-b'],
		basePort,
		callerPort: basePort + 400,
		adminPort: basePort + 450,
		gateways: 3,
		models: [{name: 'desk', replicas: 2}],
		services: [{name: 'settlement', replicas: 1}],
		teams: [
			{name: 'desk-ops', token: 'desk-ops-token-0001', role: 'operator'},
			{name: 'pricing-ops', token: 'pricing-ops-token-0001', role: 'operator'},
		],
		accounts: [{name: 'trading-desk', apiKeys: ['coop-trading-desk-key']}],
		heartbeatMs: 200,
		gatewaySettings: {notReadyMs: 50},
		...overrides,
	};
}

/**
 * Checks that the process with these settings answers on its port.
 *
 * @throws {TransportError} While it does not answer.
 */
async function isListening(settingsFile: string): Promise<boolean> {
	const {listen} = JSON.parse(readFileSync(settingsFile, 'utf8')) as {listen: {host: string; port: number}};
	const response = await requestJson({method: 'GET', url: `http://${listen.host}:${listen.port}/debug/state`, timeoutMs: 500});
	return response.statusCode > 0;
}

/**
 * Checks that a gateway is ready and has a load report from every engine it knows.
 *
 * @throws {TransportError} While it does not answer.
 */
async function isServing({url, adminUrl}: {url: string; adminUrl: string}): Promise<boolean> {
	const ready = await requestJson({method: 'GET', url: `${url}/ready`, timeoutMs: 500});
	const {loads} = await readState<{loads: Record<string, {healthy: boolean; report?: unknown}>}>(adminUrl);
	return ready.statusCode === 200 && Object.values(loads).every(view => view.healthy && view.report !== undefined);
}

/**
 * Starts the processes of a topology and waits until each answers and every gateway is ready.
 *
 * @throws {Error} When a process is not ready in time.
 */
export async function startTestStack(topology: Record<string, unknown>) {
	const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-'));
	const stack = writeStackSettings(topology, dir);
	const running = startStack(stack.processes, {quiet: true});
	await Promise.all(stack.processes.map(async ({args}) => waitUntil(async () => isListening(args.at(-1)!))));
	await Promise.all(stack.gateways.map(async gateway => waitUntil(async () => isServing(gateway))));
	return {...stack, running, dir};
}

export {waitUntil} from '../../scripts/stack.mjs';

/** A running test stack. */
export type TestStack = Awaited<ReturnType<typeof startTestStack>>;

/** What a caller received of a stream so far. */
export type ReceivedStream = {status: number; outcome: unknown; requestId: string | undefined; text: string; seqs: number[]; isDone: boolean};

/** A caller's streaming request to a gateway; `onToken` is called after each received token. */
export type CallerStream = {
	url: string;
	prompt: string;
	maxTokens: number;
	headers?: Record<string, string>;
	apiKey?: string;
	onToken?: (received: ReceivedStream) => Promise<void> | void;
};

/** Streams one completion as a caller. If the connection breaks, the stream is returned as not done. */
export async function receiveStream({url, prompt, maxTokens, headers, apiKey = 'coop-trading-desk-key', onToken}: CallerStream): Promise<ReceivedStream> {
	const response = await requestStream({
		method: 'POST',
		url: `${url}/v1/completions`,
		payload: {
			model: 'desk', prompt, max_tokens: maxTokens, stream: true,
		},
		headers: {authorization: `Bearer ${apiKey}`, ...headers},
		timeoutMs: 30_000,
	});
	const received: ReceivedStream = {
		status: response.statusCode ?? 0, outcome: response.headers['x-sesametally-outcome'], requestId: response.headers['x-request-id'] as string | undefined, text: '', seqs: [], isDone: false,
	};
	try {
		for await (const data of readEvents(response)) {
			if (data === '[DONE]') {
				received.isDone = true;
				break;
			}

			const chunk = JSON.parse(data) as {seq: number; choices: Array<{text: string}>};
			received.seqs.push(chunk.seq);
			received.text += chunk.choices[0].text;
			await onToken?.(received);
		}
	} catch {
		// The connection broke; the test gets what was received until then.
	}

	return received;
}

/**
 * Publishes a preset through the first gateway and activates it.
 *
 * @throws {Error} When the gateway does not accept one of the two changes.
 */
export async function publishPreset(stack: TestStack, preset: {name: string} & Record<string, unknown>): Promise<void> {
	const {adminUrl} = stack.gateways[0];
	const headers = {authorization: 'Bearer desk-ops-token-0001'};
	const changes = [{path: 'presets', payload: {preset}}, {path: 'activate', payload: {name: preset.name}}];
	for (const {path: action, payload} of changes) {
		// eslint-disable-next-line no-await-in-loop -- a preset must be published before it can be activated.
		const response = await requestJson<{accepted?: boolean}>({
			method: 'POST', url: `${adminUrl}/admin/${action}`, payload, headers, timeoutMs: 20_000,
		});
		if (response.body.accepted !== true) {
			throw new Error(`${action} answered ${response.statusCode}: ${JSON.stringify(response.body)}`);
		}
	}
}

/** Sets fault switches of a stand-in; switches that are not given keep their value. */
export async function setFaults(url: string, faults: Record<string, unknown>): Promise<void> {
	await requestJson({method: 'POST', url: `${url}/admin/faults`, payload: faults});
}

/** Returns the `state` object of a process's `/debug/state` dump. */
export async function readState<T>(url: string): Promise<T> {
	const dump = await requestJson<{state: T}>({method: 'GET', url: `${url}/debug/state`, timeoutMs: 1000});
	return dump.body.state;
}

/** Returns the process id of a stack's process by its name. */
export function findProcessId(stack: TestStack, name: string): number {
	return stack.running.children.find(child => child.name === name)!.child.pid!;
}
