import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {generateCompletionText} from '../../standins/engine-output.js';
import {
	findProcessId, readState, receiveStream, buildSmallTopology, startTestStack, type TestStack, waitUntil,
} from '../../testing/stack.js';

const basePort = 24_000;
const maxTokens = 150;

type Counters = {completions: {recomputedTokens: number}};

let stack: TestStack;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(basePort, {models: [{name: 'desk', replicas: 3}]}));
});

afterAll(async () => {
	await stack?.running.stop();
});

/** Returns the id of the engine that is running a request, from the engines' state dumps. */
async function busyEngine(): Promise<string> {
	let busy: string | undefined;
	await waitUntil(async () => {
		const states = await Promise.all([0, 1, 2].map(async index => readState<{id: string; load: {running: number}}>(`http://127.0.0.1:${basePort + 100 + index}`).catch(() => undefined)));
		busy = states.find(state => (state?.load.running ?? 0) > 0)?.id;
		return busy !== undefined;
	});
	return busy!;
}

describe('a stream is delivered whole although a process that serves it stops', () => {
	it.each([
		{
			name: 'when its engine is killed', gateway: 0, target: 'engine', signal: 'SIGKILL', recomputes: true,
		},
		{
			name: 'when its engine is stopped gracefully', gateway: 1, target: 'engine', signal: 'SIGTERM', recomputes: false,
		},
		{
			name: 'when its gateway is stopped gracefully', gateway: 2, target: 'gateway', signal: 'SIGTERM', recomputes: false,
		},
	] as const)('$name', async ({gateway, target, signal, recomputes}) => {
		const prompt = `assay dispute letter for ${target} ${signal}`;
		const {url, adminUrl} = stack.gateways[gateway];
		const before = await readState<Counters>(adminUrl);
		let stopped = false;
		const received = await receiveStream({
			url,
			prompt,
			maxTokens,
			async onToken({seqs}) {
				if (!stopped && seqs.length > 20) {
					stopped = true;
					process.kill(findProcessId(stack, target === 'engine' ? await busyEngine() : `gateway-${gateway}`), signal);
				}
			},
		});
		expect(stopped).toBe(true);
		expect(received.text).toBe(generateCompletionText(prompt, maxTokens));
		if (recomputes) {
			const after = await readState<Counters>(adminUrl);
			expect(after.completions.recomputedTokens).toBeGreaterThan(before.completions.recomputedTokens);
		}
	});
});
