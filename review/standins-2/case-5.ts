/** Case 5: single answers that end with their connection, at a replica that crashes behind a cut and starts again. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Answer, type CaseRecord, type ClientRequest, Deployment, Exit, hasTrouble, runCase,
} from './deployment.js';
import {wholeBody} from './whole-body.js';

const daemonCount = 2;
const replicaCount = 4;
const slots = 32;
/** Time until an answer begins, and until the second half of its body follows, in milliseconds. */
const workMs = 60;
const restMs = 500;
const ratePerSecond = 180;
const trafficMs = 15_000;
/** When answers without a length and chunks begin, and for how long they are given, in milliseconds after the traffic began. */
const unframedFromMs = [2000, 9000];
const unframedForMs = 5000;
const unframedInterval = 20;
/** The disruption: when the cut begins and which replica it hits, how long it lasts, when the replica crashes behind it and how long it is down, in milliseconds. */
const cuts = [{atMs: 3500, replica: 0}, {atMs: 5800, replica: 1}, {atMs: 10_500, replica: 0}, {atMs: 12_800, replica: 1}];
const cutForMs = 1300;
const crashAfterMs = 200;
const downForMs = 700;

const deployment = new Deployment();
const request: ClientRequest = {
	method: 'POST', path: '/issue/licence', deadlineMs: 4000, gapMs: 4000, body: 'licence',
};

async function play(record: CaseRecord): Promise<Exit> {
	await deployment.startPlatform({
		version: 1,
		routes: [{
			name: 'issue', host: 'h.example', path_prefix: '/issue/', kind: 'non_idempotent', timeout_ms: 2000, latency_target_ms: 300, attempts: 1, priority: 2, service: 'ledger',
		}],
		services: [{name: 'ledger', health_path: '/health', max_conns: 490}],
		tenants: [{name: 'team', api_keys: ['key-one']}],
	});
	const trafficAtMs = Date.now() + 12_000;
	const unframedSpells = unframedFromMs.map(fromMs => ({fromMs: trafficAtMs + fromMs, untilMs: trafficAtMs + fromMs + unframedForMs}));
	await deployment.addReplicas(Array.from({length: replicaCount}, (_, index) => ({
		id: `i-${index}`, service: 'ledger', zone: 'zone-a', slots, events: 0, eventPauseMs: 0, workMs, restMs, unframedInterval: index < replicaCount / 2 ? unframedInterval : 0, unframedSpells,
	})));
	for (let index = 0; index < daemonCount; index++) {
		await deployment.addDaemon(); // eslint-disable-line no-await-in-loop
	}

	if (!await deployment.awaitService(request) || Date.now() > trafficAtMs) {
		record.note('the daemons did not serve in time.');
		return Exit.CouldNotRun;
	}

	await delay(trafficAtMs - Date.now());
	const answers: Array<Promise<Answer>> = [];
	const disruption = hasTrouble ? disrupt(record) : undefined;
	while (Date.now() < trafficAtMs + trafficMs) {
		answers.push(deployment.send(answers.length % daemonCount, request));
		await delay(Math.max(0, trafficAtMs + (answers.length * 1000 / ratePerSecond) - Date.now())); // eslint-disable-line no-await-in-loop
	}

	await disruption;
	return judge(record, await Promise.all(answers));
}

async function disrupt(record: CaseRecord): Promise<void> {
	await Promise.all(cuts.map(async ({atMs, replica: index}) => {
		const replica = deployment.replicas[index];
		await delay(atMs);
		record.note(`${replica.id} is partitioned from all machines and the store.`);
		replica.cut();
		await delay(crashAfterMs);
		record.note(`${replica.id} crashes behind the cut.`);
		replica.crash();
		await delay(downForMs);
		record.note(`${replica.id} starts again at the same address, under its id.`);
		replica.start();
		await delay(cutForMs - crashAfterMs - downForMs);
		record.note(`the cut of ${replica.id} heals.`);
		replica.heal();
	}));
}

function judge(record: CaseRecord, answers: Answer[]): Exit {
	const runs = new Map(deployment.replicas.flatMap(replica => replica.runs).map(run => [run.run, run]));
	let whole = 0;
	let broken = 0;
	for (const answer of answers) {
		const run = runs.get(answer.id);
		const expected = wholeBody(answer.id);
		const isSuccess = answer.status === 200 && answer.isComplete;
		const isWrong = isSuccess && answer.body !== expected;
		broken += isWrong ? 1 : 0;
		whole += isSuccess && !isWrong ? 1 : 0;
		if (run) {
			record.note(`${run.replica} (started ${run.born}) runs ${run.run}${run.isUnframed ? ', its answer ends with the connection' : ''}`, run.at);
		}

		const end = answer.hasLeft ? 'the client left' : (answer.isComplete ? `complete, Content-Length ${String(answer.headers['content-length'])}` : 'broke off');
		const result = isWrong ? ` <- RULE BROKEN: the replica's body has ${expected.length} bytes` : '';
		record.note(`client ${answer.id}: status ${answer.status ?? 'none'}, ${answer.body.length} bytes, ${end}${result}`, answer.endedAtMs);
	}

	record.note(`${answers.length} requests: ${whole} whole answers, ${broken} successes with a part of the body, ${answers.length - whole - broken} others.`);
	return whole === 0 ? Exit.CouldNotRun : (broken > 0 ? Exit.Broken : Exit.Held);
}

await runCase(deployment, play);
