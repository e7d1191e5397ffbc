// Measures what one gateway costs: its overhead over a direct connection, and its CPU and memory per request, token and tracked engine.
import {setTimeout as delay} from 'node:timers/promises';
import {
	runBench, loadExperiment, mean, readState, withStack,
} from './harness.mjs';

/** Measures the gateway's overhead: the same load through one gateway and directly to the engine, in alternation. */
export async function overhead() {
	const basePort = 10_000;
	return withStack({basePort}, async ({stack, dir}) => {
		const engineUrl = `http://127.0.0.1:${basePort + 100}`;
		const rounds = [];
		for (let round = 0; round < 2; round++) {
			for (const [via, url] of [['gateway', stack.gateways[0].url], ['direct', engineUrl]]) {
				const report = runBench(loadExperiment(url, {ratePerSecond: 100, seed: 11 + round}), dir, `overhead-${via}-${round}`);
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

		const ratioOf = key => mean(rounds.filter(entry => entry.via === 'gateway').map(entry => entry[key])) / mean(rounds.filter(entry => entry.via === 'direct').map(entry => entry[key]));
		return {
			rounds,
			ratio: {
				goodput: ratioOf('goodputPerSecond'), ttftP50: ratioOf('ttftP50'), ttftP99: ratioOf('ttftP99'), itlP50: ratioOf('itlP50'),
			},
		};
	});
}

/** Measures the gateway's CPU and memory at several rates of requests and of streamed tokens. */
export async function gateway() {
	return withStack({basePort: 13_000, topology: {models: [{name: 'desk', replicas: 2}]}}, async ({stack, dir}) => {
		const admin = stack.gateways[0].adminUrl;
		const points = [];
		for (const [rate, tokens] of [[25, 16], [50, 16], [100, 16], [200, 16], [50, 64], [100, 64]]) {
			// eslint-disable-next-line no-await-in-loop
			const before = await readState(admin);
			const experiment = loadExperiment(stack.gateways[0].url, {ratePerSecond: rate, maxTokens: {min: tokens, max: tokens}, seed: rate + tokens});
			const report = runBench(experiment, dir, `gateway-${rate}-${tokens}`);
			// eslint-disable-next-line no-await-in-loop
			const after = await readState(admin);
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

/** Measures the gateway's memory and CPU for several numbers of tracked backend servers. */
export async function tracked(counts = [2, 16, 48]) {
	const results = [];
	for (const count of counts) {
		// eslint-disable-next-line no-await-in-loop
		results.push(await withStack({basePort: 22_000, settleMs: 3000, topology: {models: [{name: 'desk', replicas: count}]}}, async ({stack}) => {
			const admin = stack.gateways[0].adminUrl;
			const before = await readState(admin);
			await delay(5000);
			const after = await readState(admin);
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

