/**
 * A randomized soak: real daemons before stand-ins of the platform, with faults from
 * outside drawn from a seed. It checks the promises to callers and backend servers from
 * what both of them saw.
 */
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ReplicaMode} from '../platform/__tests__/standins.js';
import {
	judgeAnswer, runClient, runFatalClient, type Try,
} from './clients.js';
import {LinkMode} from './faulty-link.js';
import {
	judgeCrashes, judgeLimit, limitedMs, stateLimit,
} from './replica-trouble.js';
import {SoakWorld, type WorldTraits} from './world.js';

/** Clients of one run. */
const clientCount = 8;
/** Time without faults before, and after which all must serve again, in milliseconds: a stop takes 3 s, a start under 1. */
const calmMs = 1500;
const recoverMs = 4500;
/** Time for each daemon's start, in milliseconds: a few start at once on as many cores. */
const startMs = 100;
/** Longest pause between two faults, and longest fault, in milliseconds. */
const mostPauseMs = 500;
const mostFaultMs = 1800;
/** Time for a revocation beyond its bound that the clocks of one machine may differ, in milliseconds. */
const clockSlackMs = 50;

type RandomGenerator = ReturnType<typeof xoroshiro128plus>;

/** How a run ended. */
export type SoakReport = {seed: number; tries: number; served: number; servedLast: number; lastEnds: Record<string, number>; faults: string[]; broken: string[]};

type Fault = {name: string; begin: () => void; end?: () => void};

/** Share of the tries after the faults that must be served. */
export const leastServed = 0.9;
/** Daemons of a run unless it says otherwise. */
const usualDaemons = 3;

/** Plays one run of `faultsMs` of faults and returns what it saw. */
export async function soak(seed: number, faultsMs: number, daemons = usualDaemons, traits: WorldTraits = {}): Promise<SoakReport> {
	const random = xoroshiro128plus(seed);
	const world = new SoakWorld(daemons, traits);
	const stop = new AbortController();
	const faults: string[] = [];
	await world.start();
	try {
		const clients = Array.from({length: clientCount}, async (_, index) => runClient(world, 'c'.repeat(index + 1), stop.signal));
		await delay(calmMs + (daemons * startMs));
		if (traits.hasReplicaTrouble) {
			void runFatalClient(world, stop.signal);
		}

		const endAtMs = Date.now() + faultsMs;
		const running: Array<Promise<void>> = [];
		while (Date.now() < endAtMs) {
			const fault = drawFault(world, random);
			faults.push(fault.name);
			running.push(play(fault, draw(random, mostFaultMs)));
			// eslint-disable-next-line no-await-in-loop -- faults come one after the other and overlap.
			await delay(draw(random, mostPauseMs));
		}

		await Promise.all(running);
		const faultsEndMs = Date.now();
		const limited = traits.hasReplicaTrouble ? stateLimit(world) : undefined;
		const calmAtMs = faultsEndMs + recoverMs;
		await delay(recoverMs + calmMs + (limited ? limitedMs : 0));
		stop.abort();
		const records = await Promise.all(clients);
		const result = report({
			seed, faults, world, tries: records.flat(), calmAtMs,
		});
		if (limited) {
			result.broken.push(...judgeCrashes(world, faultsEndMs), ...judgeLimit(limited));
		}

		if (result.broken.length > 0 || result.servedLast < leastServed) {
			world.saveLogs(path.join('reports', 'soak', `seed-${seed}-of-${daemons}`));
		}

		return result;
	} finally {
		stop.abort();
		world.stop();
	}
}

function draw(random: RandomGenerator, most: number): number {
	return uniformInt(random, 1, most);
}

async function play(fault: Fault, forMs: number): Promise<void> {
	fault.begin();
	await delay(forMs);
	fault.end?.();
}

/** Draws a fault and where it strikes. */
function drawFault(world: SoakWorld, random: RandomGenerator): Fault {
	const daemon = world.daemons[draw(random, world.daemons.length) - 1];
	const index = draw(random, world.replicas.length) - 1;
	const replica = world.replicas[index];
	const link = world.links[index];
	const sendSignal = (name: NodeJS.Signals): Fault => ({
		name: `${daemon.host} ${name}`,
		begin() {
			daemon.signal(name);
		},
	});
	const setMode = (mode: ReplicaMode): Fault => ({
		name: `replica ${replica.id} ${mode}`,
		begin() {
			replica.mode = mode;
		},
		end() {
			replica.mode = ReplicaMode.Serve;
		},
	});
	const setLink = (mode: LinkMode): Fault => ({
		name: `link to ${replica.id} ${mode}`,
		begin() {
			link.mode = mode;
		},
		end() {
			link.mode = LinkMode.Pass;
			// What a silent link swallowed never comes: its connections are of no use.
			link.reset();
		},
	});
	const choices: Array<() => Fault> = [
		() => sendSignal('SIGKILL'),
		() => sendSignal('SIGTERM'),
		() => sendSignal('SIGHUP'),
		() => ({
			...sendSignal('SIGSTOP'),
			end() {
				daemon.signal('SIGCONT');
			},
		}),
		() => ({
			name: 'store down',
			begin() {
				world.store.isDown = true;
			},
			end() {
				world.store.isDown = false;
			},
		}),
		() => ({
			name: 'key revoked',
			begin() {
				world.revokeKey();
			},
		}),
		() => ({
			name: 'replica replaced',
			begin() {
				world.drainReplica(index);
				void world.addReplica();
			},
		}),
		() => ({
			name: `link to ${replica.id} reset`,
			begin() {
				link.reset();
			},
		}),
		...[ReplicaMode.Fail, ReplicaMode.Shed, ReplicaMode.Reset, ReplicaMode.Cut, ReplicaMode.Misplace].map(mode => () => setMode(mode)),
		...[LinkMode.Delay, LinkMode.Silence, LinkMode.OneWay].map(mode => () => setLink(mode)),
		...storeLinkFaults(world),
	];
	return choices[draw(random, choices.length) - 1]();
}

/** Faults on the link to the store, in runs that have one: other runs' seeds draw from the same faults as before. */
function storeLinkFaults({storeLink}: SoakWorld): Array<() => Fault> {
	if (!storeLink) {
		return [];
	}

	return [
		() => ({
			name: 'connections to the store go silent',
			begin() {
				storeLink.silenceOpen();
			},
		}),
		() => ({
			name: 'connections to the store reset',
			begin() {
				storeLink.reset();
			},
		}),
		() => ({
			name: 'link to the store silent',
			begin() {
				storeLink.mode = LinkMode.Silence;
			},
			end() {
				storeLink.mode = LinkMode.Pass;
			},
		}),
	];
}

/** Checks every promise against what clients and replicas saw. */
function report({seed, faults, world, tries, calmAtMs}: {seed: number; faults: string[]; world: SoakWorld; tries: Try[]; calmAtMs: number}): SoakReport {
	const runs = new Map<string, number>();
	for (const {id, ran} of world.replicas.flatMap(replica => replica.received)) {
		runs.set(id, (runs.get(id) ?? 0) + (ran ? 1 : 0));
	}

	const broken: string[] = [];
	for (const record of tries) {
		const problem = judgeAnswer(record) ?? judgeRuns(record, runs.get(record.id) ?? 0) ?? judgeKey(record, runs.get(record.id) ?? 0, world) ?? judgeDenial(record, world);
		if (problem !== undefined) {
			broken.push(`${record.id} (${record.kind}, ${record.status ?? 'no answer'}): ${problem}`);
		}
	}

	broken.push(...judgeDuties(world));
	const served = tries.filter(record => record.status === 200 && record.isWhole);
	const last = tries.filter(record => record.sentAtMs > calmAtMs);
	const lastEnds: Record<string, number> = {};
	for (const {status, kind} of last) {
		const end = `${kind} ${status ?? 'no answer'}`;
		lastEnds[end] = (lastEnds[end] ?? 0) + 1;
	}

	return {
		seed, tries: tries.length, served: served.length, servedLast: last.filter(record => record.status === 200).length / Math.max(1, last.length), lastEnds, faults, broken,
	};
}

function judgeRuns({kind, status}: Try, runs: number): string | undefined {
	const isOnce = kind === 'pay' || kind === 'once';
	if (isOnce && runs > 1) {
		return `ran ${runs} times`;
	}

	return isOnce && (status === 429 || status === 503) && runs > 0 ? 'said not run, and ran' : undefined;
}

function judgeKey({apiKey, sentAtMs}: Try, runs: number, world: SoakWorld): string | undefined {
	const revokedAtMs = world.revokedAtMs.get(apiKey);
	const isLate = revokedAtMs !== undefined && sentAtMs > revokedAtMs + world.bounds.revoke_ms + clockSlackMs;
	return isLate && runs > 0 ? 'ran with a revoked key' : undefined;
}

/** A key that has been in the configuration for the bound is not denied for good. */
function judgeDenial({apiKey, sentAtMs, status}: Try, world: SoakWorld): string | undefined {
	const addedAtMs = world.addedAtMs.get(apiKey);
	return status === 401 && addedAtMs !== undefined && sentAtMs > addedAtMs + world.bounds.config_apply_ms + clockSlackMs ? 'denied a key of the configuration' : undefined;
}

/** One holder a token, and one report a window. */
function judgeDuties({cloud}: SoakWorld): string[] {
	const broken: string[] = [];
	const holders = new Map<number, string>();
	const reports = new Map<unknown, string>();
	for (const {path, holder, token, body} of cloud.calls) {
		if ((holders.get(token) ?? holder) !== holder) {
			broken.push(`token ${token} used by ${holder} and ${holders.get(token)}`);
		}

		holders.set(token, holder);
		const counts = JSON.stringify(body.counts);
		if (path === '/usage' && (reports.get(body.window_id) ?? counts) !== counts) {
			broken.push(`window ${String(body.window_id)} reported in two ways`);
		}

		reports.set(body.window_id, counts);
	}

	return broken;
}
