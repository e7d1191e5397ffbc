import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {requestJson} from '../../transport/http-client.js';
import {generateCompletionText} from '../../standins/engine-output.js';
import {
	findProcessId, readState, receiveStream, setFaults, buildSmallTopology, startTestStack, type TestStack, waitUntil,
} from '../../testing/stack.js';

const basePort = 25_000;
const maxTokens = 300;
const engineUrls = [0, 1, 2, 3].map(index => `http://127.0.0.1:${basePort + 100 + index}`);

type Counters = {completions: {recomputedTokens: number; moves: number; kvMoves: number; resumes: number}};
type EngineState = {id: string; powered: boolean; completionsTaken: number; load: {running: number}};

let stack: TestStack;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(basePort, {
		failureDomains: ['fd-a', 'fd-b'], models: [{name: 'desk', replicas: 4}], cloud: {reclaimNoticeMs: 2000}, vmListLagMs: 2000,
	}));
});

afterAll(async () => {
	await stack?.running.stop();
});

async function counters(gateway: number): Promise<Counters['completions']> {
	const state = await readState<Counters>(stack.gateways[gateway].adminUrl);
	return state.completions;
}

describe('a stream whose connection to its gateway breaks resumes at another gateway from the retained KV cache when', () => {
	it.each([
		{
			name: 'the gateway is killed', gateway: 2, breakOff() {
				process.kill(findProcessId(stack, 'gateway-2'), 'SIGKILL');
			},
		},
		{
			name: 'the caller loses the connection', gateway: 1, breakOff() {
				throw new Error('connection lost');
			},
		},
	])('$name', async ({name, gateway, breakOff}) => {
		const prompt = `lease summary: ${name}`;
		const first = await receiveStream({
			url: stack.gateways[gateway].url,
			prompt,
			maxTokens,
			onToken({seqs}) {
				if (seqs.length === 40) {
					breakOff();
				}
			},
		});
		expect(first.isDone).toBe(false);
		const seen = first.seqs.length;
		const before = await counters(0);
		const rest = await receiveStream({
			url: stack.gateways[0].url, prompt, maxTokens, headers: {'x-request-id': first.requestId!, 'last-event-id': String(seen - 1)},
		});
		expect(rest.isDone).toBe(true);
		expect(rest.seqs[0]).toBe(seen);
		expect(first.text + rest.text).toBe(generateCompletionText(prompt, maxTokens));
		const after = await counters(0);
		expect(after.recomputedTokens).toBe(before.recomputedTokens);
	});
});

describe('an announced reclaim of a failure domain', () => {
	it('moves every stream with its KV cache, interrupts none, and sends no new work to the domain', async () => {
		const prompts = Array.from({length: 24}, (_, index) => `contract ${index} of the wave`);
		const before = await counters(0);
		const streams = prompts.map(async prompt => receiveStream({url: stack.gateways[0].url, prompt, maxTokens}));
		await waitUntil(async () => {
			const states = await Promise.all(engineUrls.map(async url => readState<EngineState>(url)));
			return states.filter(state => state.load.running > 0).length >= 3;
		});
		await requestJson({method: 'POST', url: `${stack.cloudUrl}/admin/reclaim`, payload: {failureDomain: 'fd-a'}});
		await waitUntil(async () => {
			const state = await readState<{backendServers: Array<{id: string; state: string}>}>(stack.gateways[0].adminUrl);
			return state.backendServers.filter(entry => entry.state === 'leaving').length === 2;
		});
		const taken = await Promise.all([0, 2].map(async index => readState<EngineState>(engineUrls[index])));
		const answers = await Promise.all(streams);
		const late = await Promise.all(prompts.map(async prompt => receiveStream({url: stack.gateways[0].url, prompt: `${prompt}, late`, maxTokens: 4})));
		for (const [index, answer] of answers.entries()) {
			expect(answer.text).toBe(generateCompletionText(prompts[index], maxTokens));
		}

		expect(late.every(answer => answer.isDone)).toBe(true);
		const after = await counters(0);
		expect(after.kvMoves - before.kvMoves).toBeGreaterThan(0);
		expect(after.kvMoves).toBe(after.moves);
		expect(after.recomputedTokens).toBe(before.recomputedTokens);
		expect(after.resumes).toBe(before.resumes);
		await waitUntil(async () => {
			const states = await Promise.all([0, 2].map(async index => readState<EngineState>(engineUrls[index])));
			return states.every((state, index) => !state.powered && state.completionsTaken === taken[index].completionsTaken);
		});
	});

	it('recomputes tokens, and still interrupts no stream, when engines refuse the export', async () => {
		await Promise.all([1, 3].map(async index => setFaults(engineUrls[index], {refuseExport: true})));
		await Promise.all(['fd-a'].map(async failureDomain => requestJson({
			method: 'POST', url: `${stack.cloudUrl}/vms`, payload: {
				requestId: `start-${failureDomain}`, failureDomain, machineClass: 'small', reclaimable: false,
			},
		})));
		// The new VM starts without a model, so it is ordered to load one, as the controller would do.
		const slotUrl = engineUrls[0];
		await waitUntil(async () => {
			const state = await readState<EngineState>(slotUrl);
			return state.powered;
		});
		await requestJson({method: 'POST', url: `${slotUrl}/v1/orders`, payload: {kind: 'load-model', model: 'desk', fencingToken: 0}});
		await waitUntil(async () => {
			const state = await readState<{backendServers: Array<{id: string}>; loads: Record<string, {report?: {model?: string}}>}>(stack.gateways[0].adminUrl);
			return Object.values(state.loads).some(view => view.report?.model === 'desk') && state.backendServers.some(entry => entry.id.startsWith('vm-'));
		});
		const prompts = Array.from({length: 8}, (_, index) => `letter ${index} of the second wave`);
		const before = await counters(1);
		const streams = prompts.map(async prompt => receiveStream({url: stack.gateways[1].url, prompt, maxTokens}));
		await waitUntil(async () => {
			const states = await Promise.all([1, 3].map(async index => readState<EngineState>(engineUrls[index])));
			return states.some(state => state.load.running > 0);
		});
		await requestJson({method: 'POST', url: `${stack.cloudUrl}/admin/reclaim`, payload: {failureDomain: 'fd-b'}});
		const answers = await Promise.all(streams);
		for (const [index, answer] of answers.entries()) {
			expect(answer.text).toBe(generateCompletionText(prompts[index], maxTokens));
		}

		const after = await counters(1);
		expect(after.recomputedTokens).toBeGreaterThan(before.recomputedTokens);
	});
});
