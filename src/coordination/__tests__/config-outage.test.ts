import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {startStack} from '../../../scripts/stack.mjs';
import {requestJson} from '../../transport/http-client.js';
import {
	findProcessId, publishPreset, readState, receiveStream, setFaults, buildSmallTopology, startTestStack, type TestStack, waitUntil,
} from '../../testing/stack.js';

const retentionMs = 2000;
const preset = (name: string) => ({name, limits: {default: {requestsPerSecond: 100, burst: 100, maxConcurrent: 50}}});

type GatewayState = {config: {version: number; active?: string; known: boolean; presets: string[]; appliedOffset: number}};

let stack: TestStack;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(28_000, {retentionMs, controller: {leaseMs: 1000, passMs: 100}}));
});

afterAll(async () => {
	await stack?.running.stop();
});

async function config(gateway: number): Promise<GatewayState['config']> {
	const state = await readState<GatewayState>(stack.gateways[gateway].adminUrl);
	return state.config;
}

async function readiness(gateway: number): Promise<number> {
	const answer = await requestJson({method: 'GET', url: `${stack.gateways[gateway].url}/ready`});
	return answer.statusCode;
}

async function isActive(gateway: number, name: string): Promise<boolean> {
	const {active} = await config(gateway);
	return active === name;
}

/** Kills a gateway and starts it again with the same settings. */
async function restartAfterKill(name: string): Promise<void> {
	const old = stack.running.children.find(child => child.name === name)!;
	process.kill(findProcessId(stack, name), 'SIGKILL');
	await old.exited;
	const started = startStack(stack.processes.filter(entry => entry.name === name), {quiet: true});
	stack.running.children.splice(stack.running.children.indexOf(old), 1, ...started.children);
}

describe('an accepted configuration stays active', () => {
	it.each([
		{name: 'through an outage of the log', faults: {outage: true}, recovered: {outage: false}},
		{name: 'while the log is slow', faults: {slowMs: 300}, recovered: {slowMs: 0}},
		{name: 'while the log loses its answers', faults: {loseAnswers: 1}, recovered: {loseAnswers: 0}},
	])('$name', async ({faults, recovered}) => {
		await publishPreset(stack, preset('before'));
		const before = await config(1);
		await setFaults(stack.logUrl, faults);
		const attempt = requestJson<{outcome?: string; accepted?: boolean}>({
			method: 'POST', url: `${stack.gateways[0].adminUrl}/admin/presets`, payload: {preset: preset('during')}, headers: {authorization: 'Bearer desk-ops-token-0001'}, timeoutMs: 30_000,
		});
		await delay(500);
		const during = await config(1);
		expect(during.active).toBe('before');
		expect(during.version).toBeGreaterThanOrEqual(before.version);
		const answer = await receiveStream({url: stack.gateways[1].url, prompt: 'during the fault', maxTokens: 3});
		expect(answer.isDone).toBe(true);
		await setFaults(stack.logUrl, recovered);
		const settled = await attempt;
		expect(settled.body.accepted === true || settled.body.outcome === 'not-run').toBe(true);
		await publishPreset(stack, preset('after'));
		await waitUntil(async () => {
			const active = await Promise.all([isActive(1, 'after'), isActive(2, 'after')]);
			return active.every(Boolean);
		});
	});

	it('on a gateway that starts after its records expired', async () => {
		await publishPreset(stack, preset('kept'));
		const before = await config(1);
		// The records are now older than the retention period, so only snapshots still hold the configuration.
		await delay(retentionMs * 2);
		await restartAfterKill('gateway-0');
		await waitUntil(async () => await readiness(0) === 200);
		const after = await config(0);
		expect(after.active).toBe('kept');
		expect(after.version).toBe(before.version);
		expect(after.presets.toSorted()).toEqual(before.presets.toSorted());
	});

	it('and a gateway that cannot read it refuses requests as not run until it can', async () => {
		await setFaults(stack.logUrl, {outage: true});
		await restartAfterKill('gateway-2');
		await waitUntil(async () => await readiness(2) === 503);
		const refused = await receiveStream({url: stack.gateways[2].url, prompt: 'too early', maxTokens: 3});
		expect(refused.status).toBe(503);
		expect(refused.outcome).toBe('not-run');
		await setFaults(stack.logUrl, {outage: false});
		await waitUntil(async () => await readiness(2) === 200);
		expect(await isActive(2, 'kept')).toBe(true);
	});
});
