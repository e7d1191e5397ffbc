/**
 * Merges the totals that several daemons, the reporters, send about the same group, each
 * counted from a start of its own. The merged total follows the reporter that has counted most
 * since its first report, so a relay that dies, lags or starts over neither loses what another
 * relay counted nor counts it twice.
 */
import {type AccountUse} from '../account-window.js';

/** Totals by client account. */
export type UseTotals = Map<string, AccountUse>;

/** Time without a report after which a reporter is removed, in milliseconds. */
const reporterExpiryMs = 60_000;

type Reporter = {
	heardAtMs: number;
	/** The totals of its first report. */
	firstTotals: UseTotals;
	/** The merged totals before its first report. */
	mergedAtStart: UseTotals;
};

const zeroUse: AccountUse = {admitted: 0, refused: 0};

/** Adds to the totals of one account. */
export function addUse(totals: UseTotals, account: string, use: AccountUse): void {
	const {admitted, refused} = totals.get(account) ?? zeroUse;
	totals.set(account, {admitted: admitted + use.admitted, refused: refused + use.refused});
}

/** Subtracts from the totals of one account what was added to them before. */
export function subtractUse(totals: UseTotals, account: string, use: AccountUse): void {
	addUse(totals, account, {admitted: -use.admitted, refused: -use.refused});
}

/** What one group of daemons admitted and refused, merged from several reporters. */
export class MergedCounters {
	private readonly merged: UseTotals = new Map();
	private readonly reporters = new Map<string, Reporter>();

	/**
	 * Merges the current totals of a reporter.
	 *
	 * @returns The increase of the merged totals, by account.
	 */
	note(reporterName: string, totals: UseTotals, nowMs: number): UseTotals {
		this.prune(nowMs);
		const reporter = this.reporters.get(reporterName) ?? {heardAtMs: nowMs, firstTotals: totals, mergedAtStart: new Map(this.merged)};
		reporter.heardAtMs = nowMs;
		this.reporters.set(reporterName, reporter);
		const growth: UseTotals = new Map();
		for (const [account, total] of totals) {
			const first = reporter.firstTotals.get(account) ?? zeroUse;
			const base = reporter.mergedAtStart.get(account) ?? zeroUse;
			const known = this.merged.get(account) ?? zeroUse;
			const admitted = Math.max(known.admitted, base.admitted + total.admitted - first.admitted);
			const refused = Math.max(known.refused, base.refused + total.refused - first.refused);
			this.merged.set(account, {admitted, refused});
			growth.set(account, {admitted: admitted - known.admitted, refused: refused - known.refused});
		}

		return growth;
	}

	private prune(nowMs: number): void {
		for (const [name, reporter] of this.reporters) {
			if (nowMs - reporter.heardAtMs > reporterExpiryMs) {
				this.reporters.delete(name);
			}
		}
	}
}
