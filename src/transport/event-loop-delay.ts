/**
 * Measures how late the event loop runs, by how late a timer fires. A single late turn, such as
 * that of a garbage collection, leaves nothing waiting behind it, so the smallest delay of the
 * latest turns counts. It measures under load only, since a timer wakes up an idle process.
 */

/** Interval of the timer, in milliseconds, and the number of latest turns of which the smallest delay counts. */
export const turnIntervalMs = 50;
const countedTurns = 3;
/** Part of the delay of a turn in progress that may be a single late one, in milliseconds. */
const singleTurnMs = 150;
/** Time without load after which it stops to measure, in milliseconds. */
const idleMs = 1000;

/** Measures the delay of the event loop. */
export class EventLoopDelay {
	private readonly delaysMs: number[] = [];
	private dueAtMs = Number.POSITIVE_INFINITY;
	private loadedAtMs = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;

	/** @param now Returns the present time in milliseconds. */
	constructor(private readonly now: () => number) {}

	/** Records that there is load, so that the delay is measured for a while. */
	noteLoad(nowMs: number): void {
		this.loadedAtMs = nowMs;
		if (!this.timer) {
			this.dueAtMs = nowMs + turnIntervalMs;
			this.timer = setInterval(() => {
				this.noteTurn(this.now());
			}, turnIntervalMs);
			this.timer.unref();
		}
	}

	/** Records that the timer has fired. */
	noteTurn(nowMs: number): void {
		if (nowMs - this.loadedAtMs > idleMs) {
			this.stop();
			return;
		}

		this.delaysMs.push(Math.max(0, nowMs - this.dueAtMs));
		if (this.delaysMs.length > countedTurns) {
			this.delaysMs.shift();
		}

		this.dueAtMs = nowMs + turnIntervalMs;
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

	private stop(): void {
		clearInterval(this.timer);
		this.timer = undefined;
		this.dueAtMs = Number.POSITIVE_INFINITY;
		this.delaysMs.length = 0;
	}
}
