/**
 * How old the daemon's view of the platform's store is. A view is confirmed as of the
 * moment the read that returned it was sent: a change made after that may be missing from
 * it, however late the answer came.
 */

/** The age of one view, on a clock that counts suspensions. */
export class Belief {
	private confirmedAtMs: number | undefined;

	get isKnown(): boolean {
		return this.confirmedAtMs !== undefined;
	}

	/** Notes a read that was sent at `sentAtMs` and answered. */
	confirm(sentAtMs: number): void {
		this.confirmedAtMs = Math.max(this.confirmedAtMs ?? sentAtMs, sentAtMs);
	}

	/** Milliseconds since the view was known to be current; infinite before the first read. */
	ageMs(nowMs: number): number {
		return this.confirmedAtMs === undefined ? Number.POSITIVE_INFINITY : nowMs - this.confirmedAtMs;
	}
}
