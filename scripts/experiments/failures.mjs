// Reclaim waves and planned stops under load: what callers see, and what is recomputed.
import {waitUntil} from '../stack.mjs';
import {
	bench, getJson, loadExperiment, mean, postJson, state, withStack,
} from './harness.mjs';

const reclaimNoticeMs = 3000;
const engineCount = 6;
const reclaimedDomain = 'fd-a';

function engineUrls(basePort) {
	return Array.from({length: engineCount}, (_, index) => `http://127.0.0.1:${basePort + 100 + index}`);
}

/** What the gateways and engines saw of a wave, in milliseconds since its notice. */
async function readWave(stack, engines) {
	const dumps = await Promise.all(stack.gateways.map(async gateway => state(gateway.adminUrl)));
	const total = key => mean(dumps.map(dump => dump.state.completions[key])) * dumps.length;
	const leaving = dumps.flatMap(dump => dump.state.backendServers.filter(entry => entry.failureDomain === reclaimedDomain));
	const cloud = await getJson(`${stack.cloudUrl}/debug/state`);
	const [{noticedAtMs}] = cloud.state.notices;
	const reclaimed = await Promise.all([0, 3].map(async index => getJson(`${engines[index]}/debug/state`)));
	return {
		moves: total('moves'),
		kvMoves: total('kvMoves'),
		resumes: total('resumes'),
		learnedAfterMsMax: Math.max(...leaving.map(entry => entry.learnedAtMs - noticedAtMs)),
		lastNewWorkAfterMs: Math.max(...reclaimed.map(dump => dump.state.lastCompletionMs - noticedAtMs)),
	};
}

/** One wave over a failure domain of three, with engines that export their KV cache or refuse to. */
async function reclaimOnce(kvExport) {
	const basePort = 27_000;
	const topology = {
		gateways: 3,
		models: [{name: 'desk', replicas: engineCount}],
		cloud: {reclaimNoticeMs},
		tpotMs: 20,
	};
	return withStack({basePort, topology}, async ({stack, dir}) => {
		const engines = engineUrls(basePort);
		await Promise.all(engines.map(async url => postJson(`${url}/admin/faults`, {refuseExport: !kvExport}, '')));
		const wave = {
			atMs: 5000,
			action: 'reclaim',
			url: stack.cloudUrl,
			failureDomain: reclaimedDomain,
		};
		const report = bench(loadExperiment(stack.gateways[0].url, {
			gateways: stack.gateways.map(gateway => gateway.url),
			gatewayAdmins: stack.gateways.map(gateway => gateway.adminUrl),
			ratePerSecond: 20,
			durationMs: 10_000,
			promptWords: {min: 400, max: 1200},
			maxTokens: {min: 100, max: 300},
			seed: 5,
			faults: [wave],
		}), dir, `reclaim-${kvExport}`);
		return {
			kvExport,
			sent: report.sent,
			whole: report.whole,
			broken: report.broken,
			failed: report.failed,
			itlP99: report.itlMs.p99,
			itlMax: report.itlMs.max,
			recomputedTokens: report.recomputedTokens,
			...await readWave(stack, engines),
		};
	});
}

/** A reclaim wave with and without KV export, alternating in one run. */
export async function reclaim() {
	const rounds = [];
	for (const kvExport of [true, false, true, false]) {
		// eslint-disable-next-line no-await-in-loop
		rounds.push(await reclaimOnce(kvExport));
	}

	return {rounds};
}

/** SIGTERM to a gateway and to an engine under load. */
async function stopOnce(notReadyMs) {
	const topology = {
		gateways: 3,
		models: [{name: 'desk', replicas: 4}],
		gatewaySettings: {notReadyMs},
	};
	return withStack({basePort: 29_000, topology}, async ({stack, dir, running}) => {
		const childOf = name => running.children.find(child => child.name === name).child;
		const report = bench(loadExperiment(stack.gateways[0].url, {
			gateways: stack.gateways.map(gateway => gateway.url),
			ratePerSecond: 60,
			durationMs: 8000,
			maxTokens: {min: 50, max: 150},
			faults: [
				{atMs: 2000, action: 'terminate', pid: childOf('gateway-1').pid},
				{atMs: 4000, action: 'terminate', pid: childOf('desk-2').pid},
			],
		}), dir, `stops-${notReadyMs}`);
		await waitUntil(async () => childOf('gateway-1').exitCode !== null);
		return {
			notReadyMs,
			sent: report.sent,
			whole: report.whole,
			broken: report.broken,
			refused: report.refused,
			unknown: report.unknownOutcome,
			failed: report.failed,
		};
	});
}

/** Planned stops under load, with and without the time in which `/ready` answers 503. */
export async function stops() {
	const rounds = [];
	for (const notReadyMs of [500, 0, 500, 0]) {
		// eslint-disable-next-line no-await-in-loop
		rounds.push(await stopOnce(notReadyMs));
	}

	return {rounds};
}
