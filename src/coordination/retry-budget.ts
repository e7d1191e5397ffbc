/**
 * Bounds the retries of requests that have delivered nothing yet, so that failing
 * engines do not get their load multiplied. Every first try earns a share of a retry.
 * Streams that already delivered tokens are resumed outside this budget: they were
 * accepted, and there are never more of them than requests in flight.
 */

/** Retries earned by each first try. */
export const defaultRetryRatio = 0.2;
/** Retries that may be saved up, and are there at the start. */
export const defaultRetryReserve = 20;

/** A retry budget shared by the requests of one gateway. */
export class RetryBudget {
	private saved: number;

	constructor(
		private readonly ratio = defaultRetryRatio,
		private readonly reserve = defaultRetryReserve,
	) {
		this.saved = reserve;
	}

	/** Counts a first try. */
	earn(): void {
		this.saved = Math.min(this.reserve, this.saved + this.ratio);
	}

	/** Takes one retry if the budget allows it. */
	spend(): boolean {
		if (this.saved < 1) {
			return false;
		}

		this.saved--;
		return true;
	}

	/** Retries saved up, for state dumps. */
	toJson(): number {
		return this.saved;
	}
}
