/**
 * The bench's experiment runner: sends the experiment's load open-loop, carries out its
 * fault steps at their times, and reports. It drives real processes on loopback only,
 * bounded by `maxRequests` and `durationMs`.
 */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {requestJson} from '../transport/http-client.js';
import {type Price} from '../protocol/cloud-api.js';
import {type Experiment, type FaultStep} from './experiment.js';
import {Balancer} from './balancer.js';
import {
	callService, type Counts, type Sinks, streamCompletion,
} from './calls.js';
import {applyFault} from './faults.js';
import {LatencyHistogram, type Percentiles} from './histogram.js';
import {arrivals} from './load.js';

/** The report of one experiment. */
export type BenchReport = Counts & {
	experiment: Experiment;
	elapsedMs: number;
	goodputPerSecond: number;
	ttftMs: Percentiles;
	itlMs: Percentiles;
	recomputedTokens: number;
	costPerHour: number | undefined;
	faults: Array<FaultStep & {doneAtMs: number; error?: string}>;
};

/** Runs an experiment to its end and returns the report. */
export async function runExperiment(experiment: Experiment, signal: AbortSignal): Promise<BenchReport> {
	// Every request in flight listens on the experiment's signal.
	setMaxListeners(0, signal);
	const startMs = performance.now();
	const faultsDone = runFaults(experiment.faults ?? [], startMs, signal);
	const stopped = new AbortController();
	const balancer = new Balancer(experiment.gateways);
	const balancing = balancer.run(AbortSignal.any([signal, stopped.signal]));
	const sinks: Sinks = {
		ttft: new LatencyHistogram(),
		itl: new LatencyHistogram(),
		counts: {
			sent: 0, whole: 0, broken: 0, refused: 0, unknownOutcome: 0, failed: 0,
		},
	};
	await sendLoad(experiment, balancer, sinks, signal);
	const elapsedMs = performance.now() - startMs;
	const faults = await faultsDone;
	stopped.abort();
	await balancing;
	return {
		experiment,
		elapsedMs,
		...sinks.counts,
		goodputPerSecond: sinks.counts.whole / (elapsedMs / 1000),
		ttftMs: sinks.ttft.percentiles(),
		itlMs: sinks.itl.percentiles(),
		recomputedTokens: await readRecomputedTokens(experiment.gatewayAdmins ?? []),
		costPerHour: await readCost(experiment),
		faults,
	};
}

/** Sends each request when it is due, whatever became of the earlier ones, and waits for all. */
async function sendLoad(experiment: Experiment, balancer: Balancer, sinks: Sinks, signal: AbortSignal): Promise<void> {
	const startMs = performance.now();
	const inFlight: Array<Promise<void>> = [];
	for (const arrival of arrivals(experiment)) {
		const waitMs = arrival.atMs - (performance.now() - startMs);
		if (waitMs > 0) {
			// eslint-disable-next-line no-await-in-loop
			await delay(waitMs);
		}

		if (signal.aborted) {
			break;
		}

		const call = {gateway: balancer.next(), apiKey: arrival.apiKey};
		sinks.counts.sent++;
		inFlight.push(arrival.idempotencyKey === undefined
			? streamCompletion({
				...call, model: experiment.model, prompt: arrival.prompt, maxTokens: arrival.maxTokens,
			}, sinks, signal)
			: callService({...call, service: experiment.service!, key: arrival.idempotencyKey}, sinks.counts));
	}

	await Promise.all(inFlight);
}

async function runFaults(steps: FaultStep[], startMs: number, signal: AbortSignal): Promise<BenchReport['faults']> {
	return Promise.all(steps.map(async step => {
		await delay(step.atMs, undefined, {signal}).catch(() => undefined);
		const doneAtMs = performance.now() - startMs;
		return {...step, doneAtMs, ...await applyFault(step)};
	}));
}

async function readRecomputedTokens(admins: string[]): Promise<number> {
	let total = 0;
	for (const admin of admins) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const dump = await requestJson<{state: {completions?: {recomputedTokens: number}}}>({method: 'GET', url: `${admin}/debug/state`, timeoutMs: 2000});
			total += dump.body.state.completions?.recomputedTokens ?? 0;
		} catch {
			// A gateway the experiment killed has nothing to report.
		}
	}

	return total;
}

async function readCost(experiment: Experiment): Promise<number | undefined> {
	if (experiment.cloud === undefined || experiment.vms === undefined) {
		return undefined;
	}

	const answer = await requestJson<Price[]>({method: 'GET', url: `${experiment.cloud}/prices`});
	let total = 0;
	for (const vm of experiment.vms) {
		const price = answer.body.find(entry => entry.failureDomain === vm.failureDomain && entry.machineClass === vm.machineClass && entry.reclaimable === vm.reclaimable);
		total += (price?.perHour ?? 0) * vm.count;
	}

	return total;
}

/** Formats the plain-text summary of a report. */
export function summarize(report: BenchReport): string {
	const line = (name: string, p: Percentiles) => `${name}: n=${p.count} p50=${p.p50.toFixed(1)}ms p95=${p.p95.toFixed(1)}ms p99=${p.p99.toFixed(1)}ms max=${p.max.toFixed(1)}ms`;
	return [
		`sent ${report.sent} in ${(report.elapsedMs / 1000).toFixed(1)}s: whole ${report.whole}, broken ${report.broken}, refused ${report.refused},`
		+ ` unknown outcome ${report.unknownOutcome}, failed ${report.failed}`,
		`goodput ${report.goodputPerSecond.toFixed(1)}/s`,
		line('time to first token', report.ttftMs),
		line('time between tokens', report.itlMs),
		`recomputed tokens ${report.recomputedTokens}`,
		`VM cost ${report.costPerHour === undefined ? 'not priced' : report.costPerHour.toFixed(2) + '/h'}`,
		...report.faults.map(step => `fault ${step.action} at ${step.doneAtMs.toFixed(0)}ms${step.error === undefined ? '' : `: ${step.error}`}`),
	].join('\n');
}
