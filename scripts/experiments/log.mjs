// Measures the appends to the platform log as the rate of non-idempotent calls and the number of gateways grow.
import {setTimeout as delay} from 'node:timers/promises';
import {
	runBench, getJson, loadExperiment, withStack,
} from './harness.mjs';

const flushMs = 50;

/** Measures journal appends at several call rates with 1 and 3 gateways, and the lease appends of idle gateways. */
export async function log() {
	const points = [];
	for (const gateways of [1, 3]) {
		// eslint-disable-next-line no-await-in-loop
		points.push(...await withStack({
			basePort: 25_000, topology: {
				gateways, services: [{name: 'settlement', replicas: 2}], appendsPerSecond: 500, gatewaySettings: {journalFlushMs: flushMs},
			},
		}, async ({stack, dir}) => {
			const measured = [];
			const readAppends = async () => {
				const dump = await getJson(`${stack.logUrl}/debug/state`);
				return dump.state.appends;
			};

			const idleStartAppends = await readAppends();
			await delay(10_000);
			const idlePerSecond = (await readAppends() - idleStartAppends) / 10;
			for (const rate of [20, 100, 200]) {
				// eslint-disable-next-line no-await-in-loop
				const before = await readAppends();
				const report = runBench(loadExperiment(stack.gateways[0].url, {
					gateways: stack.gateways.map(gateway => gateway.url), ratePerSecond: rate, nonIdempotentShare: 1, service: 'settlement', seed: rate,
				}), dir, `log-${gateways}-${rate}`);
				// eslint-disable-next-line no-await-in-loop
				const after = await readAppends();
				const seconds = report.elapsedMs / 1000;
				measured.push({
					gateways,
					flushMs,
					callsPerSecond: report.sent / seconds,
					whole: report.whole,
					sent: report.sent,
					idlePerSecond,
					journalAppendsPerSecond: ((after - before) / seconds) - idlePerSecond,
				});
			}

			return measured;
		}));
	}

	return {points};
}
