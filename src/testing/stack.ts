/**
 * Test helpers that start a small local stack of real processes on loopback and
 * wait until it serves. Each test file takes its own port range.
 */
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {startStack, waitUntil, writeStackSettings} from '../../scripts/stack.mjs';
import {requestJson, requestStream} from '../transport/http-client.js';
import {readEvents} from '../transport/sse.js';

/** A small topology: one model on two engines, one service, three gateways. */
export function smallTopology(basePort: number, overrides: Record<string, unknown> = {}): Record<string, unknown> {
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

/** Whether the process with these settings answers on its port. */
async function isListening(settingsFile: string): Promise<boolean> {
	const {listen} = JSON.parse(readFileSync(settingsFile, 'utf8')) as {listen: {host: string; port: number}};
	const answer = await requestJson({method: 'GET', url: `http://${listen.host}:${listen.port}/debug/state`, timeoutMs: 500});
	return answer.statusCode > 0;
}

/** Whether a gateway is ready and has heard from every engine it knows. */
async function isServing({url, adminUrl}: {url: string; adminUrl: string}): Promise<boolean> {
	const ready = await requestJson({method: 'GET', url: `${url}/ready`, timeoutMs: 500});
	const {loads} = await readState<{loads: Record<string, {healthy: boolean; report?: unknown}>}>(adminUrl);
	return ready.statusCode === 200 && Object.values(loads).every(view => view.healthy && view.report !== undefined);
}

/** Starts a topology's processes and waits until each answers and every gateway serves. */
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

/** A stream as a caller received it. */
export type ReceivedStream = {status: number; outcome: unknown; requestId: string | undefined; text: string; seqs: number[]; done: boolean};

/** What a caller asks of a gateway, and what to do on each token received so far. */
export type CallerStream = {
	url: string;
	prompt: string;
	maxTokens: number;
	headers?: Record<string, string>;
	apiKey?: string;
	onToken?: (received: ReceivedStream) => Promise<void> | void;
};

/** Streams one completion as a caller; a connection that breaks ends it undone. */
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
		status: response.statusCode ?? 0, outcome: response.headers['x-sesametally-outcome'], requestId: response.headers['x-request-id'] as string | undefined, text: '', seqs: [], done: false,
	};
	try {
		for await (const data of readEvents(response)) {
			if (data === '[DONE]') {
				received.done = true;
				break;
			}

			const chunk = JSON.parse(data) as {seq: number; choices: Array<{text: string}>};
			received.seqs.push(chunk.seq);
			received.text += chunk.choices[0].text;
			await onToken?.(received);
		}
	} catch {
		// The connection broke: what was received stands.
	}

	return received;
}

/** Publishes a preset through the first gateway and puts it in force. */
export async function publishPreset(stack: TestStack, preset: {name: string} & Record<string, unknown>): Promise<void> {
	const {adminUrl} = stack.gateways[0];
	const headers = {authorization: 'Bearer desk-ops-token-0001'};
	const changes = [{path: 'presets', payload: {preset}}, {path: 'activate', payload: {name: preset.name}}];
	for (const {path: action, payload} of changes) {
		// eslint-disable-next-line no-await-in-loop -- the second change builds on the first.
		const answer = await requestJson<{accepted?: boolean}>({
			method: 'POST', url: `${adminUrl}/admin/${action}`, payload, headers, timeoutMs: 20_000,
		});
		if (answer.body.accepted !== true) {
			throw new Error(`${action} answered ${answer.statusCode}: ${JSON.stringify(answer.body)}`);
		}
	}
}

/** Posts fault switches to a stand-in. */
export async function setFaults(url: string, faults: Record<string, unknown>): Promise<void> {
	await requestJson({method: 'POST', url: `${url}/admin/faults`, payload: faults});
}

/** Reads the `state` part of a process's dump. */
export async function readState<T>(url: string): Promise<T> {
	const dump = await requestJson<{state: T}>({method: 'GET', url: `${url}/debug/state`, timeoutMs: 1000});
	return dump.body.state;
}

/** The process of a stack by its name. */
export function pidOf(stack: TestStack, name: string): number {
	return stack.running.children.find(child => child.name === name)!.child.pid!;
}
