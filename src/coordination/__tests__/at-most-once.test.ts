import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {requestJson} from '../../transport/http-client.js';
import {
	findProcessId, setFaults, buildSmallTopology, startTestStack, waitUntil,
} from '../../testing/stack.js';

const apiKey = 'coop-trading-desk-key';

let stack: Awaited<ReturnType<typeof startTestStack>>;
let serviceUrl: string;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(23_000));
	serviceUrl = `http://127.0.0.1:${23_000 + 200}`;
});

afterAll(async () => {
	await stack?.running.stop();
});

async function confirm(gateway: number, key: string) {
	return requestJson<Record<string, unknown>>({
		method: 'POST',
		url: `${stack.gateways[gateway].url}/v1/services/settlement/confirm`,
		payload: {lot: key},
		headers: {authorization: `Bearer ${apiKey}`, 'idempotency-key': key, 'x-sesametally-idempotent': 'false'},
		timeoutMs: 20_000,
	});
}

async function executions(): Promise<Record<string, number>> {
	const answer = await requestJson<Record<string, number>>({method: 'GET', url: `${serviceUrl}/executions`});
	return answer.body;
}

describe('a non-idempotent call runs at most once', () => {
	it.each([
		{name: 'when two gateways race for each of several keys', keys: ['race-1', 'race-2', 'race-3', 'race-4'], gateways: [0, 1]},
		{name: 'when three gateways race for one key', keys: ['race-5'], gateways: [0, 1, 2]},
	])('$name', async ({keys, gateways}) => {
		const answers = await Promise.all(keys.flatMap(key => gateways.map(async gateway => ({key, answer: await confirm(gateway, key)}))));
		const counts = await executions();
		for (const key of keys) {
			expect(counts[key] ?? 0).toBeLessThanOrEqual(1);
			const mine = answers.filter(entry => entry.key === key).map(entry => entry.answer);
			expect(mine.filter(answer => answer.statusCode === 200).length).toBeLessThanOrEqual(1);
			for (const answer of mine.filter(answer => answer.statusCode !== 200)) {
				expect(['not-run', 'unknown']).toContain(answer.headers['x-sesametally-outcome']);
			}
		}
	});

	it.each([
		{
			name: 'the answer of the service is lost', fault: 'service', key: 'lost-service-1', firstOutcome: 'unknown',
		},
		{
			name: 'the answers of the log are lost', fault: 'log', key: 'lost-log-1', firstOutcome: undefined,
		},
	])('and is not run again by a retry after $name', async ({fault, key, firstOutcome}) => {
		const url = fault === 'service' ? serviceUrl : stack.logUrl;
		await setFaults(url, {loseAnswers: fault === 'service' ? true : 1});
		const first = await confirm(0, key);
		await setFaults(url, {loseAnswers: fault === 'service' ? false : 0});
		if (firstOutcome !== undefined) {
			expect(first.headers['x-sesametally-outcome']).toBe(firstOutcome);
		}

		const retries = await Promise.all([confirm(1, key), confirm(2, key), confirm(0, key)]);
		const counts = await executions();
		expect(counts[key] ?? 0).toBeLessThanOrEqual(1);
		const successes = [first, ...retries].filter(answer => answer.statusCode === 200);
		expect(successes.length).toBeLessThanOrEqual(1);
		if (successes.length === 0) {
			expect(counts[key] ?? 0).toBeLessThanOrEqual(1);
		}
	});

	it('and is refused without an idempotency key before anything runs', async () => {
		const answer = await requestJson({
			method: 'POST',
			url: `${stack.gateways[0].url}/v1/services/settlement/confirm`,
			payload: {},
			headers: {authorization: `Bearer ${apiKey}`, 'x-sesametally-idempotent': 'false'},
		});
		expect(answer.statusCode).toBe(400);
		expect(answer.headers['x-sesametally-outcome']).toBe('not-run');
	});

	it('and is reported as not run, with its key released, when no backend server could be reached', async () => {
		process.kill(findProcessId(stack, 'settlement-0'), 'SIGKILL');
		await stack.running.children.find(child => child.name === 'settlement-0')!.exited;
		const first = await confirm(0, 'unreached-1');
		expect(first.statusCode).toBe(503);
		expect(first.headers['x-sesametally-outcome']).toBe('not-run');
		expect(first.headers['retry-after']).toBeDefined();
		// The key is free at another gateway once that gateway has read the release.
		await waitUntil(async () => {
			const again = await confirm(1, 'unreached-1');
			return again.statusCode === 503;
		});
	});
});
