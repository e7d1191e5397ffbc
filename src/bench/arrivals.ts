/**
 * Generates the load of an experiment from seeded random numbers: the time, API key and
 * content of each request. The same seed generates the same load.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type Experiment} from './experiment.js';

const vocabulary = ['contract', 'offtake', 'assay', 'shipment', 'terms', 'driver', 'gate', 'booking', 'lease', 'summary', 'price', 'copper', 'space', 'ticket', 'resident'];

/** One request to send. */
export type Arrival = {
	/** When the request is due, in milliseconds from the start. */
	atMs: number;
	apiKey: string;
	/** The idempotency key of a service call; absent for a completion. */
	idempotencyKey?: string;
	prompt: string;
	maxTokens: number;
};

/** Yields the requests of an experiment in order of time: Poisson arrivals at `ratePerSecond`. */
export function * generateArrivals(experiment: Experiment): Generator<Arrival> {
	const rng = xoroshiro128plus(experiment.seed);
	let totalShare = 0;
	for (const account of experiment.accounts) {
		totalShare += account.share;
	}

	const pickApiKey = () => {
		let remainingShare = uniformFloat64(rng) * totalShare;
		for (const account of experiment.accounts) {
			remainingShare -= account.share;
			if (remainingShare < 0) {
				return account.apiKey;
			}
		}

		return experiment.accounts.at(-1)!.apiKey;
	};

	const makePrompt = () => {
		const length = uniformInt(rng, experiment.promptWords.min, experiment.promptWords.max);
		const sharedLength = Math.min(experiment.sharedPrefixWords ?? 0, length);
		return Array.from({length}, (_, index) => index < sharedLength ? vocabulary[index % vocabulary.length] : vocabulary[uniformInt(rng, 0, vocabulary.length - 1)]).join(' ');
	};

	let atMs = 0;
	for (let index = 0; index < experiment.maxRequests; index++) {
		atMs += (-Math.log(1 - uniformFloat64(rng)) / experiment.ratePerSecond) * 1000;
		if (atMs > experiment.durationMs) {
			return;
		}

		const apiKey = pickApiKey();
		const isServiceCall = experiment.service !== undefined && uniformFloat64(rng) < (experiment.nonIdempotentShare ?? 0);
		yield isServiceCall
			? {
				atMs, apiKey, idempotencyKey: `bench-${experiment.seed}-${index}`, prompt: '', maxTokens: 0,
			}
			: {
				atMs, apiKey, prompt: makePrompt(), maxTokens: uniformInt(rng, experiment.maxTokens.min, experiment.maxTokens.max),
			};
	}
}
