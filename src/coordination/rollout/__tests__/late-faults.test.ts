/**
 * Plays whole orders in virtual time with versions that turn bad late, when their good answers
 * of before outweigh the bad ones, and when traffic has begun to move to them.
 */
import {describe, expect, it} from 'vitest';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {RolloutPhase} from '../rollout.js';
import {decidePhase} from '../rollout-decision.js';
import {
	compareVersions, type OutcomeCounts, OutcomeMetric, type Stratum,
} from '../version-verdict.js';

const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const routes = ['r-1', 'r-2', 'r-3'];
const perSecond = 300;
const stepMs = 250;
/** Time until all daemons follow a new phase, and until the holder knows an answer, in milliseconds. */
const delayMs = 500;
/** The operators' bound on the requests that a bad version may get: a share of all requests from the order to its deadline, and a fixed number. */
const bound = {share: 0.1, slack: 50};
/** Share of the requests that test a version. */
const canaryShare = 0.08;
/** Usual share of failures and of slow answers. */
const usualShare: Record<OutcomeMetric, number> = {[OutcomeMetric.Failure]: 0.01, [OutcomeMetric.Slow]: 0.08};

/** The share of failures of either version at a place and time, where it is not the usual one. */
type Trouble = (place: {isNext: boolean; failureDomain: string; route: string; nowMs: number}) => number | undefined;

type PlayOptions = {durationMs: number; trouble: Trouble; seed: number};

/** Plays one order: returns its last phase, when it began, and the requests that the new version got until the order was due. */
function play({durationMs, trouble, seed}: PlayOptions): {phase: RolloutPhase; atMs: number; exposed: number} {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const strata: Stratum[] = domains.flatMap(failureDomain => routes.flatMap(route => Object.values(OutcomeMetric).map(metric => ({
		metric, failureDomain, route, current: {answers: 0, bad: 0}, next: {answers: 0, bad: 0},
	}))));
	const delayed: Array<Array<{counts: OutcomeCounts; isBad: boolean}>> = [];
	let phase: RolloutPhase = RolloutPhase.Canary;
	let phaseSinceMs = 0;
	let followedPhase: RolloutPhase = phase;
	let exposed = 0;
	for (let nowMs = 0; nowMs < durationMs + 2000; nowMs += stepMs) {
		const share = {
			[RolloutPhase.Canary]: canaryShare, [RolloutPhase.Shift]: 1, [RolloutPhase.Completed]: 1, [RolloutPhase.RolledBack]: 0,
		}[followedPhase];
		const answers: Array<{counts: OutcomeCounts; isBad: boolean}> = [];
		delayed.push(answers);
		for (let request = 0; request < perSecond * stepMs / 1000; request++) {
			const isNext = random() < share;
			exposed += isNext && nowMs < durationMs ? 1 : 0;
			const firstStratum = 2 * Math.floor(random() * domains.length * routes.length);
			for (const {metric, failureDomain, route, current, next} of strata.slice(firstStratum, firstStratum + 2)) {
				const place = {
					isNext, failureDomain, route, nowMs,
				};
				const troubleShare = metric === OutcomeMetric.Failure ? trouble(place) : undefined;
				answers.push({counts: isNext ? next : current, isBad: random() < (troubleShare ?? usualShare[metric])});
			}
		}

		for (const {counts, isBad} of delayed.at(-1 - (delayMs / stepMs)) ?? []) {
			counts.answers++;
			counts.bad += isBad ? 1 : 0;
		}

		const {verdict} = compareVersions(strata);
		const change = decidePhase({
			phase, elapsedMs: nowMs, inPhaseMs: nowMs - phaseSinceMs, durationMs, verdict, readyCurrent: 10, readyNext: 10, inFlightCurrent: phase === RolloutPhase.Shift && nowMs - phaseSinceMs > 1500 ? 0 : 5,
		});
		if (change) {
			phase = change.phase;
			phaseSinceMs = nowMs;
		}

		followedPhase = nowMs - phaseSinceMs >= delayMs ? phase : followedPhase;
	}

	return {phase, atMs: phaseSinceMs, exposed};
}

const seeds = Array.from({length: 20}, (_, index) => index + 1);

describe('an order of a version', () => {
	it.each([
		{durationMs: 60_000, failureShare: 0.2, badFrom: 0.25},
		{durationMs: 60_000, failureShare: 0.2, badFrom: 0.5},
		{durationMs: 60_000, failureShare: 0.2, badFrom: 0.7},
		{durationMs: 60_000, failureShare: 0.5, badFrom: 0.8},
		{durationMs: 30_000, failureShare: 0.2, badFrom: 0.7},
		{durationMs: 30_000, failureShare: 0.5, badFrom: 0.8},
		{durationMs: 12_000, failureShare: 0.2, badFrom: 0.5},
		{durationMs: 12_000, failureShare: 0.5, badFrom: 0.7},
	])('of $durationMs ms that fails $failureShare of its answers from $badFrom of that time on is rolled back within the bound', ({durationMs, failureShare, badFrom}) => {
		const plays = seeds.map(seed => play({
			durationMs, trouble: ({isNext, nowMs}) => isNext && nowMs >= durationMs * badFrom ? failureShare : undefined, seed,
		}));
		expect(plays.map(({phase}) => phase)).toEqual(seeds.map(() => RolloutPhase.RolledBack));
		expect(Math.max(...plays.map(({exposed}) => exposed))).toBeLessThanOrEqual((bound.share * perSecond * durationMs / 1000) + bound.slack);
	});

	it.each<{name: string; trouble: Trouble}>([
		{name: 'in usual times', trouble: () => undefined},
		{name: 'while one route fails at both', trouble: ({route}) => route === 'r-1' ? 0.9 : undefined},
		{name: 'while a failure domain fails at both', trouble: ({failureDomain, nowMs}) => failureDomain === 'fd-b' && nowMs >= 5000 ? 0.5 : undefined},
	])('that answers as well as the current one, $name, is completed before it is due', ({trouble}) => {
		const durations = [12_000, 30_000, 60_000];
		const plays = durations.flatMap(durationMs => seeds.map(seed => ({durationMs, ...play({durationMs, trouble, seed})})));
		expect(plays.filter(({phase, atMs, durationMs}) => phase !== RolloutPhase.Completed || atMs >= durationMs)).toEqual([]);
	});
});
