/**
 * Shares what is short between client accounts by virtual time: the account that has received
 * least for its weight goes first. Counted is only what was assigned while requests wait, so
 * that nobody pays later for what nobody else wanted.
 */

/** Tracks the virtual time of accounts while requests wait. */
export class AccountShares {
	private readonly virtualTimes = new Map<string, number>();
	/** The largest weight seen, which accounts without a limit have too. */
	private largestWeight = 1;

	/** Records that an account begins to wait: it starts level with the waiting account that has received least. */
	noteWaiting(account: string, waiting: Iterable<string>): void {
		let least = Number.POSITIVE_INFINITY;
		for (const other of waiting) {
			least = Math.min(least, this.virtualTime(other));
		}

		this.virtualTimes.set(account, Math.max(this.virtualTime(account), Number.isFinite(least) ? least : 0));
	}

	/** Charges an account for what it was assigned; one without a limit has no weight of its own. */
	charge(account: string, cost: number, weight: number | undefined): void {
		this.largestWeight = Math.max(this.largestWeight, weight ?? 0);
		this.virtualTimes.set(account, this.virtualTime(account) + (cost / (weight ?? this.largestWeight)));
	}

	/** Returns what an account has received for its weight. */
	virtualTime(account: string): number {
		return this.virtualTimes.get(account) ?? 0;
	}

	/** Starts over; called when nothing waits. */
	reset(): void {
		this.virtualTimes.clear();
	}
}
