/**
 * `npm run bench:start -- [STARTS]`: what a serving daemon's start takes until its ports are
 * open, until its configuration is in force, and until it has given its first answer, in
 * elapsed and in processor time; as it is compiled while it runs, and from compiled code.
 */
import {execFileSync, spawn} from 'node:child_process';
import {
	mkdtempSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {FrontClient, frontSettings} from '../../platform/__tests__/front-program.js';
import {CloudStandin, ReplicaStandin, StoreStandin} from '../../platform/__tests__/standins.js';

const callersPort = 18_900;
/** Pause between looks at a starting daemon, in milliseconds. */
const pollMs = 2;
const nodeFlags = ['--max-old-space-size=160', '--max-semi-space-size=4'];

/** Elapsed and processor time since the start, in milliseconds. */
type Moment = {elapsedMs: number; cpuMs: number};

/** What one start took. */
type Start = {ports: Moment; config: Moment; answer: Moment};

/** Processor time of all threads of a process, in milliseconds. */
function cpuMs(pid: number): number {
	let sumNs = 0;
	for (const task of readdirSync(`/proc/${pid}/task`)) {
		sumNs += Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]);
	}

	return sumNs / 1e6;
}

async function canConnect(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = connect(port, '127.0.0.1');
		socket.once('connect', () => {
			socket.destroy();
			resolve(true);
		});
		socket.once('error', () => {
			resolve(false);
		});
	});
}

async function until(check: () => Promise<boolean>): Promise<void> {
	while (!await check()) { // eslint-disable-line no-await-in-loop -- a poll.
		await delay(pollMs); // eslint-disable-line no-await-in-loop
	}
}

/** Starts a bundle once and ends it after its first answer. */
async function startOnce(bundle: string, settingsFile: string): Promise<Start> {
	const startedAt = performance.now();
	const child = spawn(process.execPath, [...nodeFlags, bundle, 'front'], {env: {...process.env, SESAMETALLY_BOOT: settingsFile}, stdio: 'ignore'});
	const moment = (): Moment => ({elapsedMs: performance.now() - startedAt, cpuMs: cpuMs(child.pid!)});
	await until(async () => canConnect(callersPort));
	const ports = moment();
	const answered = new FrontClient(callersPort).send('GET', '/call/x');
	await until(async () => {
		const readiness = await fetch(`http://127.0.0.1:${callersPort + 1}/api/ready`).catch(() => undefined);
		return readiness?.status === 200;
	});
	const config = moment();
	const {status} = await answered;
	const answer = moment();
	child.kill('SIGKILL');
	await new Promise(resolve => {
		child.once('exit', resolve);
	});
	if (status !== 200) {
		throw new Error(`the first answer was ${status}`);
	}

	return {ports, config, answer};
}

function median(values: number[]): number {
	return Math.round(values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]);
}

/** Prints the medians of several starts. */
async function measure(name: string, bundle: string, settingsFile: string, starts: number): Promise<void> {
	const all: Start[] = [];
	for (let index = 0; index < starts; index++) {
		all.push(await startOnce(bundle, settingsFile)); // eslint-disable-line no-await-in-loop -- one at a time.
	}

	const cells = (['ports', 'config', 'answer'] as const).map(key => {
		const moments = all.map(start => start[key]);
		return `${key} ${median(moments.map(moment => moment.elapsedMs))} ms, ${median(moments.map(moment => moment.cpuMs))} ms of processor time`;
	});
	process.stdout.write(`${name}: ${cells.join('; ')}\n`);
}

const starts = Number(process.argv[2] ?? '9');
const store = new StoreStandin();
const cloud = new CloudStandin();
const replica = new ReplicaStandin('i-1');
await Promise.all([store.start(), cloud.start(), replica.start()]);
store.put('keyed.op', 'config', {
	version: 1,
	routes: [{
		name: 'call', host: 'h.example', path_prefix: '/call/', kind: 'idempotent', timeout_ms: 2000, latency_target_ms: 500, attempts: 2, service: 'svc',
	}],
	services: [{name: 'svc'}],
	tenants: [{name: 'team', api_keys: ['key-one']}],
});
store.put('keyed.servers', 'i-1', {
	service: 'svc', address: replica.address, zone: 'zone-a', version: '1', slots: 4, state: 'ready', cold_left_ms: 0, sequence: 1,
});
const settingsFile = path.join(mkdtempSync(path.join(tmpdir(), 'sesametally-start-')), 'node.json');
writeFileSync(settingsFile, JSON.stringify(frontSettings(callersPort, {store, cloud})));
execFileSync(process.execPath, ['scripts/bundle.mjs', 'dist/start-plain.cjs']);
execFileSync(process.execPath, ['scripts/bundle.mjs', '--code-cache', 'dist/start-cached.cjs']);
await measure('compiled as it runs', 'dist/start-plain.cjs', settingsFile, starts);
await measure('from compiled code', 'dist/start-cached.cjs', settingsFile, starts);
process.exit(0); // eslint-disable-line unicorn/no-process-exit -- the stand-ins keep the process alive.
