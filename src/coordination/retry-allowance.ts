/**
 * Bounds the arrivals at a service beyond the first of each request, over all daemons.
 * It answers replicas that fail together: without a bound, every daemon would send every
 * failed request again and multiply the load of those that are left.
 *
 * Each daemon uses its own share and asks nobody: retries follow its own requests, and the
 * fixed part is divided by the number of daemons.
 */

/** What a second arrival is for; moves of running streams may use what retries may not. */
export enum RepeatPurpose {
	Retry = 'retry',
	Move = 'move',
}

/** Share of the bound that each purpose may fill; the rest covers daemons that are not known yet. */
const usableShares: Record<RepeatPurpose, number> = {[RepeatPurpose.Retry]: 0.75, [RepeatPurpose.Move]: 0.9};
/** The window is counted in this many steps. */
const steps = 10;

/** The bound over all daemons. */
export type RetryBound = {ratio: number; windowMs: number; slack: number};

/** The bound of one gateway, whose settings name none: one retry for five first tries, and some for a short outage of one engine. */
export const defaultRetryBound: RetryBound = {ratio: 0.2, windowMs: 10_000, slack: 27};

type Counts = {step: number; firsts: number; repeats: number};

class ServiceWindow {
	private readonly counts: Counts[] = [];

	constructor(private readonly stepMs: number) {}

	/** The counts of an earlier step, if it is still in the window. */
	earlier(atMs: number): Counts | undefined {
		const step = this.stepOf(atMs);
		return this.counts.find(count => count.step === step);
	}

	at(nowMs: number): Counts {
		const step = this.stepOf(nowMs);
		while (this.counts.length > 0 && this.counts[0].step <= step - steps) {
			this.counts.shift();
		}

		const last = this.counts.at(-1);
		if (last?.step === step) {
			return last;
		}

		const fresh = {step, firsts: 0, repeats: 0};
		this.counts.push(fresh);
		return fresh;
	}

	sum(nowMs: number): {firsts: number; repeats: number} {
		this.at(nowMs);
		let firsts = 0;
		let repeats = 0;
		for (const count of this.counts) {
			firsts += count.firsts;
			repeats += count.repeats;
		}

		return {firsts, repeats};
	}

	private stepOf(atMs: number): number {
		return Math.floor(atMs / this.stepMs);
	}
}

/** This daemon's share of the retries of every service. */
export class RetryAllowance {
	private readonly windows = new Map<string, ServiceWindow>();

	constructor(private readonly bound: RetryBound) {}

	/** Counts a request for a service. */
	countRequest(service: string, nowMs: number): void {
		this.window(service).at(nowMs).firsts++;
	}

	/** Takes one repeat if the share allows it; `daemons` is the number that share the bound. */
	take(service: string, purpose: RepeatPurpose, daemons: number, nowMs: number): boolean {
		const window = this.window(service);
		const {firsts, repeats} = window.sum(nowMs);
		const share = (this.bound.ratio * firsts) + (this.bound.slack / Math.max(1, daemons));
		if (repeats + 1 > share * usableShares[purpose]) {
			return false;
		}

		window.at(nowMs).repeats++;
		return true;
	}

	/** Gives back a repeat that was taken and not used. */
	giveBack(service: string, takenAtMs: number): void {
		const taken = this.window(service).earlier(takenAtMs);
		if (taken) {
			taken.repeats--;
		}
	}

	/** The requests for a service and the repeats of them in the last window. */
	used(service: string, nowMs: number): {firsts: number; repeats: number} {
		return this.window(service).sum(nowMs);
	}

	private window(service: string): ServiceWindow {
		let window = this.windows.get(service);
		if (!window) {
			window = new ServiceWindow(this.bound.windowMs / steps);
			this.windows.set(service, window);
		}

		return window;
	}
}
