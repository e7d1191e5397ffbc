/** Case 6: the limit of a tenant of which many requests wait, and are then given up by their clients. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Answer, type CaseRecord, Deployment, Exit, hasTrouble, runCase, type ClientRequest,
} from './deployment.js';

const daemonCount = 2;
const replicaCount = 2;
const slots = 32;
const eventPauseMs = 150;
/** The route's objective; clients leave after a gap of four times as much. */
const objectiveMs = 1200;
const gapMs = Math.max(2000, 4 * objectiveMs, 8 * 300);
const trafficMs = 18_000;
/** The limit of the tenant `limited`, in tokens a second, and the bounds that apply to it. */
const ratePerSecond = 100_000;
const windowMs = 8000;
const tolerance = 0.1;
const slack = 140_000;
const boundTokens = (ratePerSecond * windowMs / 1000 * (1 + tolerance)) + slack;
/** Tokens of the prompts and in an event. */
const promptTokens = 11_992;
const tokensPerEvent = 5;

/** A tenant's traffic: requests a second as usual, and when it sends how many times as much, in milliseconds after the traffic began. */
type Traffic = {key: string; events: number; perSecond: number; factor: number; fromMs: number; forMs: number};

const first: Traffic = {
	key: 'key-first', events: 76, perSecond: 3.4, factor: 7.5, fromMs: 1000, forMs: 2500,
};
const limitedEvents = 5;
const requestTokens = promptTokens + (limitedEvents * tokensPerEvent);
const limited: Traffic = {
	key: 'key-limited', events: limitedEvents, perSecond: ratePerSecond / 1.8 / requestTokens, factor: 6, fromMs: 5000, forMs: 11_000,
};

const deployment = new Deployment();
const base: ClientRequest = {
	method: 'POST', path: '/stream/review', deadlineMs: 15_000, gapMs,
};

async function play(record: CaseRecord): Promise<Exit> {
	await deployment.startPlatform({
		version: 1,
		routes: [{
			name: 'review', host: 'h.example', path_prefix: '/stream/', kind: 'streaming', timeout_ms: 15_000, latency_target_ms: objectiveMs, gap_target_ms: 300,
			attempts: 2, priority: 0, service: 'models',
		}],
		services: [{name: 'models', health_path: '/health', max_conns: 360}],
		tenants: [
			{
				name: 'first', api_keys: ['key-one', first.key], priority: 0, unit: 'token_stream', plain_tokens: 200,
			},
			{
				name: 'limited', api_keys: [limited.key], priority: 1, unit: 'token_stream', rate_per_s: ratePerSecond, burst: 0, plain_tokens: 200,
			},
		],
	});
	await deployment.addReplicas(Array.from({length: replicaCount}, (_, index) => ({
		id: `i-${index}`, service: 'models', zone: 'zone-a', slots, pacePercent: 100, events: 5, eventPauseMs, workMs: 0, restMs: 0, unframedInterval: 0, unframedSpells: [],
	})));
	for (let index = 0; index < daemonCount; index++) {
		await deployment.addDaemon(); // eslint-disable-line no-await-in-loop
	}

	if (!await deployment.awaitService({...base, body: 'events=1'})) {
		record.note('the daemons did not serve in time.');
		return Exit.CouldNotRun;
	}

	// A usual load for 12 s, longer than the window.
	const startedAtMs = Date.now() + 12_000;
	record.note('the traffic begins.', startedAtMs);
	const [, answers] = await Promise.all([send(first, startedAtMs), send(limited, startedAtMs)]);
	return judge(record, answers, startedAtMs);
}

/** Sends a tenant's requests, to one daemon after the other, and returns their answers. */
async function send({key, events, perSecond, factor, fromMs, forMs}: Traffic, startedAtMs: number): Promise<Answer[]> {
	const answers: Array<Promise<Answer>> = [];
	let nextAtMs = Date.now();
	while (nextAtMs < startedAtMs + trafficMs) {
		await delay(Math.max(0, nextAtMs - Date.now())); // eslint-disable-line no-await-in-loop
		answers.push(deployment.send(answers.length % daemonCount, {
			...base, headers: {'X-Sesametally-Key': key, 'X-Sesametally-Token-Counts': `${promptTokens},${events * tokensPerEvent}`}, body: `events=${events}`,
		}));
		const atMs = nextAtMs - startedAtMs;
		nextAtMs += 1000 / perSecond / (hasTrouble && atMs >= fromMs && atMs < fromMs + forMs ? factor : 1);
	}

	return Promise.all(answers);
}

function judge(record: CaseRecord, answers: Answer[], startedAtMs: number): Exit {
	const runs = new Map(deployment.replicas.flatMap(replica => replica.runs).map(run => [run.run, run.at]));
	const ran = answers.filter(({id}) => runs.has(id)).map(({id, sentAtMs}) => ({sentAtMs, arrivedAtMs: runs.get(id)!}));
	for (const {id, sentAtMs, endedAtMs, status, hasLeft} of answers) {
		const run = runs.get(id);
		const arrival = run === undefined ? 'not run' : `arrived at a replica after ${run - sentAtMs} ms`;
		record.note(`limited ${id} sent: ${arrival}; ${hasLeft ? 'the client left' : `status ${status ?? 'none'}`} after ${endedAtMs - sentAtMs} ms`, sentAtMs);
	}

	let worst = {count: 0, atMs: 0};
	for (const {sentAtMs} of ran) {
		const count = ran.filter(other => other.sentAtMs >= sentAtMs && other.arrivedAtMs <= sentAtMs + windowMs).length;
		worst = count > worst.count ? {count, atMs: sentAtMs - startedAtMs} : worst;
	}

	const tokens = worst.count * requestTokens;
	const isBroken = tokens > boundTokens;
	const window = `${worst.count} in a window (from ${worst.atMs} ms on), ${tokens} tokens`;
	record.note(`${ran.length} of ${answers.length} requests of the tenant ran; at most ${window}; allowed are ${Math.round(boundTokens)}${isBroken ? ' <- RULE BROKEN' : ''}`);
	return ran.length === 0 ? Exit.CouldNotRun : (isBroken ? Exit.Broken : Exit.Held);
}

await runCase(deployment, play);
