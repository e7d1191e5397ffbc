/** Exponential backoff between attempts that were refused, kept for each key. */

/** The first and the longest pause, in milliseconds; each pause in between is twice the one before. */
export type BackoffBounds = {firstMs: number; longestMs: number};

/** The length of a pause and its end, in milliseconds; part of state dumps. */
type Pause = {pauseMs: number; untilMs: number};

/** Tracks the pauses of a set of keys. */
export class Backoff {
	private readonly pauses = new Map<string, Pause>();

	constructor(private readonly bounds: BackoffBounds) {}

	/** Returns whether a key may be tried at `nowMs`. */
	canTry(key: string, nowMs: number): boolean {
		return (this.pauses.get(key)?.untilMs ?? 0) <= nowMs;
	}

	/** Records a refusal at `nowMs` and starts a pause, twice as long as the last one. */
	noteRefusal(key: string, nowMs: number): void {
		const last = this.pauses.get(key);
		const pauseMs = last ? Math.min(this.bounds.longestMs, last.pauseMs * 2) : this.bounds.firstMs;
		this.pauses.set(key, {pauseMs, untilMs: nowMs + pauseMs});
	}

	/** Records a success, so that the next refusal starts with the first pause again. */
	noteSuccess(key: string): void {
		this.pauses.delete(key);
	}

	/** Returns the pauses by key for state dumps. */
	toJson(): Record<string, Pause> {
		return Object.fromEntries(this.pauses);
	}
}
