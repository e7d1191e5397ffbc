/**
 * `npm run bench:start -- [STARTS]`: measures the start of a serving daemon until its ports are
 * open, until its configuration is in force, and until it has sent its first answer, in elapsed
 * time and in CPU time, with and without V8's code cache.
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

/** The daemon's port for clients; the next one answers readiness probes. */
const clientPort = 18_900;
/** Interval at which a starting daemon is polled, in milliseconds. */
const pollMs = 2;
/** The V8 flags that deploy/system.toml starts the daemon with. */
const nodeFlags = ['--max-old-space-size=160', '--max-semi-space-size=4'];

/** Elapsed time and CPU time since the start of the process, in milliseconds. */
type TimeSinceStart = {elapsedMs: number; cpuMs: number};

/** The times of one start, until the ports are open, the configuration is in force, and the first answer is sent. */
type StartTimes = {ports: TimeSinceStart; config: TimeSinceStart; answer: TimeSinceStart};

/** Returns the CPU time of all threads of a process, in milliseconds. */
function readCpuMs(pid: number): number {
	let sumNs = 0;
	for (const task of readdirSync(`/proc/${pid}/task`)) {
		sumNs += Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]);
	}

	return sumNs / 1e6;
}

/** Returns whether a loopback port accepts connections. */
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

/** Polls a condition until it holds. */
async function waitUntil(check: () => Promise<boolean>): Promise<void> {
	while (!await check()) { // eslint-disable-line no-await-in-loop -- a poll.
		await delay(pollMs); // eslint-disable-line no-await-in-loop
	}
}

/** Starts a bundle once and kills it after its first answer. */
async function startOnce(bundle: string, settingsFile: string): Promise<StartTimes> {
	const startedAtMs = performance.now();
	const child = spawn(process.execPath, [...nodeFlags, bundle, 'front'], {env: {...process.env, SESAMETALLY_BOOT: settingsFile}, stdio: 'ignore'});
	const readTime = (): TimeSinceStart => ({elapsedMs: performance.now() - startedAtMs, cpuMs: readCpuMs(child.pid!)});
	await waitUntil(async () => canConnect(clientPort));
	const ports = readTime();
	const answered = new FrontClient(clientPort).send('GET', '/call/x');
	await waitUntil(async () => {
		const readiness = await fetch(`http://127.0.0.1:${clientPort + 1}/api/ready`).catch(() => undefined);
		return readiness?.status === 200;
	});
	const config = readTime();
	const {status} = await answered;
	const answer = readTime();
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

/** Starts a bundle several times and prints the medians of its times. */
async function measure(name: string, bundle: string, settingsFile: string, starts: number): Promise<void> {
	const allTimes: StartTimes[] = [];
	for (let index = 0; index < starts; index++) {
		allTimes.push(await startOnce(bundle, settingsFile)); // eslint-disable-line no-await-in-loop -- one at a time.
	}

	const cells = (['ports', 'config', 'answer'] as const).map(key => {
		const times = allTimes.map(start => start[key]);
		return `${key} ${median(times.map(time => time.elapsedMs))} ms, ${median(times.map(time => time.cpuMs))} ms of CPU time`;
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
writeFileSync(settingsFile, JSON.stringify(frontSettings(clientPort, {store, cloud})));
execFileSync(process.execPath, ['scripts/bundle.mjs', 'dist/start-plain.cjs']);
execFileSync(process.execPath, ['scripts/bundle.mjs', '--code-cache', 'dist/start-cached.cjs']);
await measure('without code cache', 'dist/start-plain.cjs', settingsFile, starts);
await measure('with code cache', 'dist/start-cached.cjs', settingsFile, starts);
process.exit(0); // eslint-disable-line unicorn/no-process-exit -- the stand-ins keep the process alive.
