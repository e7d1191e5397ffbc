// Measures the traffic between gateways, and the time until a configuration change has reached them all.
import {setTimeout as delay} from 'node:timers/promises';
import {
	gatewayCounts, getJson, mean, operatorToken, postJson, readState, withStack,
} from './harness.mjs';

/** Measures peer traffic, CPU and memory of idle gateways as the number of gateways grows. */
export async function peers(counts = gatewayCounts) {
	const results = [];
	for (const count of counts) {
		// eslint-disable-next-line no-await-in-loop
		results.push(await withStack({basePort: 16_000, settleMs: 3000, topology: {gateways: count, models: [], heartbeatMs: 1000}}, async ({stack}) => {
			const windowSeconds = 5;
			const sampledGateways = stack.gateways.slice(0, Math.min(count, 9));
			const before = await Promise.all(sampledGateways.map(async gateway => readState(gateway.adminUrl)));
			await delay(windowSeconds * 1000);
			const after = await Promise.all(sampledGateways.map(async gateway => readState(gateway.adminUrl)));
			const meanRate = read => mean(after.map((entry, index) => read(entry) - read(before[index]))) / windowSeconds;
			return {
				gateways: count,
				alivePeersSeenByFirst: after[0].state.peers.filter(peer => peer.alive).length,
				bytesSentPerSecond: meanRate(entry => entry.state.peerTraffic.bytesSent),
				bytesReceivedPerSecond: meanRate(entry => entry.state.peerTraffic.bytesReceived),
				messagesSentPerSecond: meanRate(entry => entry.state.peerTraffic.messagesSent),
				cpuCoreShare: meanRate(entry => entry.process.cpuUs) / 1e6,
				rssBytes: mean(after.map(entry => entry.process.rssBytes)),
			};
		}));
	}

	return {results};
}

/** Measures the time from a publish until every gateway has applied it, as the number of gateways grows. */
export async function config(counts = gatewayCounts) {
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
						const dump = await readState(url);
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

const recordCount = 400;

/** Measures CPU and memory of a gateway per config record applied, by comparing a burst of presets with an idle period of the same length. */
export async function records() {
	return withStack({basePort: 19_000, settleMs: 3000, topology: {gateways: 3, models: []}}, async ({stack}) => {
		const [publisher, ...others] = stack.gateways;
		const readAll = async () => Promise.all(others.map(async gateway => readState(gateway.adminUrl)));
		const cpuMs = (from, to) => mean(to.map((entry, index) => (entry.process.cpuUs - from[index].process.cpuUs) / 1000));
		const rounds = [];
		for (let round = 0; round < 3; round++) {
			// eslint-disable-next-line no-await-in-loop
			const before = await readAll();
			const startedMs = performance.now();
			for (let index = 0; index < recordCount; index++) {
				const preset = {name: `burst-${round}-${index}`, limits: {default: {requestsPerSecond: 10, burst: 10, maxConcurrent: 10}}};
				// eslint-disable-next-line no-await-in-loop
				await postJson(`${publisher.adminUrl}/admin/presets`, {preset}, operatorToken);
			}

			const elapsedMs = performance.now() - startedMs;
			// eslint-disable-next-line no-await-in-loop
			const after = await readAll();
			// eslint-disable-next-line no-await-in-loop
			await delay(elapsedMs);
			// eslint-disable-next-line no-await-in-loop
			const idle = await readAll();
			const heapGrown = mean(after.map((entry, index) => entry.process.heapUsedBytes - before[index].process.heapUsedBytes));
			rounds.push({
				records: recordCount,
				elapsedMs,
				busyCpuMs: cpuMs(before, after),
				idleCpuMs: cpuMs(after, idle),
				cpuMsPerRecord: (cpuMs(before, after) - cpuMs(after, idle)) / recordCount,
				heapBytesPerRecord: heapGrown / recordCount,
			});
		}

		return {rounds};
	});
}
