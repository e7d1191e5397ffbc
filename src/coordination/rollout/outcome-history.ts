/**
 * Compares the versions of a roll-out over the whole order and over its latest seconds. A version
 * may turn bad late, and the good answers of before would outweigh the bad ones for as long as
 * it was good. The largest evidence over all starting points is Page's cumulative sum (E. S.
 * Page, "Continuous Inspection Schemes", 1954); a few windows of doubling length approximate it.
 */
import {
	compareVersions, type Evidence, type OutcomeCounts, type Stratum, Verdict,
} from './version-verdict.js';

/** Lengths of the windows, in milliseconds. */
const windowsMs = [1000, 2000, 4000, 8000, 16_000];
/** Fewest answers of the current version in a window and stratum that are compared with; with fewer, those of the whole order are. */
const minCurrentAnswers = 10;

type Snapshot = {atMs: number; strata: ReadonlyMap<string, Stratum>};

/** The answers of one order over time. */
export class OutcomeHistory {
	private readonly snapshots: Snapshot[] = [];
	/** Whether the version was found good; from then on only the latest seconds speak against it. */
	private isAccepted = false;

	/** Compares the versions by the counts since the order began, which are kept as of now. */
	compare(strata: Stratum[], nowMs: number): Evidence {
		this.keep(strata, nowMs);
		const whole = compareVersions(strata);
		const recent = this.compareWindows(strata, nowMs);
		const bad = [whole, ...recent].find(({verdict}) => verdict === Verdict.Bad);
		if (bad) {
			return bad;
		}

		this.isAccepted ||= whole.verdict === Verdict.Good;
		const suspicious = recent.find(({isSuspicious}) => isSuspicious);
		return suspicious ? {...suspicious, verdict: Verdict.Undecided} : {...whole, verdict: this.isAccepted ? Verdict.Good : Verdict.Undecided};
	}

	private compareWindows(strata: Stratum[], nowMs: number): Evidence[] {
		return windowsMs.flatMap(windowMs => {
			const start = this.snapshots.findLast(({atMs}) => atMs <= nowMs - windowMs);
			return start ? [{...compareVersions(strata.map(stratum => subtract(stratum, start.strata.get(keyOf(stratum))))), windowMs}] : [];
		});
	}

	private keep(strata: Stratum[], nowMs: number): void {
		this.snapshots.push({atMs: nowMs, strata: new Map(strata.map(stratum => [keyOf(stratum), structuredClone(stratum)]))});
		while (this.snapshots.length > 1 && this.snapshots[1].atMs <= nowMs - windowsMs.at(-1)!) {
			this.snapshots.shift();
		}
	}
}

function keyOf({metric, failureDomain, route}: Stratum): string {
	return JSON.stringify([metric, failureDomain, route]);
}

/** Returns what a stratum gained since an earlier state of it. */
function subtract(stratum: Stratum, earlier: Stratum | undefined): Stratum {
	if (!earlier) {
		return stratum;
	}

	const current = subtractCounts(stratum.current, earlier.current);
	return {
		...stratum, next: subtractCounts(stratum.next, earlier.next), current: current.answers >= minCurrentAnswers ? current : stratum.current,
	};
}

function subtractCounts(counts: OutcomeCounts, earlier: OutcomeCounts): OutcomeCounts {
	return {answers: counts.answers - earlier.answers, bad: counts.bad - earlier.bad};
}
