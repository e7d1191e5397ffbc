// Shared functions of the experiments: they start a local stack per experiment, run the bench as a process and read
// the processes' states. All ports are below the ephemeral range (32768 and up), where outgoing connections could
// already use them.
import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import Wreck from '@hapi/wreck';
import {startStack, waitUntil, writeStackSettings} from '../stack.mjs';

const binary = path.resolve('dist/sesametally.cjs');
/** Numbers of gateways that an experiment measures, from CAPACITY_COUNTS if set. */
export const gatewayCounts = process.env.CAPACITY_COUNTS?.split(',').map(Number) ?? [3, 9, 27, 81];
/** Admin token of the operator team in each stack. */
export const operatorToken = 'capacity-ops-token-0001';
/** API key of the client account in each stack. */
export const apiKey = 'capacity-account-key';

/** Creates the topology of a stack with one gateway and one engine, changed by `overrides`. */
function createTopology(basePort, overrides) {
	return {
		name: 'capacity',
		failureDomains: ['fd-a', 'fd-b', 'fd-c'],
		basePort,
		callerPort: basePort + 1000,
		adminPort: basePort + 2000,
		gateways: 1,
		models: [{name: 'desk', replicas: 1}],
		services: [],
		teams: [{name: 'capacity-ops', token: operatorToken, role: 'operator'}],
		accounts: [{name: 'capacity', apiKeys: [apiKey]}],
		maxBatch: 512,
		tpotMs: 10,
		...overrides,
	};
}

/** Returns the parsed JSON that a GET answers. Throws after 5 s. */
export async function getJson(url) {
	const {payload} = await Wreck.get(url, {json: true, timeout: 5000});
	return payload;
}

/** Posts JSON with a bearer token; returns the status and the parsed answer. Throws after 30 s. */
export async function postJson(url, body, token) {
	const response = await fetch(url, {
		method: 'POST',
		body: JSON.stringify(body),
		headers: {'content-type': 'application/json', authorization: `Bearer ${token}`},
		signal: AbortSignal.timeout(30_000),
	});
	return {status: response.status, body: await response.json()};
}

/**
 * Starts a local stack, waits until all gateways answer and `options.settleMs` milliseconds more, calls `run`, and stops
 * the stack in any case. Throws if a gateway doesn't answer in time.
 */
export async function withStack(options, run) {
	const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-capacity-'));
	const stack = writeStackSettings(createTopology(options.basePort, options.topology), dir);
	process.stderr.write(`capacity: starting ${stack.processes.length} processes\n`);
	const running = startStack(stack.processes, {quiet: process.env.CAPACITY_VERBOSE === undefined});
	try {
		for (const gateway of stack.gateways) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await waitUntil(async () => {
					const response = await fetch(`${gateway.adminUrl}/debug/state`, {signal: AbortSignal.timeout(2000)});
					return response.ok;
				});
			} catch (error) {
				const exited = running.children.filter(({child}) => child.exitCode !== null).map(({name, child}) => `${name} exited ${child.exitCode}`);
				throw new Error(`${gateway.id} did not answer; ${exited.join(', ') || 'no process exited'}`, {cause: error});
			}
		}

		await delay(options.settleMs ?? 1500);
		return await run({stack, dir, running});
	} finally {
		await running.stop();
	}
}

/** Runs `sesametally bench` with an experiment, using files in `dir`, and returns its report. */
export function runBench(experiment, dir, name) {
	const file = path.join(dir, `${name}.json`);
	const out = path.join(dir, `${name}-report.json`);
	writeFileSync(file, JSON.stringify(experiment));
	execFileSync(process.execPath, [binary, 'bench', '--experiment', file, '--out', out], {env: {...process.env, SESAMETALLY_LOG: 'off'}, stdio: ['ignore', 'ignore', 'inherit']});
	return JSON.parse(readFileSync(out, 'utf8'));
}

/** Creates a bench experiment that sends a steady load to a URL, changed by `overrides`. */
export function loadExperiment(url, overrides) {
	return {
		seed: 7,
		gateways: [url],
		accounts: [{apiKey, share: 1}],
		model: 'desk',
		ratePerSecond: 50,
		durationMs: 5000,
		maxRequests: 100_000,
		promptWords: {min: 50, max: 200},
		maxTokens: {min: 16, max: 32},
		...overrides,
	};
}

/** Reads a gateway's state dump. */
export async function readState(adminUrl) {
	return getJson(`${adminUrl}/debug/state`);
}

/** Returns the arithmetic mean. */
export function mean(values) {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}

