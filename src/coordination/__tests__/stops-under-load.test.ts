import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {checkExperiment, FaultAction} from '../../bench/experiment.js';
import {runExperiment} from '../../bench/experiment-runner.js';
import {
	findProcessId, buildSmallTopology, startTestStack, type TestStack,
} from '../../testing/stack.js';

let stack: TestStack;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(20_000, {
		models: [{name: 'desk', replicas: 4}], services: [{name: 'settlement', replicas: 2}], gatewaySettings: {notReadyMs: 500},
	}));
});

afterAll(async () => {
	await stack?.running.stop();
});

describe('planned stops under load interrupt no request', () => {
	it.each([
		// The seeds differ so that the cases use different idempotency keys.
		{name: 'of a gateway and an engine', seed: 3, victims: ['gateway-1', 'desk-2']},
		{name: 'of two engines shortly after each other', seed: 4, victims: ['desk-0', 'desk-1']},
	])('$name', async ({seed, victims}) => {
		const report = await runExperiment(checkExperiment({
			seed,
			gateways: stack.gateways.map(gateway => gateway.url),
			accounts: [{apiKey: 'coop-trading-desk-key', share: 1}],
			model: 'desk',
			ratePerSecond: 40,
			durationMs: 3000,
			maxRequests: 1000,
			promptWords: {min: 20, max: 60},
			maxTokens: {min: 30, max: 90},
			nonIdempotentShare: 0.2,
			service: 'settlement',
			faults: victims.map((victim, index) => ({atMs: 500 + (index * 500), action: FaultAction.Terminate, pid: findProcessId(stack, victim)})),
		}), new AbortController().signal);
		expect(report).toMatchObject({
			whole: report.sent, broken: 0, refused: 0, unknownOutcome: 0, failed: 0,
		});
	});
});
