/** Notices that the process did not run for a while, as when it was stopped or got no processor time. What it then learns of the present says little of the time at which events arrived. */

/** Time without a turn from which on the process counts as paused, in milliseconds: a backend server may have ended and started again meanwhile. */
const minPauseMs = 500;
/** Time after a pause in which events that arrived during the pause may still be processed, in milliseconds. */
const backlogMs = 1000;

/** Notices pauses of the process. */
export class PauseWatch {
	private activeAtMs: number | undefined;
	private pausedUntilMs = Number.NEGATIVE_INFINITY;

	/** Records that the process runs; called several times a second. */
	noteActive(nowMs: number): void {
		if (this.wasPausedAt(nowMs)) {
			this.pausedUntilMs = nowMs;
		}

		this.activeAtMs = nowMs;
	}

	/** Whether events that are processed now may have arrived during a pause. */
	hasBacklog(nowMs: number): boolean {
		return this.wasPausedAt(nowMs) || nowMs - this.pausedUntilMs <= backlogMs;
	}

	private wasPausedAt(nowMs: number): boolean {
		return this.activeAtMs !== undefined && nowMs - this.activeAtMs >= minPauseMs;
	}
}
