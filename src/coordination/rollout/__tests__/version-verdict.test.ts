import {describe, expect, it} from 'vitest';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {
	compareVersions, type OutcomeCounts, OutcomeMetric, type Stratum, Verdict,
} from '../version-verdict.js';

const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const routes = ['r-1', 'r-2', 'r-3'];

/** The share of bad answers of one version at one place; the metrics have the same share unless stated. */
type BadShare = (place: {isNext: boolean; failureDomain: string; route: string; metric: OutcomeMetric}) => number;

/** Draws the answers of a service in steps of a tenth of a second, a tenth of them from the new version, until there is a verdict or the time is over. */
function play(badShare: BadShare, {perSecond, seconds, seed}: {perSecond: number; seconds: number; seed: number}): {verdict: Verdict; atMs: number; exposed: number} {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformFloat64(generator);
	const strata: Stratum[] = domains.flatMap(failureDomain => routes.flatMap(route => Object.values(OutcomeMetric).map(metric => ({
		metric, failureDomain, route, current: {answers: 0, bad: 0}, next: {answers: 0, bad: 0},
	}))));
	const count = (counts: OutcomeCounts, isBad: boolean) => {
		counts.answers++;
		counts.bad += isBad ? 1 : 0;
	};

	let exposed = 0;
	for (let atMs = 0; atMs < seconds * 1000; atMs += 100) {
		for (let answer = 0; answer < perSecond / 10; answer++) {
			const isNext = random() < 0.08;
			exposed += isNext ? 1 : 0;
			const failureDomain = domains[Math.floor(random() * domains.length)];
			const route = routes[Math.floor(random() * routes.length)];
			for (const stratum of strata.filter(each => each.failureDomain === failureDomain && each.route === route)) {
				count(isNext ? stratum.next : stratum.current, random() < badShare({isNext, ...stratum}));
			}
		}

		const {verdict} = compareVersions(strata);
		if (verdict !== Verdict.Undecided) {
			return {verdict, atMs, exposed};
		}
	}

	return {verdict: Verdict.Undecided, atMs: seconds * 1000, exposed};
}

const usual: BadShare = ({metric}) => metric === OutcomeMetric.Failure ? 0.01 : 0.08;

describe('compareVersions', () => {
	it.each([
		{name: 'fails one answer in five', badShare: place => place.isNext && place.metric === OutcomeMetric.Failure ? 0.2 : usual(place), withinMs: 3000},
		{name: 'fails half of its answers', badShare: place => place.isNext && place.metric === OutcomeMetric.Failure ? 0.5 : usual(place), withinMs: 2000},
		{name: 'is slow in six answers of ten', badShare: place => place.isNext && place.metric === OutcomeMetric.Slow ? 0.6 : usual(place), withinMs: 3000},
		{name: 'fails half of its answers on one route only', badShare: place => place.isNext && place.route === 'r-2' && place.metric === OutcomeMetric.Failure ? 0.5 : usual(place), withinMs: 4000},
	] satisfies Array<{name: string; badShare: BadShare; withinMs: number}>)('finds a version bad that $name, at 300 answers a second typically within $withinMs ms', ({badShare, withinMs}) => {
		const plays = Array.from({length: 40}, (_, index) => play(badShare, {perSecond: 300, seconds: 10, seed: index + 1}));
		expect(plays.map(({verdict}) => verdict)).toEqual(plays.map(() => Verdict.Bad));
		expect(plays.map(({atMs}) => atMs).toSorted((a, b) => a - b)[plays.length / 2]).toBeLessThanOrEqual(withinMs);
		for (const {atMs, exposed} of plays) {
			expect(exposed).toBeLessThan((atMs / 1000 * 300 * 0.1) + 50);
		}
	});

	it.each([
		{name: 'answers as well as the current one', badShare: usual},
		{name: 'meets a fault of one failure domain, as the current one does', badShare: place => place.failureDomain === 'fd-b' ? 0.5 : usual(place)},
		{name: 'is tested by one faulty backend server', badShare: place => place.isNext && place.failureDomain === 'fd-c' ? 0.5 : usual(place)},
		{name: 'serves a route that always fails', badShare: place => place.route === 'r-1' && place.metric === OutcomeMetric.Failure ? 0.9 : usual(place)},
	] satisfies Array<{name: string; badShare: BadShare}>)('does not find a version bad that $name', ({badShare}) => {
		for (let seed = 1; seed <= 250; seed++) {
			const {verdict} = play(badShare, {perSecond: 300, seconds: 5, seed});
			expect({seed, isBad: verdict === Verdict.Bad}).toEqual({seed, isBad: false});
		}
	});

	it('finds a version good that answers as well as the current one', () => {
		const verdicts = Array.from({length: 20}, (_, seed) => play(usual, {perSecond: 300, seconds: 9, seed: seed + 1}).verdict);
		expect(verdicts).toEqual(verdicts.map(() => Verdict.Good));
	});

	it('finds a version bad that fails one answer in five within 3 s at 300 answers a second, in every play', () => {
		const plays = Array.from({length: 20}, (_, index) => play(place => place.isNext && place.metric === OutcomeMetric.Failure ? 0.2 : usual(place), {perSecond: 300, seconds: 10, seed: index + 1}));
		expect(Math.max(...plays.map(({atMs}) => atMs))).toBeLessThanOrEqual(3000);
	});

	it('gives no verdict on a handful of answers', () => {
		const stratum: Stratum = {
			metric: OutcomeMetric.Failure, failureDomain: 'fd-a', route: 'r', current: {answers: 500, bad: 0}, next: {answers: 5, bad: 5},
		};
		expect(compareVersions([stratum]).verdict).toBe(Verdict.Undecided);
	});
});
