import {describe, expect, it} from 'vitest';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {OutcomeHistory} from '../outcome-history.js';
import {OutcomeMetric, type Stratum, Verdict} from '../version-verdict.js';

const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const routes = ['r-1', 'r-2', 'r-3'];
const perSecond = 300;
const stepMs = 250;
const canaryShare = 0.08;
const usualShare: Record<OutcomeMetric, number> = {[OutcomeMetric.Failure]: 0.01, [OutcomeMetric.Slow]: 0.08};

/** The share of failures at a place and time; undefined where it is the usual one. */
type Trouble = (place: {isNext: boolean; failureDomain: string; nowMs: number}) => number | undefined;

/** Plays the test of a version; returns when it was found bad, and when it gave its 50th bad answer since the fault began, in milliseconds. */
function play(trouble: Trouble, {durationMs, faultAtMs, seed}: {durationMs: number; faultAtMs: number; seed: number}): {badAtMs: number; fiftiethAtMs: number} {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const strata: Stratum[] = domains.flatMap(failureDomain => routes.flatMap(route => Object.values(OutcomeMetric).map(metric => ({
		metric, failureDomain, route, current: {answers: 0, bad: 0}, next: {answers: 0, bad: 0},
	}))));
	const history = new OutcomeHistory();
	let badSinceFault = 0;
	let fiftiethAtMs = Number.POSITIVE_INFINITY;
	for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
		for (let request = 0; request < perSecond * stepMs / 1000; request++) {
			const isNext = random() < canaryShare;
			const first = 2 * Math.floor(random() * domains.length * routes.length);
			for (const {metric, failureDomain, current, next} of strata.slice(first, first + 2)) {
				const counts = isNext ? next : current;
				const share = metric === OutcomeMetric.Failure ? trouble({isNext, failureDomain, nowMs}) : undefined;
				const isBad = random() < (share ?? usualShare[metric]);
				counts.answers++;
				counts.bad += isBad ? 1 : 0;
				badSinceFault += isBad && isNext && metric === OutcomeMetric.Failure && nowMs >= faultAtMs ? 1 : 0;
			}
		}

		fiftiethAtMs = Math.min(fiftiethAtMs, badSinceFault >= 50 ? nowMs : Number.POSITIVE_INFINITY);
		if (history.compare(strata, nowMs).verdict === Verdict.Bad) {
			return {badAtMs: nowMs, fiftiethAtMs};
		}
	}

	return {badAtMs: Number.POSITIVE_INFINITY, fiftiethAtMs};
}

const seeds = Array.from({length: 10}, (_, index) => index + 1);

describe('OutcomeHistory', () => {
	it.each([
		{failureShare: 0.2},
		{failureShare: 0.5},
	])('finds a version bad before its 50th failure that fails $failureShare of its answers after 300 s, although thousands of good answers outweigh the bad ones', ({failureShare}) => {
		const faultAtMs = 300_000;
		const plays = seeds.map(seed => play(({isNext, nowMs}) => isNext && nowMs >= faultAtMs ? failureShare : undefined, {durationMs: 330_000, faultAtMs, seed}));
		expect(plays.filter(({badAtMs, fiftiethAtMs}) => badAtMs < faultAtMs || badAtMs > fiftiethAtMs)).toEqual([]);
		expect(Math.max(...plays.map(({badAtMs}) => badAtMs))).toBeLessThanOrEqual(faultAtMs + 10_000);
	});

	it.each<{name: string; trouble: Trouble}>([
		{name: 'in usual times', trouble: () => undefined},
		{name: 'while a failure domain begins to fail at both', trouble: ({failureDomain, nowMs}) => failureDomain === 'fd-b' && nowMs >= 60_000 ? 0.5 : undefined},
	])('does not find a version bad that answers as well as the current one for 300 s, $name', ({trouble}) => {
		const plays = seeds.map(seed => play(trouble, {durationMs: 300_000, faultAtMs: 0, seed}));
		expect(plays.filter(({badAtMs}) => Number.isFinite(badAtMs))).toEqual([]);
	});
});
