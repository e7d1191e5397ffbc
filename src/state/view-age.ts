/**
 * The age of the daemon's view of a topic of the platform's store. The age counts from the
 * moment at which the read that returned the view was sent, not from its answer: a change
 * made in between may be missing from the answer, however late it arrives.
 */

/** The age of one view, measured on a clock that also advances while the machine is suspended. */
export class ViewAge {
	private confirmedAtMs: number | undefined;

	/** Whether the view has been read at least once. */
	get isKnown(): boolean {
		return this.confirmedAtMs !== undefined;
	}

	/** Records that the view was current at `sentAtMs`, when a read that has been answered was sent. */
	confirm(sentAtMs: number): void {
		this.confirmedAtMs = Math.max(this.confirmedAtMs ?? sentAtMs, sentAtMs);
	}

	/** Returns the time since the view was last known to be current, in milliseconds; infinite before the first read. */
	ageMs(nowMs: number): number {
		return this.confirmedAtMs === undefined ? Number.POSITIVE_INFINITY : nowMs - this.confirmedAtMs;
	}
}
