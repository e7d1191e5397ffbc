import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {requestJson, requestStream} from '../../transport/http-client.js';
import {readEvents} from '../../transport/sse.js';
import {generateCompletionText} from '../../standins/engine-output.js';
import {renderChatPrompt} from '../../protocol/openai.js';
import {buildSmallTopology, startTestStack, waitUntil} from '../../testing/stack.js';

const apiKey = 'coop-trading-desk-key';

let stack: Awaited<ReturnType<typeof startTestStack>>;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(21_000));
});

afterAll(async () => {
	await stack?.running.stop();
});

async function streamText(url: string, path: string, payload: Record<string, unknown>): Promise<{status: number; text: string; seqs: number[]; done: boolean}> {
	const response = await requestStream({
		method: 'POST', url: `${url}${path}`, payload: {...payload, stream: true}, headers: {authorization: `Bearer ${apiKey}`},
	});
	let text = '';
	const seqs: number[] = [];
	let done = false;
	for await (const data of readEvents(response)) {
		if (data === '[DONE]') {
			done = true;
			break;
		}

		const chunk = JSON.parse(data) as {seq: number; choices: Array<{text?: string; delta?: {content: string}}>};
		seqs.push(chunk.seq);
		text += chunk.choices[0].text ?? chunk.choices[0].delta!.content;
	}

	return {
		status: response.statusCode ?? 0, text, seqs, done,
	};
}

describe('a local stack', () => {
	it.each([
		{
			name: 'completions, short', path: '/v1/completions', prompt: 'price the cathode lot', maxTokens: 8,
		},
		{
			name: 'completions, long', path: '/v1/completions', prompt: 'summarise the offtake contract '.repeat(40), maxTokens: 120,
		},
		{
			name: 'chat', path: '/v1/chat/completions', prompt: undefined, maxTokens: 20,
		},
	])('streams a complete and exact response: $name', async ({path, prompt, maxTokens}) => {
		const messages = [{role: 'user', content: 'When does the gate open?'}];
		const payload = prompt === undefined ? {model: 'desk', messages, max_tokens: maxTokens} : {model: 'desk', prompt, max_tokens: maxTokens};
		const response = await streamText(stack.gateways[0].url, path, payload);
		expect(response.status).toBe(200);
		expect(response.done).toBe(true);
		expect(response.seqs).toEqual([...Array.from({length: maxTokens}).keys()]);
		expect(response.text).toBe(generateCompletionText(prompt ?? renderChatPrompt(messages), maxTokens));
	});

	it.each([
		{
			name: 'unknown API key', key: 'not-a-key', model: 'desk', status: 401, code: 'invalid_api_key',
		},
		{
			name: 'unknown model', key: apiKey, model: 'nope', status: 404, code: 'model_not_found',
		},
	])('refuses an invalid request before it runs: $name', async ({key, model, status, code}) => {
		const response = await requestJson<{error: {code: string}}>({
			method: 'POST', url: `${stack.gateways[1].url}/v1/completions`, payload: {model, prompt: 'x'}, headers: {authorization: `Bearer ${key}`},
		});
		expect(response.statusCode).toBe(status);
		expect(response.body.error.code).toBe(code);
		expect(response.headers['x-sesametally-outcome']).toBe('not-run');
	});

	it('applies a published and activated preset on all three gateways', async () => {
		const preset = {name: 'peak', limits: {default: {requestsPerSecond: 100, burst: 100, maxConcurrent: 50}}};
		const headers = {authorization: 'Bearer desk-ops-token-0001'};
		const published = await requestJson<{accepted: boolean}>({
			method: 'POST', url: `${stack.gateways[0].adminUrl}/admin/presets`, payload: {preset}, headers,
		});
		expect(published.body.accepted).toBe(true);
		const activated = await requestJson<{accepted: boolean; version: number}>({
			method: 'POST', url: `${stack.gateways[2].adminUrl}/admin/activate`, payload: {name: 'peak'}, headers,
		});
		expect(activated.body.accepted).toBe(true);
		for (const gateway of stack.gateways) {
			// eslint-disable-next-line no-await-in-loop
			await waitUntil(async () => {
				const status = await requestJson<{config: {active: string; version: number}}>({method: 'GET', url: `${gateway.adminUrl}/admin/status`, headers});
				return status.body.config.active === 'peak' && status.body.config.version === activated.body.version;
			});
		}
	});

	it.each([
		{name: 'no token', token: undefined, status: 401},
		{name: 'another team\'s preset', token: 'pricing-ops-token-0001', status: 403},
	])('refuses an admin change: $name', async ({token, status}) => {
		const headers: Record<string, string> = token === undefined ? {} : {authorization: `Bearer ${token}`};
		const preset = {name: 'peak', limits: {default: {requestsPerSecond: 1, burst: 1, maxConcurrent: 1}}};
		await waitUntil(async () => {
			const state = await requestJson<{state: {config: {presets: string[]}}}>({method: 'GET', url: `${stack.gateways[1].adminUrl}/debug/state`});
			return state.body.state.config.presets.includes('peak');
		});
		const response = await requestJson({
			method: 'POST', url: `${stack.gateways[1].adminUrl}/admin/presets`, payload: {preset}, headers,
		});
		expect(response.statusCode).toBe(status);
	});

	it.each([
		{name: 'an activation without a name', path: 'activate', payload: {}},
		{name: 'a drain without a backend server', path: 'drain', payload: {undo: true}},
		{name: 'a preset without limits', path: 'presets', payload: {preset: {name: 'bare'}}},
		{name: 'no body', path: 'presets', payload: undefined},
	])('refuses a malformed admin change: $name', async ({path, payload}) => {
		const response = await requestJson<{error: string}>({
			method: 'POST', url: `${stack.gateways[0].adminUrl}/admin/${path}`, payload, headers: {authorization: 'Bearer desk-ops-token-0001'},
		});
		expect(response.statusCode).toBe(400);
	});

	it.each([
		{action: 'drain', drained: ['desk-0']},
		{action: 'undrain', drained: []},
	])('$action takes effect through the command line', ({action, drained}) => {
		const {adminUrl} = stack.gateways[0];
		const run = (...args: string[]) => {
			const stdout = execFileSync(process.execPath, ['dist/sesametally.cjs', 'admin', ...args, '--url', adminUrl, '--token', 'desk-ops-token-0001'], {encoding: 'utf8'});
			return JSON.parse(stdout) as {accepted?: boolean; config: {drained: string[]}};
		};

		expect(run(action, 'desk-0').accepted).toBe(true);
		expect(run('status').config.drained).toEqual(drained);
	});

	it('lists the other gateways through admin status', async () => {
		const stdout = execFileSync(process.execPath, ['dist/sesametally.cjs', 'admin', 'status', '--url', stack.gateways[0].adminUrl, '--token', 'desk-ops-token-0001'], {encoding: 'utf8'});
		const status = JSON.parse(stdout) as {peers: Array<{id: string; appliedOffset: number}>};
		expect(status.peers.map(peer => peer.id).toSorted()).toEqual(['gateway-1', 'gateway-2']);
	});
});
