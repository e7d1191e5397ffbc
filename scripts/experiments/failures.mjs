// Measures reclaim waves and planned stops under load: the answers that clients get, and the tokens that are recomputed.
import {waitUntil} from '../stack.mjs';
import {
	runBench, getJson, loadExperiment, mean, postJson, readState, withStack,
} from './harness.mjs';

const reclaimNoticeMs = 3000;
const engineCount = 6;
const reclaimedDomain = 'fd-a';

function listEngineUrls(basePort) {
	return Array.from({length: engineCount}, (_, index) => `http://127.0.0.1:${basePort + 100 + index}`);
}

/** Reads what the gateways and engines recorded of a reclaim wave; times are in milliseconds since its notice. */
async function readReclaimOutcome(stack, engineUrls) {
	const dumps = await Promise.all(stack.gateways.map(async gateway => readState(gateway.adminUrl)));
	const sumOf = key => mean(dumps.map(dump => dump.state.completions[key])) * dumps.length;
	const leaving = dumps.flatMap(dump => dump.state.backendServers.filter(entry => entry.failureDomain === reclaimedDomain));
	const cloud = await getJson(`${stack.cloudUrl}/debug/state`);
	const [{noticedAtMs}] = cloud.state.notices;
	const reclaimed = await Promise.all([0, 3].map(async index => getJson(`${engineUrls[index]}/debug/state`)));
	return {
		moves: sumOf('moves'),
		kvMoves: sumOf('kvMoves'),
		resumes: sumOf('resumes'),
		learnedAfterMsMax: Math.max(...leaving.map(entry => entry.learnedAtMs - noticedAtMs)),
		lastNewWorkAfterMs: Math.max(...reclaimed.map(dump => dump.state.lastCompletionMs - noticedAtMs)),
	};
}

/** Reclaims one of three failure domains, with engines that export their KV cache or refuse to. */
async function measureReclaim(kvExport) {
	const basePort = 27_000;
	const topology = {
		gateways: 3,
		models: [{name: 'desk', replicas: engineCount}],
		cloud: {reclaimNoticeMs},
		tpotMs: 20,
	};
	return withStack({basePort, topology}, async ({stack, dir}) => {
		const engineUrls = listEngineUrls(basePort);
		await Promise.all(engineUrls.map(async url => postJson(`${url}/admin/faults`, {refuseExport: !kvExport}, '')));
		const reclaimFault = {
			atMs: 5000,
			action: 'reclaim',
			url: stack.cloudUrl,
			failureDomain: reclaimedDomain,
		};
		const report = runBench(loadExperiment(stack.gateways[0].url, {
			gateways: stack.gateways.map(gateway => gateway.url),
			gatewayAdmins: stack.gateways.map(gateway => gateway.adminUrl),
			ratePerSecond: 20,
			durationMs: 10_000,
			promptWords: {min: 400, max: 1200},
			maxTokens: {min: 100, max: 300},
			seed: 5,
			faults: [reclaimFault],
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
			...await readReclaimOutcome(stack, engineUrls),
		};
	});
}

/** Measures reclaim waves with and without KV export, in alternation. */
export async function reclaim() {
	const rounds = [];
	for (const kvExport of [true, false, true, false]) {
		// eslint-disable-next-line no-await-in-loop
		rounds.push(await measureReclaim(kvExport));
	}

	return {rounds};
}

/** Sends SIGTERM to a gateway and to an engine under load. */
async function measureStops(notReadyMs) {
	const topology = {
		gateways: 3,
		models: [{name: 'desk', replicas: 4}],
		gatewaySettings: {notReadyMs},
	};
	return withStack({basePort: 29_000, topology}, async ({stack, dir, running}) => {
		const findChild = name => running.children.find(child => child.name === name).child;
		const report = runBench(loadExperiment(stack.gateways[0].url, {
			gateways: stack.gateways.map(gateway => gateway.url),
			ratePerSecond: 60,
			durationMs: 8000,
			maxTokens: {min: 50, max: 150},
			faults: [
				{atMs: 2000, action: 'terminate', pid: findChild('gateway-1').pid},
				{atMs: 4000, action: 'terminate', pid: findChild('desk-2').pid},
			],
		}), dir, `stops-${notReadyMs}`);
		await waitUntil(async () => findChild('gateway-1').exitCode !== null);
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

/** Measures planned stops under load, with and without the time in which `/ready` answers 503 before the stop. */
export async function stops() {
	const rounds = [];
	for (const notReadyMs of [500, 0, 500, 0]) {
		// eslint-disable-next-line no-await-in-loop
		rounds.push(await measureStops(notReadyMs));
	}

	return {rounds};
}
