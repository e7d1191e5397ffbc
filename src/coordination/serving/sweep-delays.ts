/**
 * Tells how late the sweeps over the streams have run of late, and so how late a timer may fire:
 * a process that is short of processor time waits for its turn.
 */

/** How long a late sweep counts, in milliseconds. */
const countedMs = 2000;

/** The delays of the latest sweeps. */
export class SweepDelays {
	private lastAtMs: number | undefined;
	private readonly delays: Array<{atMs: number; delayMs: number}> = [];

	/** @param intervalMs Time from one sweep to the next, in milliseconds. */
	constructor(private readonly intervalMs: number) {}

	/** Records a sweep. */
	note(nowMs: number): void {
		if (this.lastAtMs !== undefined) {
			this.delays.push({atMs: nowMs, delayMs: Math.max(0, nowMs - this.lastAtMs - this.intervalMs)});
		}

		this.lastAtMs = nowMs;
		while (this.delays.length > 0 && nowMs - this.delays[0].atMs > countedMs) {
			this.delays.shift();
		}
	}

	/** Returns the largest delay of late, in milliseconds, that of a sweep which is due included. */
	largestMs(nowMs: number): number {
		const dueMs = this.lastAtMs === undefined ? 0 : nowMs - this.lastAtMs - this.intervalMs;
		return Math.max(0, dueMs, ...this.delays.map(({delayMs}) => delayMs));
	}
}
