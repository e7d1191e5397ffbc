/**
 * Compares the versions of a roll-out over the whole order and over its latest seconds. A version
 * may turn bad late, and the good answers of before outweigh the bad ones for as long as it was
 * good. The largest evidence over all starting points is Page's cumulative sum (E. S. Page,
 * "Continuous Inspection Schemes", 1954); windows of two lengths approximate it.
 */
import {
	compareVersions, type Evidence, type OutcomeCounts, type Stratum, Verdict,
} from './version-verdict.js';

/** Lengths of the windows, in milliseconds: the short one shows a version that fails most answers, the long one a version that fails some. */
const windowsMs = [4000, 16_000];

type Snapshot = {atMs: number; strata: ReadonlyMap<string, Stratum>};

/** The answers under one order over time. */
export class OutcomeHistory {
	private readonly snapshots: Snapshot[] = [];

	/** Compares the versions by the counts since the order began and by their increase over each window, and keeps the counts as a snapshot. */
	compare(strata: Stratum[], nowMs: number): Evidence {
		this.keep(strata, nowMs);
		const whole = compareVersions(strata);
		return whole.verdict === Verdict.Bad ? whole : this.findBadWindow(strata, nowMs) ?? whole;
	}

	private findBadWindow(strata: Stratum[], nowMs: number): Evidence | undefined {
		for (const windowMs of windowsMs) {
			const start = this.snapshots.findLast(({atMs}) => atMs <= nowMs - windowMs);
			const recent = start && compareVersions(strata.map(stratum => subtract(stratum, start.strata.get(keyOf(stratum)))));
			if (recent?.verdict === Verdict.Bad) {
				return recent;
			}
		}

		return undefined;
	}

	private keep(strata: Stratum[], nowMs: number): void {
		this.snapshots.push({atMs: nowMs, strata: new Map(strata.map(stratum => [keyOf(stratum), structuredClone(stratum)]))});
		while (this.snapshots.length > 1 && this.snapshots[1].atMs <= nowMs - Math.max(...windowsMs)) {
			this.snapshots.shift();
		}
	}
}

function keyOf({metric, failureDomain, route}: Stratum): string {
	return JSON.stringify([metric, failureDomain, route]);
}

/** Returns what a stratum gained since an earlier state of it. */
function subtract(stratum: Stratum, earlier: Stratum | undefined): Stratum {
	return earlier ? {...stratum, current: subtractCounts(stratum.current, earlier.current), next: subtractCounts(stratum.next, earlier.next)} : stratum;
}

function subtractCounts(counts: OutcomeCounts, earlier: OutcomeCounts): OutcomeCounts {
	return {answers: counts.answers - earlier.answers, bad: counts.bad - earlier.bad};
}
