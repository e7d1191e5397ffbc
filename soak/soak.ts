/**
 * A randomized soak test: real daemons run against stand-ins of the platform, while faults
 * drawn from a seed are injected from outside. It checks the guarantees to clients and
 * backend servers from the requests and answers that both of them recorded.
 */
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ReplicaMode, type ReplicaStandin} from '../platform/__tests__/standins.js';
import {
	findAnswerViolation, runClient, runFatalClient, runFatalPromptClient, type RequestRecord,
} from './clients.js';
import {LinkMode} from './faulty-link.js';
import {
	cooldownMs, findCrashViolations, findLimitViolations, findStatementViolations, limitCheckMs, startStatingLimit,
} from './replica-faults.js';
import {SoakCluster, type ClusterOptions} from './cluster.js';
import {moveFaults} from './move-faults.js';
import {findLostAnswers, plannedClientCount, plannedFaults} from './planned-faults.js';
import {paceFaults} from './pace-faults.js';
import {findPromptViolations, isQuarantined, promptFaults} from './prompt-faults.js';
import {countTakenUp, findVersionViolations, versionFaults} from './version-faults.js';

/** Number of clients of one run. */
const clientCount = 8;
/** Time without faults at the beginning and at the end of a run, in milliseconds. */
const faultFreeMs = 1500;
/** Time after the last fault until requests must be served again, in milliseconds: stopping a daemon takes 3 s, starting it under 1 s. */
const recoveryMs = 4500;
/** Additional time without faults per daemon at the beginning, in milliseconds: only as many daemons start at once as there are cores. */
const startMsPerDaemon = 100;
/** Longest pause between two faults, in milliseconds. */
const maxPauseMs = 500;
/** Longest duration of a fault, in milliseconds. */
const maxFaultMs = 1800;
/** Most records of each topic that a copy of the store lacks. */
const maxLostRecords = 12;
/** Tolerance for differences between the clocks of processes on one machine, added to the bounds of key changes, in milliseconds. */
const clockToleranceMs = 50;

type RandomGenerator = ReturnType<typeof xoroshiro128plus>;

/**
 * The result of a run: the number of requests (`tries`), of those with a complete answer of status 200 (`served`), the
 * share answered with 200 of the requests sent after the recovery from the last fault (`servedLast`), the number of
 * these by kind and status (`lastEnds`), the names of the injected faults in order (`faults`), and one text for each
 * violation of a guarantee (`broken`); in runs with several versions also the streams taken up (`streams`), in runs with prompts the sound
 * requests that were refused for crashes (`quarantined`), and in runs with moves the streams that went on at another replica (`moved`) and the
 * requests that replicas refused for want of room (`refused`).
 */
export type SoakReport = {seed: number; tries: number; served: number; servedLast: number; lastEnds: Record<string, number>; faults: string[]; broken: string[]; streams?: ReturnType<typeof countTakenUp>; quarantined?: number; moved?: number; refused?: number};

/** A fault: `begin` injects it, `end` removes it if it doesn't end by itself. */
type Fault = {name: string; begin: () => void; end?: () => void};

/** Minimum share of the requests after the faults that must be served. */
export const minServedShare = 0.9;
/** Number of daemons if the caller gives none. */
const defaultDaemonCount = 3;

/** Runs one seed with `faultsMs` milliseconds of faults and returns its report. Saves the daemons' logs if a check failed. */
export async function runSoak(seed: number, faultsMs: number, daemons = defaultDaemonCount, options: ClusterOptions = {}): Promise<SoakReport> {
	const random = xoroshiro128plus(seed);
	const cluster = new SoakCluster(daemons, options);
	const stop = new AbortController();
	const faults: string[] = [];
	await cluster.start();
	try {
		const clients = Array.from({length: options.hasPlannedWork ? plannedClientCount : clientCount}, async (_, index) => runClient(cluster, 'c'.repeat(index + 1), stop.signal));
		await delay(faultFreeMs + (daemons * startMsPerDaemon));
		if (options.hasReplicaFaults) {
			void runFatalClient(cluster, stop.signal);
		}

		const fatalPrompts = options.hasPrompts ? runFatalPromptClient(cluster, stop.signal) : undefined;
		const endAtMs = Date.now() + faultsMs;
		const activeFaults: Array<Promise<void>> = [];
		while (Date.now() < endAtMs) {
			const fault = drawFault(cluster, random);
			faults.push(fault.name);
			activeFaults.push(applyFault(fault, drawInteger(random, maxFaultMs)));
			// eslint-disable-next-line no-await-in-loop -- faults begin one after the other and may overlap.
			await delay(drawInteger(random, maxPauseMs));
		}

		await Promise.all(activeFaults);
		const faultsEndMs = Date.now();
		const limitedReplica = options.hasReplicaFaults ? startStatingLimit(cluster) : undefined;
		const recoveredAtMs = faultsEndMs + recoveryMs;
		await delay(recoveryMs + faultFreeMs + (limitedReplica ? limitCheckMs : 0));
		stop.abort();
		const records = await Promise.all(clients);
		const report = createReport({
			seed, faults, cluster, records: records.flat(), recoveredAtMs,
		});
		if (options.hasReplicaStatements) {
			report.broken.push(...findStatementViolations(cluster, records.flat()));
		}

		if (options.hasVersions) {
			report.broken.push(...findVersionViolations(cluster, records.flat()));
			report.streams = countTakenUp(records.flat(), cluster);
		}

		if (fatalPrompts) {
			report.broken.push(...findPromptViolations(cluster, await fatalPrompts, records.flat()));
			report.quarantined = records.flat().filter(record => isQuarantined(record)).length;
		}

		if (options.hasPlannedWork) {
			report.broken.push(...findLostAnswers(cluster, records.flat()));
		}

		if (options.hasMoves === true || options.hasPlannedWork === true) {
			report.moved = cluster.moves.continued;
			report.refused = cluster.replicas.flatMap(({fullAtMs}) => fullAtMs).length;
		}

		if (limitedReplica) {
			report.broken.push(...findCrashViolations(cluster, faultsEndMs), ...findLimitViolations(limitedReplica));
		}

		if (report.broken.length > 0 || report.servedLast < minServedShare) {
			cluster.saveLogs(path.join('reports', 'soak', `seed-${seed}-of-${daemons}`));
		}

		return report;
	} finally {
		stop.abort();
		cluster.stop();
	}
}

/** Draws an integer from 1 to `max`. */
function drawInteger(random: RandomGenerator, max: number): number {
	return uniformInt(random, 1, max);
}

/** Injects a fault and removes it after a time. */
async function applyFault(fault: Fault, durationMs: number): Promise<void> {
	fault.begin();
	await delay(durationMs);
	fault.end?.();
}

/** Draws a fault and the daemon, replica or link that it affects. */
function drawFault(cluster: SoakCluster, random: RandomGenerator): Fault {
	const daemon = cluster.daemons[drawInteger(random, cluster.daemons.length) - 1];
	const index = drawInteger(random, cluster.replicas.length) - 1;
	const replica = cluster.replicas[index];
	const link = cluster.links[index];
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
			// Bytes that the link dropped are never sent again, so its connections are unusable.
			link.reset();
		},
	});
	if (cluster.options.hasPlannedWork) {
		const choices = plannedFaults(cluster, replica, daemon);
		return choices[drawInteger(random, choices.length) - 1]();
	}

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
				cluster.setStoreDown(true);
			},
			end() {
				cluster.setStoreDown(false);
			},
		}),
		() => ({
			name: 'key revoked',
			begin() {
				cluster.revokeKey();
			},
		}),
		() => ({
			name: 'replica replaced',
			begin() {
				cluster.drainReplica(index);
				void cluster.addReplica();
			},
		}),
		() => ({
			name: `link to ${replica.id} reset`,
			begin() {
				link.reset();
			},
		}),
		...[ReplicaMode.Fail, ReplicaMode.Shed, ReplicaMode.Reset, ReplicaMode.Cut, ReplicaMode.WrongRequestId].map(mode => () => setMode(mode)),
		...(cluster.options.hasReplicaStatements ? [] : [LinkMode.Delay, LinkMode.Silence, LinkMode.OneWay]).map(mode => () => setLink(mode)),
		...storeLinkFaults(cluster),
		...storeRestores(cluster, random),
		...replicaStatements(cluster, replica),
		...versionFaults(cluster, index),
		...promptFaults(cluster, replica, daemon),
		...paceFaults(cluster, replica),
		...moveFaults(cluster, replica),
	];
	return choices[drawInteger(random, choices.length) - 1]();
}

/** Returns restores of the store from a copy, none in other runs, so that their seeds draw the same faults as without this function. */
function storeRestores(cluster: SoakCluster, random: RandomGenerator): Array<() => Fault> {
	const restore = (): Fault => {
		const lostRecords = drawInteger(random, maxLostRecords);
		return {
			name: `store restored without ${lostRecords} records of each topic`,
			begin() {
				cluster.setStoreDown(true);
			},
			end() {
				cluster.restoreStore(lostRecords);
				cluster.setStoreDown(false);
			},
		};
	};

	return cluster.options.hasStoreRestores ? [restore, restore, restore] : [];
}

/** Returns the faults on the link to the store, none in runs without that link, so that their seeds draw the same faults as without this function. */
function storeLinkFaults({storeLink}: SoakCluster): Array<() => Fault> {
	if (!storeLink) {
		return [];
	}

	return [
		() => ({
			name: 'connections to the store go silent',
			begin() {
				storeLink.silenceOpenConnections();
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

/** Returns the statements of a replica, none in other runs, so that their seeds draw the same faults as without this function. */
function replicaStatements(cluster: SoakCluster, replica: ReplicaStandin): Array<() => Fault> {
	if (!cluster.options.hasReplicaStatements) {
		return [];
	}

	const announceLeaving = () => ({
		name: `replica ${replica.id} announces its leaving`,
		begin() {
			replica.isLeaving = true;
			void cluster.addReplica();
		},
	});
	const askForCooldown = () => ({
		name: `replica ${replica.id} asks for a cooldown`,
		begin() {
			replica.mode = ReplicaMode.Shed;
			replica.retryAfter = String(cooldownMs / 1000);
		},
		end() {
			replica.mode = ReplicaMode.Serve;
		},
	});
	return [announceLeaving, askForCooldown, askForCooldown, askForCooldown];
}

/** Checks every guarantee against the requests that clients and replicas recorded. */
function createReport({seed, faults, cluster, records, recoveredAtMs}: {seed: number; faults: string[]; cluster: SoakCluster; records: RequestRecord[]; recoveredAtMs: number}): SoakReport {
	const runCounts = new Map<string, number>();
	for (const {id, hasRun, isContinuation} of cluster.replicas.flatMap(replica => replica.received)) {
		runCounts.set(id, (runCounts.get(id) ?? 0) + (hasRun && !isContinuation ? 1 : 0));
	}

	const violations: string[] = [];
	for (const record of records) {
		const violation = findAnswerViolation(record) ?? findRunViolation(record, runCounts.get(record.id) ?? 0, cluster) ?? findRevocationViolation(record, runCounts.get(record.id) ?? 0, cluster) ?? findDenialViolation(record, cluster);
		if (violation !== undefined) {
			violations.push(`${record.id} (${record.kind}, ${record.status ?? 'no answer'}): ${violation}`);
		}
	}

	violations.push(...findDutyViolations(cluster));
	const served = records.filter(record => record.status === 200 && record.isComplete);
	const afterFaults = records.filter(record => record.sentAtMs > recoveredAtMs);
	const outcomesAfterFaults: Record<string, number> = {};
	for (const {status, kind} of afterFaults) {
		const outcome = `${kind} ${status ?? 'no answer'}`;
		outcomesAfterFaults[outcome] = (outcomesAfterFaults[outcome] ?? 0) + 1;
	}

	return {
		seed, tries: records.length, served: served.length, servedLast: afterFaults.filter(record => record.status === 200).length / Math.max(1, afterFaults.length), lastEnds: outcomesAfterFaults, faults, broken: violations,
	};
}

/** Checks that a non-idempotent request ran at most once, and not at all if it was answered with 429 or 503. */
function findRunViolation({id, kind, status}: RequestRecord, runCount: number, cluster: SoakCluster): string | undefined {
	const isNonIdempotent = kind === 'pay' || kind === 'once';
	if (isNonIdempotent && runCount > 1) {
		return `ran ${runCount} times, ${describeRuns(id, cluster)}`;
	}

	return isNonIdempotent && (status === 429 || status === 503) && runCount > 0 ? 'ran although the answer said that it did not' : undefined;
}

/** Describes the runs of a request, in the order of time. */
function describeRuns(id: string, {replicas}: SoakCluster): string {
	const runs = replicas.flatMap(replica => replica.received.filter(run => run.id === id && run.hasRun).map(run => ({replica, run}))).toSorted((a, b) => a.run.atMs - b.run.atMs);
	return runs.map(({replica, run: {atMs, closedAtMs, headers, isContinuation}}) => {
		const copy = headers['kv-from'] === undefined ? '' : (isContinuation ? ' from a stopped run' : ' from the copy of a run that its source did not stop');
		return `${replica.id}${copy} +${atMs - runs[0].run.atMs} to ${closedAtMs === undefined ? 'the end' : `+${closedAtMs - runs[0].run.atMs}`} after event ${String(headers['last-event-id'] ?? 0)}`;
	}).join(', ');
}

/** Checks that no request ran that was sent later than the bound after its key was revoked. */
function findRevocationViolation({apiKey, sentAtMs}: RequestRecord, runCount: number, cluster: SoakCluster): string | undefined {
	const revokedAtMs = cluster.revokedAtMs.get(apiKey);
	const isLate = revokedAtMs !== undefined && sentAtMs > revokedAtMs + cluster.bounds.revoke_ms + clockToleranceMs;
	return isLate && runCount > 0 ? 'ran with a revoked key' : undefined;
}

/** Checks that no request is denied whose key has been in the configuration for longer than the bound, and still was when the answer ended. */
function findDenialViolation({apiKey, sentAtMs, endedAtMs, status}: RequestRecord, cluster: SoakCluster): string | undefined {
	const addedAtMs = cluster.addedAtMs.get(apiKey);
	const isRevoked = (cluster.revokedAtMs.get(apiKey) ?? Number.POSITIVE_INFINITY) <= endedAtMs;
	return status === 401 && !isRevoked && addedAtMs !== undefined && sentAtMs > addedAtMs + cluster.bounds.config_apply_ms + clockToleranceMs ? 'denied although its key is in the configuration' : undefined;
}

/** Checks that each fencing token has one holder, and that each usage window is reported with one set of counts. */
function findDutyViolations({cloud}: SoakCluster): string[] {
	const violations: string[] = [];
	const holderByToken = new Map<number, string>();
	const countsByWindow = new Map<unknown, string>();
	for (const {path, holder, token, body} of cloud.calls) {
		if ((holderByToken.get(token) ?? holder) !== holder) {
			violations.push(`fencing token ${token} used by ${holder} and ${holderByToken.get(token)}`);
		}

		holderByToken.set(token, holder);
		const counts = JSON.stringify(body.counts);
		if (path === '/usage' && (countsByWindow.get(body.window_id) ?? counts) !== counts) {
			violations.push(`usage window ${String(body.window_id)} reported twice with different counts`);
		}

		countsByWindow.set(body.window_id, counts);
	}

	return violations;
}
