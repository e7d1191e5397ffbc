/**
 * The retry budget of a service: it bounds the attempts beyond the first of each request.
 * Without it, when several replicas fail together, every failed request would be retried and
 * would multiply the load of the remaining replicas.
 */

/** The purpose of a further attempt. Moves of running streams may use a part of the budget that retries may not. */
export enum RetryPurpose {
	Retry = 'retry',
	Move = 'move',
}

/** Share of the budget up to which each purpose may use it; the rest covers the attempts of which this daemon has not heard yet. */
export const usableShares: Record<RetryPurpose, number> = {[RetryPurpose.Retry]: 0.75, [RetryPurpose.Move]: 0.9};
/** Steps that the window is counted in. */
const windowSteps = 10;

/** The limits of a retry budget: in each window, further attempts up to `ratio` times the requests plus `slack`. */
export type RetryBudgetLimits = {ratio: number; windowMs: number; slack: number};

/** The retry budget of a gateway, which has no setting for it: one retry for five requests, and some for a short outage of one engine. */
export const defaultRetryLimits: RetryBudgetLimits = {ratio: 0.2, windowMs: 10_000, slack: 27};

/** First attempts of requests and further attempts, by step. */
type Counts = {step: number; firstAttempts: number; extraAttempts: number};

/** The attempts for one service within the sliding window. */
class ServiceWindow {
	private readonly counts: Counts[] = [];

	constructor(private readonly stepMs: number) {}

	/** Returns the counts of the step at `atMs`, if it is still in the window. */
	countsAt(atMs: number): Counts | undefined {
		const step = this.stepOf(atMs);
		return this.counts.find(count => count.step === step);
	}

	/** Returns the counts of the current step and drops the steps that have left the window. */
	currentCounts(nowMs: number): Counts {
		const step = this.stepOf(nowMs);
		while (this.counts.length > 0 && this.counts[0].step <= step - windowSteps) {
			this.counts.shift();
		}

		const last = this.counts.at(-1);
		if (last?.step === step) {
			return last;
		}

		const added = {step, firstAttempts: 0, extraAttempts: 0};
		this.counts.push(added);
		return added;
	}

	/** Returns the sums over the window. */
	sum(nowMs: number): {firstAttempts: number; extraAttempts: number} {
		this.currentCounts(nowMs);
		let firstAttempts = 0;
		let extraAttempts = 0;
		for (const count of this.counts) {
			firstAttempts += count.firstAttempts;
			extraAttempts += count.extraAttempts;
		}

		return {firstAttempts, extraAttempts};
	}

	private stepOf(atMs: number): number {
		return Math.floor(atMs / this.stepMs);
	}
}

/** The retry budgets of all services. */
export type RetryBudget = {
	/** Counts the first attempt of a request. */
	countRequest(service: string, nowMs: number): void;
	/** Takes one further attempt from the budget; returns whether it allows one. */
	tryTake(service: string, purpose: RetryPurpose, nowMs: number): boolean;
	/** Returns an attempt that was taken and not used to the budget. */
	giveBack(service: string, takenAtMs: number, nowMs: number): void;
	/** Describes how much of the budget is used, for refusal reasons and logs. */
	describe(service: string, nowMs: number): string;
};

/** The retry budgets of a process that shares them with no other. */
export class LocalRetryBudget implements RetryBudget {
	private readonly windows = new Map<string, ServiceWindow>();

	constructor(private readonly limits: RetryBudgetLimits) {}

	countRequest(service: string, nowMs: number): void {
		this.window(service).currentCounts(nowMs).firstAttempts++;
	}

	tryTake(service: string, purpose: RetryPurpose, nowMs: number): boolean {
		const window = this.window(service);
		const {firstAttempts, extraAttempts} = window.sum(nowMs);
		const budget = (this.limits.ratio * firstAttempts) + this.limits.slack;
		if (extraAttempts + 1 > budget * usableShares[purpose]) {
			return false;
		}

		window.currentCounts(nowMs).extraAttempts++;
		return true;
	}

	giveBack(service: string, takenAtMs: number): void {
		const counts = this.window(service).countsAt(takenAtMs);
		if (counts) {
			counts.extraAttempts--;
		}
	}

	/** Returns the first and further attempts for a service in the window. */
	attemptsInWindow(service: string, nowMs: number): {firstAttempts: number; extraAttempts: number} {
		return this.window(service).sum(nowMs);
	}

	describe(service: string, nowMs: number): string {
		const {firstAttempts, extraAttempts} = this.attemptsInWindow(service, nowMs);
		return `${extraAttempts} repeats for ${firstAttempts} requests`;
	}

	private window(service: string): ServiceWindow {
		let window = this.windows.get(service);
		if (!window) {
			window = new ServiceWindow(this.limits.windowMs / windowSteps);
			this.windows.set(service, window);
		}

		return window;
	}
}
