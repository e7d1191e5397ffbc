/**
 * The retry budget of a service over all daemons: it bounds the attempts beyond the first of
 * each request. Without it, when several replicas fail together, every daemon would retry
 * every failed request and multiply the load of the remaining replicas.
 *
 * Each daemon uses its own share without coordination: the proportional part follows its own
 * requests, and the fixed part is divided by the number of daemons.
 */

/** The purpose of a further attempt. Moves of running streams may use a part of the budget that retries may not. */
export enum RetryPurpose {
	Retry = 'retry',
	Move = 'move',
}

/** Share of the budget up to which each purpose may use it; the rest covers daemons that are not known yet. */
const usableShares: Record<RetryPurpose, number> = {[RetryPurpose.Retry]: 0.75, [RetryPurpose.Move]: 0.9};
/** Steps that the window is counted in. */
const windowSteps = 10;

/** The retry budget over all daemons: in each window, further attempts up to `ratio` times the requests plus `slack`. */
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

/** This daemon's share of the retry budgets of all services. */
export class RetryBudget {
	private readonly windows = new Map<string, ServiceWindow>();

	constructor(private readonly bound: RetryBudgetLimits) {}

	/** Counts the first attempt of a request. */
	countRequest(service: string, nowMs: number): void {
		this.window(service).currentCounts(nowMs).firstAttempts++;
	}

	/** Takes one further attempt from the budget if this daemon's share allows it; `daemons` is the number of daemons that share the budget. */
	tryTake(service: string, purpose: RetryPurpose, daemons: number, nowMs: number): boolean {
		const window = this.window(service);
		const {firstAttempts, extraAttempts} = window.sum(nowMs);
		const share = (this.bound.ratio * firstAttempts) + (this.bound.slack / Math.max(1, daemons));
		if (extraAttempts + 1 > share * usableShares[purpose]) {
			return false;
		}

		window.currentCounts(nowMs).extraAttempts++;
		return true;
	}

	/** Returns an attempt that was taken and not used to the budget. */
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

	private window(service: string): ServiceWindow {
		let window = this.windows.get(service);
		if (!window) {
			window = new ServiceWindow(this.bound.windowMs / windowSteps);
			this.windows.set(service, window);
		}

		return window;
	}
}
