/**
 * An account's limit over a window in which the operators changed it. It answers a limit
 * that is lowered far below what an account sends: measured against the new limit at once,
 * what was rightly admitted before would refuse all its requests for most of a window.
 * The part of the window before the change is granted what held then; a raise counts at once.
 */

/** A limit: cost units a second, and at once beyond that. */
export type Limit = {ratePerSecond: number; burst: number};

type Stage = Limit & {sinceMs: number};

/** The limits of one account that count in the window now. */
export class LimitHistory {
	private stages: Stage[] = [];

	constructor(private readonly windowMs: number) {}

	/** The limit in force now; undefined before the first. */
	get latest(): Limit | undefined {
		return this.stages.at(-1);
	}

	/** Notes the limit in force from now on. */
	note({ratePerSecond, burst}: Limit, nowMs: number): void {
		const last = this.stages.at(-1);
		if (last?.ratePerSecond !== ratePerSecond || last.burst !== burst) {
			this.stages.push({ratePerSecond, burst, sinceMs: last ? nowMs : Number.NEGATIVE_INFINITY});
		}
	}

	/** Cost units that any window ending now may hold, where this limit is in force now. */
	granted(limit: Limit, nowMs: number): number {
		this.note(limit, nowMs);
		this.stages = this.stages.filter((stage, index) => index === this.stages.length - 1 || this.stages[index + 1].sinceMs > nowMs - this.windowMs);
		let sum = 0;
		for (const [index, stage] of this.stages.entries()) {
			const fromMs = Math.max(stage.sinceMs, nowMs - this.windowMs);
			const untilMs = this.stages.at(index + 1)?.sinceMs ?? nowMs;
			sum += this.inFull(stage) * (untilMs - fromMs) / this.windowMs;
		}

		return Math.max(sum, this.inFull(limit));
	}

	private inFull({ratePerSecond, burst}: Limit): number {
		return (ratePerSecond * this.windowMs / 1000) + burst;
	}
}
