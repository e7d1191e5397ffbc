// What one gateway costs: its overhead, per request and token, and per engine tracked.
import {setTimeout as delay} from 'node:timers/promises';
import {
	bench, loadExperiment, mean, state, withStack,
} from './harness.mjs';

/** Gateway overhead: the same load through one gateway and straight to the engine, interleaved. */
export async function overhead() {
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
export async function gateway() {
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

/** Gateway memory and CPU per backend server tracked. */
export async function tracked(counts = [2, 16, 48]) {
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

