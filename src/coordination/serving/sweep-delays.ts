/**
 * Measures how late the sweeps over the streams run, and so how late a timer may fire in a process
 * that is starved of CPU. The delays of the event loop are measured for new connections only
 * (`EventLoopDelay`), and without single late turns, which count here.
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

	/** Returns the largest recent delay, in milliseconds, including the current overdue time. */
	largestMs(nowMs: number): number {
		const dueMs = this.lastAtMs === undefined ? 0 : nowMs - this.lastAtMs - this.intervalMs;
		return Math.max(0, dueMs, ...this.delays.map(({delayMs}) => delayMs));
	}
}
