/** Case 4: streams that end with their connection, at a replica that crashes behind a cut and starts again. */
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Answer, type CaseRecord, Deployment, Exit, hasTrouble, runCase,
} from './deployment.js';

const daemonCount = 2;
const replicaCount = 4;
/** Events of a stream and the pause between two, in milliseconds; the route's longest pause is 300. */
const events = 58;
const eventPauseMs = 100;
/** Streams that begin per second, and for how long, in milliseconds. */
const ratePerSecond = 30;
const trafficMs = 14_000;
/** When answers without a length and chunks begin, and for how long they are given, in milliseconds after the traffic began. */
const unframedFromMs = 2000;
const unframedForMs = 5000;
const unframedInterval = 20;
/** The disruption: when the cut begins and how long it lasts, when the replica crashes behind it and how long it is down, in milliseconds. */
const cutAtMs = 7000;
const cutForMs = 3000;
const crashAfterMs = 500;
const downForMs = 2000;
const objectiveMs = 1000;
const gapMs = Math.max(2000, 4 * objectiveMs, 8 * 300);

const deployment = new Deployment();
const stream = {
	method: 'POST', path: '/stream/letter', deadlineMs: 15_000, gapMs, headers: {'X-Sesametally-Token-Counts': '826,290', 'X-Sesametally-Model': 'm'}, body: 'draft',
};

function countEvents({body}: Answer): number {
	return body.split('\n\n').length - 1;
}

async function play(record: CaseRecord): Promise<Exit> {
	await deployment.startPlatform({
		version: 1,
		routes: [{
			name: 'letter', host: 'h.example', path_prefix: '/stream/', kind: 'streaming', timeout_ms: 15_000, latency_target_ms: objectiveMs, gap_target_ms: 300,
			attempts: 1, priority: 1, service: 'models',
		}],
		services: [{name: 'models', health_path: '/health', max_conns: 360}],
		tenants: [{name: 'team', api_keys: ['key-one']}],
	});
	const trafficAtMs = Date.now() + 12_000;
	const unframedSpells = [{fromMs: trafficAtMs + unframedFromMs, untilMs: trafficAtMs + unframedFromMs + unframedForMs}];
	await deployment.addReplicas(Array.from({length: replicaCount}, (_, index) => ({
		id: `i-${index}`, service: 'models', zone: 'zone-a', slots: 64, events, eventPauseMs, workMs: 0, restMs: 0, unframedInterval: index < replicaCount / 2 ? unframedInterval : 0, unframedSpells,
	})));
	for (let index = 0; index < daemonCount; index++) {
		await deployment.addDaemon(); // eslint-disable-line no-await-in-loop
	}

	if (!await deployment.awaitService({...stream, body: 'events=1'}) || Date.now() > trafficAtMs) {
		record.note('the daemons did not serve in time.');
		return Exit.CouldNotRun;
	}

	await delay(trafficAtMs - Date.now());
	const answers: Array<Promise<Answer>> = [];
	const disruption = hasTrouble ? disrupt(record) : undefined;
	while (Date.now() < trafficAtMs + trafficMs) {
		answers.push(deployment.send(answers.length % daemonCount, stream));
		await delay(Math.max(0, trafficAtMs + (answers.length * 1000 / ratePerSecond) - Date.now())); // eslint-disable-line no-await-in-loop
	}

	await disruption;
	return judge(record, await Promise.all(answers));
}

async function disrupt(record: CaseRecord): Promise<void> {
	const [replica] = deployment.replicas;
	await delay(cutAtMs);
	record.note(`${replica.id} is partitioned from all machines and the store.`);
	replica.cut();
	await delay(crashAfterMs);
	record.note(`${replica.id} crashes behind the cut.`);
	replica.crash();
	await delay(downForMs);
	record.note(`${replica.id} starts again at the same address, under its id.`);
	replica.start();
	await delay(cutForMs - crashAfterMs - downForMs);
	record.note('the cut heals.');
	replica.heal();
}

function judge(record: CaseRecord, answers: Answer[]): Exit {
	const runs = new Map(deployment.replicas.flatMap(replica => replica.runs).map(run => [run.run, run]));
	let broken = 0;
	const counts = {complete: 0, incomplete: 0};
	for (const answer of answers) {
		const run = runs.get(answer.id);
		const received = countEvents(answer);
		const isSuccess = answer.status === 200 && answer.isComplete;
		const isWrong = isSuccess && received < events;
		broken += isWrong ? 1 : 0;
		counts.complete += isSuccess && !isWrong ? 1 : 0;
		counts.incomplete += isSuccess ? 0 : 1;
		if (run) {
			record.note(`${run.replica} (started ${run.born}) runs ${run.run}${run.isUnframed ? ', its answer ends with the connection' : ''}`, run.at);
		}

		const end = answer.hasLeft ? 'the client left' : (answer.isComplete ? 'ended as complete' : 'broke off');
		record.note(`client ${answer.id}: status ${answer.status ?? 'none'}, ${received} of ${events} events, ${end}${isWrong ? ' <- RULE BROKEN' : ''}`, answer.endedAtMs);
	}

	record.note(`${answers.length} streams: ${counts.complete} whole, ${counts.incomplete} that broke off or were refused, ${broken} that ended as complete before their last event.`);
	if (counts.complete === 0) {
		return Exit.CouldNotRun;
	}

	return broken > 0 ? Exit.Broken : Exit.Held;
}

await runCase(deployment, play);
