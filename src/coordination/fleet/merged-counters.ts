/**
 * Totals that several daemons tell of the same group, each counted from a start of its
 * own. The merged total follows whoever has counted most since it was first heard, so a
 * relay that dies, lags or begins anew neither loses what another one counted nor counts it
 * twice.
 */
import {type AccountUse} from '../account-window.js';

/** Totals by client account. */
export type UseTotals = Map<string, AccountUse>;

/** A teller that said nothing for this long is forgotten, in milliseconds. */
const forgottenMs = 60_000;

type Teller = {
	heardAtMs: number;
	/** What it said first. */
	first: UseTotals;
	/** What was merged when it was first heard. */
	base: UseTotals;
};

const none: AccountUse = {admitted: 0, refused: 0};

/** Adds to the totals of one account. */
export function addUse(totals: UseTotals, account: string, use: AccountUse): void {
	const {admitted, refused} = totals.get(account) ?? none;
	totals.set(account, {admitted: admitted + use.admitted, refused: refused + use.refused});
}

/** Takes off the totals of one account what was added to them before. */
export function subtractUse(totals: UseTotals, account: string, use: AccountUse): void {
	addUse(totals, account, {admitted: -use.admitted, refused: -use.refused});
}

/** What one group of daemons admitted and refused, merged from several tellers. */
export class MergedCounters {
	private readonly merged: UseTotals = new Map();
	private readonly tellers = new Map<string, Teller>();

	/**
	 * Takes the totals that a teller says now.
	 *
	 * @returns What the merged totals grew by, by account.
	 */
	note(tellerName: string, totals: UseTotals, nowMs: number): UseTotals {
		this.prune(nowMs);
		const teller = this.tellers.get(tellerName) ?? {heardAtMs: nowMs, first: totals, base: new Map(this.merged)};
		teller.heardAtMs = nowMs;
		this.tellers.set(tellerName, teller);
		const growth: UseTotals = new Map();
		for (const [account, total] of totals) {
			const first = teller.first.get(account) ?? none;
			const base = teller.base.get(account) ?? none;
			const known = this.merged.get(account) ?? none;
			const admitted = Math.max(known.admitted, base.admitted + total.admitted - first.admitted);
			const refused = Math.max(known.refused, base.refused + total.refused - first.refused);
			this.merged.set(account, {admitted, refused});
			growth.set(account, {admitted: admitted - known.admitted, refused: refused - known.refused});
		}

		return growth;
	}

	private prune(nowMs: number): void {
		for (const [name, teller] of this.tellers) {
			if (nowMs - teller.heardAtMs > forgottenMs) {
				this.tellers.delete(name);
			}
		}
	}
}
