/**
 * Measures how late the event loop runs, by how late a timer fires. A single late turn, such as
 * that of a garbage collection, leaves nothing waiting behind it, so the smallest delay of the
 * latest turns counts.
 */

/** Interval of the timer, in milliseconds, and the number of latest turns of which the smallest delay counts. */
const intervalMs = 25;
const countedTurns = 4;
/** Part of the delay of a turn in progress that may be a single late one, in milliseconds. */
const singleTurnMs = 150;

/** Measures the delay of the event loop. */
export class EventLoopDelay {
	private readonly delaysMs: number[] = [];
	private dueAtMs = Number.POSITIVE_INFINITY;

	/** @param now Returns the present time in milliseconds. */
	constructor(private readonly now: () => number) {}

	/** Starts to measure, until the signal aborts. */
	start(signal: AbortSignal): void {
		this.dueAtMs = this.now() + intervalMs;
		const timer = setInterval(() => {
			this.noteTurn(this.now());
		}, intervalMs);
		timer.unref();
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
	}

	/** Records that the timer has fired. */
	noteTurn(nowMs: number): void {
		this.delaysMs.push(Math.max(0, nowMs - this.dueAtMs));
		if (this.delaysMs.length > countedTurns) {
			this.delaysMs.shift();
		}

		this.dueAtMs = nowMs + intervalMs;
	}

	/** Returns the delay of the turn in progress, or of the last one, in milliseconds. */
	turnDelayMs(nowMs: number): number {
		return Math.max(this.delaysMs.at(-1) ?? 0, nowMs - this.dueAtMs);
	}

	/** Returns the delay that has persisted of late, in milliseconds. */
	standingDelayMs(nowMs: number): number {
		const persisted = this.delaysMs.length < countedTurns ? 0 : Math.min(...this.delaysMs);
		return Math.max(persisted, nowMs - this.dueAtMs - singleTurnMs);
	}
}
