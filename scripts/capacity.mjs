// Measures the slopes behind docs/CAPACITY.md with the stand-ins on this machine, and prints them as JSON.
// Ports stay below the ephemeral range (32768 and up here), where outgoing connections would take them.
// Each experiment starts its own local stack on loopback, drives it with `sesametally bench`
// or admin calls, reads each process's /debug/state, and stops the stack.
// Usage: node scripts/capacity.mjs [overhead|gateway|peers|config|tracked|all] [--out reports/capacity.json]
// CAPACITY_COUNTS=3,9 narrows the gateway counts of `peers` and `config`.
import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {
	mkdirSync, mkdtempSync, readFileSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startStack, writeStackSettings} from './stack.mjs';

const binary = path.resolve('dist/sesametally.cjs');
const gatewayCounts = process.env.CAPACITY_COUNTS?.split(',').map(Number) ?? [3, 9, 27, 81];
const operatorToken = 'capacity-ops-token-0001';
const apiKey = 'capacity-account-key';

function topology(basePort, overrides) {
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

async function getJson(url) {
	const response = await fetch(url, {signal: AbortSignal.timeout(5000)});
	return response.json();
}

async function postJson(url, body, token) {
	const response = await fetch(url, {
		method: 'POST',
		body: JSON.stringify(body),
		headers: {'content-type': 'application/json', authorization: `Bearer ${token}`},
		signal: AbortSignal.timeout(30_000),
	});
	return {status: response.status, body: await response.json()};
}

async function waitFor(condition, timeoutMs = 30_000) {
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

	throw new Error('timed out');
}

async function withStack(options, body) {
	const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-capacity-'));
	const stack = writeStackSettings(topology(options.basePort, options.topology), dir);
	process.stderr.write(`capacity: starting ${stack.processes.length} processes\n`);
	const running = startStack(stack.processes, {quiet: process.env.CAPACITY_VERBOSE === undefined});
	try {
		for (const gateway of stack.gateways) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await waitFor(async () => {
					const response = await fetch(`${gateway.adminUrl}/debug/state`, {signal: AbortSignal.timeout(2000)});
					return response.ok;
				});
			} catch (error) {
				const exited = running.children.filter(({child}) => child.exitCode !== null).map(({name, child}) => `${name} exited ${child.exitCode}`);
				throw new Error(`${gateway.id} did not answer; ${exited.join(', ') || 'no process exited'}`, {cause: error});
			}
		}

		await delay(options.settleMs ?? 1500);
		return await body({stack, dir});
	} finally {
		await running.stop();
	}
}

function bench(experiment, dir, name) {
	const file = path.join(dir, `${name}.json`);
	const out = path.join(dir, `${name}-report.json`);
	writeFileSync(file, JSON.stringify(experiment));
	execFileSync(process.execPath, [binary, 'bench', '--experiment', file, '--out', out], {env: {...process.env, SESAMETALLY_LOG: 'off'}, stdio: ['ignore', 'ignore', 'inherit']});
	return JSON.parse(readFileSync(out, 'utf8'));
}

function loadExperiment(url, overrides) {
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

async function state(adminUrl) {
	return getJson(`${adminUrl}/debug/state`);
}

function mean(values) {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}

/** Gateway overhead: the same load through one gateway and straight to the engine, interleaved. */
async function overhead() {
	const basePort = 10_000;
	return withStack({basePort}, async ({stack, dir}) => {
		const engineUrl = `http://127.0.0.1:${basePort + 100}`;
		const rounds = [];
		for (let round = 0; round < 2; round++) {
			for (const [via, url] of [['gateway', stack.gateways[0].url], ['direct', engineUrl]]) {
				const report = bench(loadExperiment(url, {ratePerSecond: 100, seed: 11 + round}), dir, `overhead-${via}-${round}`);
				rounds.push({
					via,
					round,
					goodputPerSecond: report.goodputPerSecond,
					whole: report.whole,
					sent: report.sent,
					ttftP50: report.ttftMs.p50,
					ttftP99: report.ttftMs.p99,
					itlP50: report.itlMs.p50,
					itlP99: report.itlMs.p99,
				});
			}
		}

		const ratio = key => mean(rounds.filter(entry => entry.via === 'gateway').map(entry => entry[key])) / mean(rounds.filter(entry => entry.via === 'direct').map(entry => entry[key]));
		return {
			rounds,
			ratio: {
				goodput: ratio('goodputPerSecond'), ttftP50: ratio('ttftP50'), ttftP99: ratio('ttftP99'), itlP50: ratio('itlP50'),
			},
		};
	});
}

/** Gateway CPU and memory per request/s and per streamed token/s. */
async function gateway() {
	return withStack({basePort: 13_000, topology: {models: [{name: 'desk', replicas: 2}]}}, async ({stack, dir}) => {
		const admin = stack.gateways[0].adminUrl;
		const points = [];
		for (const [rate, tokens] of [[25, 16], [50, 16], [100, 16], [200, 16], [50, 64], [100, 64]]) {
			// eslint-disable-next-line no-await-in-loop
			const before = await state(admin);
			const experiment = loadExperiment(stack.gateways[0].url, {ratePerSecond: rate, maxTokens: {min: tokens, max: tokens}, seed: rate + tokens});
			const report = bench(experiment, dir, `gateway-${rate}-${tokens}`);
			// eslint-disable-next-line no-await-in-loop
			const after = await state(admin);
			const seconds = report.elapsedMs / 1000;
			points.push({
				ratePerSecond: rate,
				tokensPerRequest: tokens,
				achievedPerSecond: report.whole / seconds,
				tokensPerSecond: (report.whole * tokens) / seconds,
				cpuCoreShare: (after.process.cpuUs - before.process.cpuUs) / 1e6 / seconds,
				rssBytes: after.process.rssBytes,
				whole: report.whole,
				sent: report.sent,
				ttftP95: report.ttftMs.p95,
				itlP95: report.itlMs.p95,
			});
		}

		return {points};
	});
}

/** Peer traffic, CPU and memory of idle gateways as the gateway count grows. */
async function peers(counts = gatewayCounts) {
	const results = [];
	for (const count of counts) {
		// eslint-disable-next-line no-await-in-loop
		results.push(await withStack({basePort: 16_000, settleMs: 3000, topology: {gateways: count, models: [], heartbeatMs: 1000}}, async ({stack}) => {
			const windowSeconds = 5;
			const sample = stack.gateways.slice(0, Math.min(count, 9));
			const before = await Promise.all(sample.map(async gateway => state(gateway.adminUrl)));
			await delay(windowSeconds * 1000);
			const after = await Promise.all(sample.map(async gateway => state(gateway.adminUrl)));
			const rate = read => mean(after.map((entry, index) => read(entry) - read(before[index]))) / windowSeconds;
			return {
				gateways: count,
				alivePeersSeenByFirst: after[0].state.peers.filter(peer => peer.alive).length,
				bytesSentPerSecond: rate(entry => entry.state.peerTraffic.bytesSent),
				bytesReceivedPerSecond: rate(entry => entry.state.peerTraffic.bytesReceived),
				messagesSentPerSecond: rate(entry => entry.state.peerTraffic.messagesSent),
				cpuCoreShare: rate(entry => entry.process.cpuUs) / 1e6,
				rssBytes: mean(after.map(entry => entry.process.rssBytes)),
			};
		}));
	}

	return {results};
}

/** Time from a publish until every gateway has applied it, as the gateway count grows. */
async function config(counts = gatewayCounts) {
	const results = [];
	for (const count of counts) {
		// eslint-disable-next-line no-await-in-loop
		results.push(await withStack({basePort: 19_000, settleMs: 2000, topology: {gateways: count, models: [], heartbeatMs: 1000}}, async ({stack}) => {
			const samples = [];
			const logBefore = await getJson(`${stack.logUrl}/debug/state`);
			for (let index = 0; index < 5; index++) {
				const startedMs = performance.now();
				const preset = {name: `preset-${index}`, limits: {default: {requestsPerSecond: 10, burst: 10, maxConcurrent: 10}}};
				// eslint-disable-next-line no-await-in-loop
				const published = await postJson(`${stack.gateways[0].adminUrl}/admin/presets`, {preset}, operatorToken);
				const acceptedMs = performance.now() - startedMs;
				const pending = new Set(stack.gateways.map(gateway => gateway.adminUrl));
				while (pending.size > 0) {
					// eslint-disable-next-line no-await-in-loop
					await Promise.all([...pending].map(async url => {
						const dump = await state(url);
						if (dump.state.config.version >= published.body.version) {
							pending.delete(url);
						}
					}));
				}

				samples.push({acceptedMs, everywhereMs: performance.now() - startedMs});
			}

			const logAfter = await getJson(`${stack.logUrl}/debug/state`);
			return {
				gateways: count,
				samples,
				maxEverywhereMs: Math.max(...samples.map(sample => sample.everywhereMs)),
				appends: logAfter.state.appends - logBefore.state.appends,
			};
		}));
	}

	return {results};
}

/** Gateway memory and CPU per backend server tracked. */
async function tracked(counts = [2, 16, 48]) {
	const results = [];
	for (const count of counts) {
		// eslint-disable-next-line no-await-in-loop
		results.push(await withStack({basePort: 22_000, settleMs: 3000, topology: {models: [{name: 'desk', replicas: count}]}}, async ({stack}) => {
			const admin = stack.gateways[0].adminUrl;
			const before = await state(admin);
			await delay(5000);
			const after = await state(admin);
			return {
				backendServers: count,
				cpuCoreShare: (after.process.cpuUs - before.process.cpuUs) / 1e6 / 5,
				rssBytes: after.process.rssBytes,
				heapUsedBytes: after.process.heapUsedBytes,
			};
		}));
	}

	return {results};
}

const experiments = {
	overhead, gateway, peers, config, tracked,
};
const which = process.argv[2] ?? 'all';
const outIndex = process.argv.indexOf('--out');
const results = {};
for (const name of which === 'all' ? Object.keys(experiments) : which.split(',')) {
	process.stderr.write(`capacity: running ${name}\n`);
	// eslint-disable-next-line no-await-in-loop
	results[name] = await experiments[name]();
	process.stdout.write(JSON.stringify({[name]: results[name]}) + '\n');
}

if (outIndex > 0) {
	mkdirSync(path.dirname(process.argv[outIndex + 1]), {recursive: true});
	writeFileSync(process.argv[outIndex + 1], JSON.stringify(results, undefined, 2));
}
