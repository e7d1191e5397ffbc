/**
 * Test helpers that start a small local stack of real processes on loopback and
 * wait until it serves. Each test file takes its own port range.
 */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startStack, writeStackSettings} from '../../scripts/stack.mjs';
import {requestJson} from '../transport/http-client.js';

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
		...overrides,
	};
}

/** Starts a topology's processes and waits until every gateway answers. */
export async function startTestStack(topology: Record<string, unknown>) {
	const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-'));
	const stack = writeStackSettings(topology, dir);
	const running = startStack(stack.processes, {quiet: true});
	for (const gateway of stack.gateways) {
		// eslint-disable-next-line no-await-in-loop
		await waitUntil(async () => {
			const answer = await requestJson({method: 'GET', url: `${gateway.adminUrl}/debug/state`, timeoutMs: 500});
			return answer.statusCode === 200;
		});
	}

	return {...stack, running, dir};
}

/**
 * Polls a condition until it holds.
 *
 * @throws {Error} When it does not hold within `timeoutMs`.
 */
export async function waitUntil(condition: () => Promise<boolean>, timeoutMs = 15_000): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	while (Date.now() < deadline) {
		try {
			// eslint-disable-next-line no-await-in-loop
			if (await condition()) {
				return;
			}
		} catch {
			// Not up yet.
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(50);
	}

	throw new Error(`condition not met within ${timeoutMs} ms`);
}
