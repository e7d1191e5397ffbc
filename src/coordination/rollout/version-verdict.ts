/**
 * Compares a new version with the current one by a sequential probability ratio test (Wald,
 * 1945): after each answer the likelihood of "as often bad as the current version" is weighed
 * against "clearly more often", and the test ends as soon as the evidence suffices for the
 * stated error rates.
 *
 * Both versions are compared within the same failure domain and route over the same time, so
 * that trouble which meets both is not taken for the version's. A version is only bad if the
 * evidence also suffices without the failure domain that contributes most: the fault may be
 * that of the one backend server which tests the version there.
 */

/** Probability with which a version that is as good as the current one is found bad. */
const falseAlarmRate = 1e-4;
/** Probability with which a bad version is found good. */
const missRate = 0.01;
const badThreshold = Math.log((1 - missRate) / falseAlarmRate);
const goodThreshold = Math.log(missRate / (1 - falseAlarmRate));
/** Evidence against one route from which on a version is not found good. */
const suspectRouteEvidence = 2;
/** Answers of the current version in all failure domains that the rate in one of them is blended with. */
const priorAnswers = 10;
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

/** For each metric: the increase in the share of bad answers that must be detected, and the lowest share that is assumed of the current version. */
const detection: Record<OutcomeMetric, {increase: number; minRate: number}> = {
	[OutcomeMetric.Failure]: {increase: 0.15, minRate: 0.005},
	[OutcomeMetric.Slow]: {increase: 0.25, minRate: 0.05},
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

type ScoredStratum = Stratum & {score: number};

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
		isGood &&= sumScores(ofMetric) <= goodThreshold;
		// An empty name stands for all routes together.
		for (const route of ['', ...routes]) {
			const group = route === '' ? ofMetric : ofMetric.filter(stratum => stratum.route === route);
			const score = sumScores(group);
			isBad ||= isConvincing(group, score);
			isGood &&= route === '' || score < suspectRouteEvidence;
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

/** Whether the evidence suffices to find a version bad, also without the failure domain that contributes most. */
function isConvincing(strata: ScoredStratum[], score: number): boolean {
	if (score < badThreshold) {
		return false;
	}

	const domains = [...new Set(strata.filter(({next}) => next.answers > 0).map(({failureDomain}) => failureDomain))];
	if (domains.length < 2) {
		return domains.length === 1;
	}

	const mostOfOneDomain = Math.max(...domains.map(domain => sumScores(strata.filter(({failureDomain}) => failureDomain === domain))));
	return score - mostOfOneDomain >= badThreshold;
}

/** Returns the log likelihood ratio of each stratum of one metric. */
function scoreStrata(strata: Stratum[]): ScoredStratum[] {
	return strata.map(stratum => {
		const {metric, route, current, next} = stratum;
		const {increase, minRate} = detection[metric];
		const ofRoute = sumCounts(strata.filter(other => other.route === route).map(other => other.current));
		const routeRate = ofRoute.answers === 0 ? minRate : ofRoute.bad / ofRoute.answers;
		const blended = (current.bad + (routeRate * priorAnswers)) / (current.answers + priorAnswers);
		const usualRate = Math.min(0.95, Math.max(minRate, blended));
		const badRate = usualRate + (increase * (1 - usualRate));
		const score = (next.bad * Math.log(badRate / usualRate)) + ((next.answers - next.bad) * Math.log((1 - badRate) / (1 - usualRate)));
		return {...stratum, score};
	});
}

function sumScores(strata: ScoredStratum[]): number {
	let sum = 0;
	for (const {score} of strata) {
		sum += score;
	}

	return sum;
}

function sumCounts(counts: OutcomeCounts[]): OutcomeCounts {
	const sum = {answers: 0, bad: 0};
	for (const {answers, bad} of counts) {
		sum.answers += answers;
		sum.bad += bad;
	}

	return sum;
}
