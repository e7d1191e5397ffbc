/**
 * An account's limit over a sliding window in which operators changed it. If a limit that was
 * lowered far below an account's rate applied to the whole window at once, the requests
 * admitted under the old limit would fill it, and all new requests would be refused for most
 * of a window. So the part of the window before the change is granted the old limit; a raised
 * limit applies at once.
 */

/** A limit: sustained cost units a second, and a burst of cost units beyond them. */
export type Limit = {ratePerSecond: number; burst: number};

/** A limit and the time from which on it was in force. */
type LimitPeriod = Limit & {sinceMs: number};

/** The limits of one account that were in force within the window. */
export class LimitHistory {
	private periods: LimitPeriod[] = [];

	constructor(private readonly windowMs: number) {}

	/** The limit in force now; undefined before the first one was noted. */
	get current(): Limit | undefined {
		return this.periods.at(-1);
	}

	/** Records the limit in force from now on. */
	note({ratePerSecond, burst}: Limit, nowMs: number): void {
		const last = this.periods.at(-1);
		if (last?.ratePerSecond !== ratePerSecond || last.burst !== burst) {
			this.periods.push({ratePerSecond, burst, sinceMs: last ? nowMs : Number.NEGATIVE_INFINITY});
		}
	}

	/** Records the limit in force and returns the cost units that may be admitted in the window that ends now. */
	grantedInWindow(limit: Limit, nowMs: number): number {
		this.note(limit, nowMs);
		this.periods = this.periods.filter((stage, index) => index === this.periods.length - 1 || this.periods[index + 1].sinceMs > nowMs - this.windowMs);
		let sum = 0;
		for (const [index, stage] of this.periods.entries()) {
			const fromMs = Math.max(stage.sinceMs, nowMs - this.windowMs);
			const untilMs = this.periods.at(index + 1)?.sinceMs ?? nowMs;
			sum += this.windowTotal(stage) * (untilMs - fromMs) / this.windowMs;
		}

		return Math.max(sum, this.windowTotal(limit));
	}

	/** Returns the cost units of a limit that was in force for a whole window. */
	private windowTotal({ratePerSecond, burst}: Limit): number {
		return (ratePerSecond * this.windowMs / 1000) + burst;
	}
}
