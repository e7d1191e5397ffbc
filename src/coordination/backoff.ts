/**
 * Doubling pauses between tries of something that was refused, per subject.
 */

/** The shortest and longest pause, in milliseconds. */
export type BackoffBounds = {firstMs: number; longestMs: number};

type Wait = {pauseMs: number; untilMs: number};

/** The pauses of a set of subjects. */
export class Backoff {
	private readonly waits = new Map<string, Wait>();

	constructor(private readonly bounds: BackoffBounds) {}

	/** Whether a subject may be tried at `nowMs`. */
	mayTry(subject: string, nowMs: number): boolean {
		return (this.waits.get(subject)?.untilMs ?? 0) <= nowMs;
	}

	/** Notes a refusal at `nowMs`; the next pause is twice as long. */
	noteRefusal(subject: string, nowMs: number): void {
		const last = this.waits.get(subject);
		const pauseMs = last ? Math.min(this.bounds.longestMs, last.pauseMs * 2) : this.bounds.firstMs;
		this.waits.set(subject, {pauseMs, untilMs: nowMs + pauseMs});
	}

	/** Notes a success: the next refusal starts from the shortest pause. */
	noteSuccess(subject: string): void {
		this.waits.delete(subject);
	}

	/** Pauses in force, for state dumps. */
	toJson(): Record<string, Wait> {
		return Object.fromEntries(this.waits);
	}
}
