/**
 * The experiment runner of the bench: it sends the load of an experiment as an open loop,
 * runs the fault steps at their times, and reports the results. It is meant for processes on
 * loopback; `maxRequests` and `durationMs` bound the load.
 */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {requestJson} from '../transport/http-client.js';
import {type Price} from '../protocol/cloud-api.js';
import {type Experiment, type FaultStep} from './experiment.js';
import {RoundRobinBalancer} from './balancer.js';
import {
	callService, type OutcomeCounts, type Measurements, streamCompletion,
} from './calls.js';
import {runFaultStep} from './fault-steps.js';
import {LatencyHistogram, type Percentiles} from './histogram.js';
import {generateArrivals} from './arrivals.js';

/** The report of one experiment. */
export type BenchReport = OutcomeCounts & {
	experiment: Experiment;
	elapsedMs: number;
	/** Whole answers per second. */
	goodputPerSecond: number;
	/** Time to first token. */
	ttftMs: Percentiles;
	/** Inter-token latency. */
	itlMs: Percentiles;
	/** Tokens that engines computed again after streams were resumed, summed over the gateways. */
	recomputedTokens: number;
	/** Cost of the experiment's VMs in dollars per hour; undefined when no prices or VMs are given. */
	costPerHour: number | undefined;
	/** The fault steps, the time from the start at which each ran, and its error, if any. */
	faults: Array<FaultStep & {doneAtMs: number; error?: string}>;
};

/** Runs an experiment to its end and returns the report; the load ends early when the signal aborts. */
export async function runExperiment(experiment: Experiment, signal: AbortSignal): Promise<BenchReport> {
	// Each request in flight adds a listener to the signal, which may exceed Node's default limit.
	setMaxListeners(0, signal);
	const startMs = performance.now();
	const faultResults = runFaultSteps(experiment.faults ?? [], startMs, signal);
	const stopBalancer = new AbortController();
	const balancer = new RoundRobinBalancer(experiment.gateways);
	const balancerRun = balancer.run(AbortSignal.any([signal, stopBalancer.signal]));
	const measurements: Measurements = {
		ttft: new LatencyHistogram(),
		itl: new LatencyHistogram(),
		counts: {
			sent: 0, whole: 0, broken: 0, refused: 0, unknownOutcome: 0, failed: 0,
		},
	};
	await sendLoad(experiment, balancer, measurements, signal);
	const elapsedMs = performance.now() - startMs;
	const faults = await faultResults;
	stopBalancer.abort();
	await balancerRun;
	return {
		experiment,
		elapsedMs,
		...measurements.counts,
		goodputPerSecond: measurements.counts.whole / (elapsedMs / 1000),
		ttftMs: measurements.ttft.readPercentiles(),
		itlMs: measurements.itl.readPercentiles(),
		recomputedTokens: await fetchRecomputedTokens(experiment.gatewayAdmins ?? []),
		costPerHour: await fetchCostPerHour(experiment),
		faults,
	};
}

/** Sends each request when it is due, even if earlier ones are still in flight, and waits for all to end. */
async function sendLoad(experiment: Experiment, balancer: RoundRobinBalancer, measurements: Measurements, signal: AbortSignal): Promise<void> {
	const startMs = performance.now();
	const inFlight: Array<Promise<void>> = [];
	for (const arrival of generateArrivals(experiment)) {
		const waitMs = arrival.atMs - (performance.now() - startMs);
		if (waitMs > 0) {
			// eslint-disable-next-line no-await-in-loop
			await delay(waitMs);
		}

		if (signal.aborted) {
			break;
		}

		const call = {gateway: balancer.nextGateway(), apiKey: arrival.apiKey};
		measurements.counts.sent++;
		inFlight.push(arrival.idempotencyKey === undefined
			? streamCompletion({
				...call, model: experiment.model, prompt: arrival.prompt, maxTokens: arrival.maxTokens,
			}, measurements, signal)
			: callService({...call, service: experiment.service!, key: arrival.idempotencyKey}, measurements.counts));
	}

	await Promise.all(inFlight);
}

async function runFaultSteps(steps: FaultStep[], startMs: number, signal: AbortSignal): Promise<BenchReport['faults']> {
	return Promise.all(steps.map(async step => {
		await delay(step.atMs, undefined, {signal}).catch(() => undefined);
		const doneAtMs = performance.now() - startMs;
		return {...step, doneAtMs, ...await runFaultStep(step)};
	}));
}

async function fetchRecomputedTokens(adminUrls: string[]): Promise<number> {
	let totalTokens = 0;
	for (const adminUrl of adminUrls) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const dump = await requestJson<{state: {completions?: {recomputedTokens: number}}}>({method: 'GET', url: `${adminUrl}/debug/state`, timeoutMs: 2000});
			totalTokens += dump.body.state.completions?.recomputedTokens ?? 0;
		} catch {
			// A gateway that the experiment killed does not answer; its count is lost.
		}
	}

	return totalTokens;
}

async function fetchCostPerHour(experiment: Experiment): Promise<number | undefined> {
	if (experiment.cloud === undefined || experiment.vms === undefined) {
		return undefined;
	}

	const answer = await requestJson<Price[]>({method: 'GET', url: `${experiment.cloud}/prices`});
	let totalPerHour = 0;
	for (const vm of experiment.vms) {
		const price = answer.body.find(entry => entry.failureDomain === vm.failureDomain && entry.machineClass === vm.machineClass && entry.reclaimable === vm.reclaimable);
		totalPerHour += (price?.perHour ?? 0) * vm.count;
	}

	return totalPerHour;
}

/** Returns a plain-text summary of a report. */
export function formatSummary(report: BenchReport): string {
	const formatPercentiles = (name: string, percentiles: Percentiles) =>
		`${name}: n=${percentiles.count} p50=${percentiles.p50.toFixed(1)}ms p95=${percentiles.p95.toFixed(1)}ms p99=${percentiles.p99.toFixed(1)}ms max=${percentiles.max.toFixed(1)}ms`;
	return [
		`sent ${report.sent} in ${(report.elapsedMs / 1000).toFixed(1)}s: whole ${report.whole}, broken ${report.broken}, refused ${report.refused},`
		+ ` unknown outcome ${report.unknownOutcome}, failed ${report.failed}`,
		`goodput ${report.goodputPerSecond.toFixed(1)}/s`,
		formatPercentiles('time to first token', report.ttftMs),
		formatPercentiles('time between tokens', report.itlMs),
		`recomputed tokens ${report.recomputedTokens}`,
		`VM cost ${report.costPerHour === undefined ? 'not priced' : report.costPerHour.toFixed(2) + '/h'}`,
		...report.faults.map(step => `fault ${step.action} at ${step.doneAtMs.toFixed(0)}ms${step.error === undefined ? '' : `: ${step.error}`}`),
	].join('\n');
}
