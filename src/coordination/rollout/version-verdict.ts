/**
 * Compares a new version with the current one by a sequential probability ratio test (Wald,
 * 1945): after each answer the likelihood of "as often bad as the current version" is weighed
 * against "clearly more often", and the test ends as soon as the evidence suffices for the
 * stated error rates. "Clearly more often" is several increases at once: a large one, which few
 * answers show, and a small one, which still shows when a version turns bad after thousands of
 * good answers.
 *
 * Both versions are compared within the same failure domain and route over the same time, so
 * that trouble which meets both is not taken for the version's. A version is only bad if enough
 * evidence remains without the failure domain that contributes most: the fault may be that of
 * the one backend server which tests the version there.
 */

/** Probability with which one comparison over the whole order finds a version bad that is as good as the current one; the comparisons over windows (`outcome-history.ts`) add to it. */
const falseAlarmRate = 1e-4;
/** Probability with which a bad version is found good. */
const missRate = 0.01;
const badThreshold = Math.log((1 - missRate) / falseAlarmRate);
const goodThreshold = Math.log(missRate / (1 - falseAlarmRate));
/** Evidence against one route from which on a version is not found good: such answers are seven times as likely of a bad version. */
const suspectRouteEvidence = 2;
/** Evidence against a version over all routes from which on it is not found good: a hundred times as likely, the inverse of the miss rate. */
const suspectVersionEvidence = 4.6;
/** Evidence about failures on all routes that must remain without the failure domain that contributes most. */
const confirmingEvidence = 5;
/** The same as a share of the whole evidence: a bad version fails in all domains alike, a faulty backend server in one. */
const minConfirmingShare = 0.25;
/** Answers of the new version from which on these suffice; among fewer, two chance failures beside a faulty backend server reach them. */
const minConfirmingAnswers = 30;
/**
 * Answers of the current version in all failure domains that the rate in one of them is blended
 * with. With 10, places without a failure so far appear to have none, and chance failures of the
 * new version there weigh too much.
 */
const priorAnswers = 40;
/** Fewest answers of the new version for any verdict. */
const minAnswers = 8;

/** The verdict on a version. */
export enum Verdict {
	Undecided = 'undecided',
	Good = 'good',
	Bad = 'bad',
}

/** What is compared. */
export enum OutcomeMetric {
	/** The backend server answered with a failure. */
	Failure = 'failure',
	/** The answer took several times as long as is usual on its route. */
	Slow = 'slow',
}

/**
 * For each metric: the increases in the share of bad answers that must be detected, starting with
 * the one that a good version must be shown not to have, and the lowest share that is assumed of
 * the current version. Slowness has no small increase, since the few replicas that test a version start cold.
 */
const detection: Record<OutcomeMetric, {increases: [number, ...number[]]; minRate: number}> = {
	[OutcomeMetric.Failure]: {increases: [0.15, 0.04], minRate: 0.005},
	[OutcomeMetric.Slow]: {increases: [0.25], minRate: 0.05},
};

/** Answers, and how many of them were bad. */
export type OutcomeCounts = {answers: number; bad: number};

/** What one route's requests met in one failure domain, by version. */
export type Stratum = {
	metric: OutcomeMetric;
	failureDomain: string;
	route: string;
	current: OutcomeCounts;
	next: OutcomeCounts;
};

/** The evidence for a verdict, for logs: log likelihood ratios, positive against the version. */
export type Evidence = {verdict: Verdict; answers: number; bad: number; worst: number; worstRoute: string; worstMetric: OutcomeMetric | undefined};

/** A stratum with its log likelihood ratio for each increase. */
type ScoredStratum = Stratum & {scores: number[]};

/** Compares the versions over all strata. */
export function compareVersions(strata: Stratum[]): Evidence {
	const scored = Object.values(OutcomeMetric).flatMap(metric => scoreStrata(strata.filter(stratum => stratum.metric === metric)));
	const next = sumCounts(strata.filter(({metric}) => metric === OutcomeMetric.Failure).map(stratum => stratum.next));
	const evidence: Evidence = {
		verdict: Verdict.Undecided, ...next, worst: Number.NEGATIVE_INFINITY, worstRoute: '', worstMetric: undefined,
	};
	let isBad = false;
	let isGood = true;
	for (const metric of Object.values(OutcomeMetric)) {
		const ofMetric = scored.filter(stratum => stratum.metric === metric);
		const routes = [...new Set(ofMetric.map(({route}) => route))];
		const domains = [...new Set(ofMetric.filter(stratum => stratum.next.answers > 0).map(({failureDomain}) => failureDomain))];
		isGood &&= sumLargestIncrease(ofMetric) <= goodThreshold && evidenceOf(ofMetric) < suspectVersionEvidence;
		// An empty name stands for all routes together.
		for (const route of ['', ...routes]) {
			const group = route === '' ? ofMetric : ofMetric.filter(stratum => stratum.route === route);
			const score = evidenceOf(group);
			const canConfirm = route === '' && metric === OutcomeMetric.Failure && next.answers >= minConfirmingAnswers;
			isBad ||= isConvincing(group, domains, canConfirm ? confirmingEvidence : badThreshold);
			isGood &&= route === '' || sumLargestIncrease(group) < suspectRouteEvidence;
			if (score > evidence.worst) {
				Object.assign(evidence, {worst: score, worstRoute: route, worstMetric: metric});
			}
		}
	}

	if (next.answers >= minAnswers) {
		evidence.verdict = isBad ? Verdict.Bad : (isGood ? Verdict.Good : Verdict.Undecided);
	}

	return evidence;
}

/** Whether the evidence suffices to find a version bad, and enough of it remains without any one of the failure domains that test the version. */
function isConvincing(strata: ScoredStratum[], domains: string[], leastRemaining: number): boolean {
	if (evidenceOf(strata) < badThreshold || domains.length === 0) {
		return false;
	}

	return domains.length === 1 || domains.every(domain => {
		const remaining = strata.filter(({failureDomain}) => failureDomain !== domain);
		return evidenceOf(remaining) >= badThreshold || sumLargestIncrease(remaining) >= Math.max(leastRemaining, minConfirmingShare * sumLargestIncrease(strata));
	});
}

/** Returns the log likelihood ratios of each stratum of one metric. */
function scoreStrata(strata: Stratum[]): ScoredStratum[] {
	return strata.map(stratum => {
		const {metric, route, current, next} = stratum;
		const {increases, minRate} = detection[metric];
		const ofRoute = sumCounts(strata.filter(other => other.route === route).map(other => other.current));
		const routeRate = ofRoute.answers === 0 ? minRate : ofRoute.bad / ofRoute.answers;
		const blended = (current.bad + (routeRate * priorAnswers)) / (current.answers + priorAnswers);
		const usualRate = Math.min(0.95, Math.max(minRate, blended));
		const scores = increases.map(increase => {
			const badRate = usualRate + (increase * (1 - usualRate));
			return (next.bad * Math.log(badRate / usualRate)) + ((next.answers - next.bad) * Math.log((1 - badRate) / (1 - usualRate)));
		});
		return {...stratum, scores};
	});
}

/** Returns the evidence for any of the increases: the logarithm of the mean of their likelihood ratios, which keeps the error rates of one comparison. */
function evidenceOf(strata: ScoredStratum[]): number {
	const sums = strata.at(0)?.scores.map((_, index) => sum(strata.map(({scores}) => scores[index]))) ?? [0];
	const largest = Math.max(...sums);
	return largest + Math.log(sum(sums.map(each => Math.exp(each - largest))) / sums.length);
}

/** Returns the log likelihood ratio for the largest increase. */
function sumLargestIncrease(strata: ScoredStratum[]): number {
	return sum(strata.map(({scores}) => scores[0]));
}

function sum(values: number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}

function sumCounts(counts: OutcomeCounts[]): OutcomeCounts {
	const sum = {answers: 0, bad: 0};
	for (const {answers, bad} of counts) {
		sum.answers += answers;
		sum.bad += bad;
	}

	return sum;
}
