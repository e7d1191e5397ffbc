/**
 * The bench's experiment runner: open-loop arrivals at a set rate from seeded
 * random numbers (`pure-rand`), a mix of client accounts, prompt lengths and
 * non-idempotent calls, fault steps at set times, and a report. It drives real
 * processes on loopback only, bounded by `maxRequests` and `durationMs`.
 */
import process from 'node:process';
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {requestJson, requestStream} from '../transport/http-client.js';
import {readEvents} from '../transport/sse.js';
import {completionText} from '../standins/engine-output.js';
import {type Price} from '../protocol/cloud-api.js';
import {type Experiment, FaultAction, type FaultStep} from './experiment.js';
import {Balancer} from './balancer.js';
import {LatencyHistogram, type Percentiles} from './histogram.js';

const words = ['contract', 'offtake', 'assay', 'shipment', 'terms', 'driver', 'gate', 'booking', 'lease', 'summary', 'price', 'copper', 'space', 'ticket', 'resident'];

/** The report of one experiment. */
export type BenchReport = {
	experiment: Experiment;
	elapsedMs: number;
	sent: number;
	/** Completed with the whole, correct answer. */
	whole: number;
	/** Completed with a wrong or partial answer. */
	broken: number;
	refused: number;
	unknownOutcome: number;
	failed: number;
	goodputPerSecond: number;
	ttftMs: Percentiles;
	itlMs: Percentiles;
	recomputedTokens: number;
	costPerHour: number | undefined;
	faults: Array<FaultStep & {doneAtMs: number; error?: string}>;
};

type Counts = Pick<BenchReport, 'sent' | 'whole' | 'broken' | 'refused' | 'unknownOutcome' | 'failed'>;

/** Runs an experiment to its end and returns the report. */
export async function runExperiment(experiment: Experiment, signal: AbortSignal): Promise<BenchReport> {
	// Every request in flight listens on the experiment's signal.
	setMaxListeners(0, signal);
	const rng = xoroshiro128plus(experiment.seed);
	const ttft = new LatencyHistogram();
	const itl = new LatencyHistogram();
	const counts: Counts = {
		sent: 0, whole: 0, broken: 0, refused: 0, unknownOutcome: 0, failed: 0,
	};
	const startMs = performance.now();
	const faultLog: BenchReport['faults'] = [];
	const faultsDone = Promise.all((experiment.faults ?? []).map(async step => {
		await delay(step.atMs, undefined, {signal}).catch(() => undefined);
		faultLog.push({...step, doneAtMs: performance.now() - startMs, ...await applyFault(step)});
	}));
	const stopped = new AbortController();
	const balancer = new Balancer(experiment.gateways);
	const balancing = balancer.run(AbortSignal.any([signal, stopped.signal]));
	const totalShare = experiment.accounts.reduce((sum, account) => sum + account.share, 0);
	const pickAccount = () => {
		let point = uniformFloat64(rng) * totalShare;
		for (const account of experiment.accounts) {
			point -= account.share;
			if (point < 0) {
				return account.apiKey;
			}
		}

		return experiment.accounts.at(-1)!.apiKey;
	};

	const inFlight: Array<Promise<void>> = [];
	let atMs = 0;
	for (let index = 0; index < experiment.maxRequests && !signal.aborted; index++) {
		atMs += (-Math.log(1 - uniformFloat64(rng)) / experiment.ratePerSecond) * 1000;
		if (atMs > experiment.durationMs) {
			break;
		}

		const waitMs = atMs - (performance.now() - startMs);
		if (waitMs > 0) {
			// eslint-disable-next-line no-await-in-loop
			await delay(waitMs);
		}

		const gateway = balancer.next();
		const apiKey = pickAccount();
		counts.sent++;
		if (experiment.service !== undefined && uniformFloat64(rng) < (experiment.nonIdempotentShare ?? 0)) {
			inFlight.push(callService({
				gateway, apiKey, service: experiment.service, key: `bench-${experiment.seed}-${index}`,
			}, counts));
			continue;
		}

		const promptLength = uniformInt(rng, experiment.promptWords.min, experiment.promptWords.max);
		const shared = Math.min(experiment.sharedPrefixWords ?? 0, promptLength);
		const promptWords: string[] = [];
		for (let word = 0; word < promptLength; word++) {
			promptWords.push(word < shared ? words[word % words.length] : words[uniformInt(rng, 0, words.length - 1)]);
		}

		const maxTokens = uniformInt(rng, experiment.maxTokens.min, experiment.maxTokens.max);
		inFlight.push(streamCompletion({
			gateway, apiKey, model: experiment.model, prompt: promptWords.join(' '), maxTokens,
		}, {ttft, itl, counts}, signal));
	}

	await Promise.all(inFlight);
	const elapsedMs = performance.now() - startMs;
	await faultsDone;
	stopped.abort();
	await balancing;
	return {
		experiment,
		elapsedMs,
		...counts,
		goodputPerSecond: counts.whole / (elapsedMs / 1000),
		ttftMs: ttft.percentiles(),
		itlMs: itl.percentiles(),
		recomputedTokens: await readRecomputedTokens(experiment.gatewayAdmins ?? []),
		costPerHour: await readCost(experiment),
		faults: faultLog,
	};
}

/** One call the bench makes, to a gateway or straight to an engine. */
type Call = {gateway: string; apiKey: string};
type CompletionCall = Call & {model: string; prompt: string; maxTokens: number};
type ServiceCall = Call & {service: string; key: string};
type Sinks = {ttft: LatencyHistogram; itl: LatencyHistogram; counts: Counts};

async function streamCompletion({gateway, apiKey, model, prompt, maxTokens}: CompletionCall, sinks: Sinks, signal: AbortSignal): Promise<void> {
	const sentMs = performance.now();
	try {
		const response = await requestStream({
			method: 'POST',
			url: `${gateway}/v1/completions`,
			payload: {
				model, prompt, max_tokens: maxTokens, stream: true,
			},
			headers: {authorization: `Bearer ${apiKey}`},
			timeoutMs: 60_000,
			signal,
		});
		if (response.statusCode !== 200) {
			response.resume();
			const outcome = response.headers['x-sesametally-outcome'];
			if (outcome === 'not-run') {
				sinks.counts.refused++;
			} else {
				sinks.counts.failed++;
			}

			return;
		}

		let text = '';
		let lastMs = sentMs;
		let unknown = false;
		for await (const data of readEvents(response)) {
			if (data === '[DONE]') {
				break;
			}

			const event = JSON.parse(data) as {choices?: Array<{text: string}>; error?: unknown};
			if (event.error !== undefined) {
				unknown = true;
				break;
			}

			const nowMs = performance.now();
			if (text === '') {
				sinks.ttft.record(nowMs - sentMs);
			} else {
				sinks.itl.record(nowMs - lastMs);
			}

			lastMs = nowMs;
			text += event.choices![0].text;
		}

		if (unknown) {
			sinks.counts.unknownOutcome++;
		} else if (text === completionText(prompt, maxTokens)) {
			sinks.counts.whole++;
		} else {
			sinks.counts.broken++;
		}
	} catch {
		sinks.counts.failed++;
	}
}

async function callService({gateway, apiKey, service, key}: ServiceCall, counts: Counts): Promise<void> {
	try {
		const answer = await requestJson({
			method: 'POST',
			url: `${gateway}/v1/services/${service}/confirm`,
			payload: {key},
			headers: {authorization: `Bearer ${apiKey}`, 'idempotency-key': key, 'x-sesametally-idempotent': 'false'},
		});
		const outcome = answer.headers['x-sesametally-outcome'];
		if (answer.statusCode === 200) {
			counts.whole++;
		} else if (outcome === 'not-run') {
			counts.refused++;
		} else if (outcome === 'unknown') {
			counts.unknownOutcome++;
		} else {
			counts.failed++;
		}
	} catch {
		counts.failed++;
	}
}

async function applyFault(step: FaultStep): Promise<{error?: string}> {
	const signals: Partial<Record<FaultAction, NodeJS.Signals>> = {
		[FaultAction.Kill]: 'SIGKILL',
		[FaultAction.Stop]: 'SIGSTOP',
		[FaultAction.Continue]: 'SIGCONT',
		[FaultAction.Terminate]: 'SIGTERM',
	};
	try {
		const name = signals[step.action];
		if (name !== undefined) {
			process.kill(step.pid!, name);
		} else if (step.action === FaultAction.Switch) {
			await requestJson({method: 'POST', url: `${step.url!}/admin/faults`, payload: step.faults ?? {}});
		} else if (step.action === FaultAction.Reclaim) {
			await requestJson({method: 'POST', url: `${step.url!}/admin/reclaim`, payload: {failureDomain: step.failureDomain}});
		}

		return {};
	} catch (error) {
		return {error: String(error)};
	}
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
