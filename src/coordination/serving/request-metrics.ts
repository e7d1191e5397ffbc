/** How requests are counted, apart from the library that keeps the counters. */

/** Requests kept until the metrics are loaded: those of some seconds after a restart. */
const mostEarly = 5000;

type FinishedRequest = [route: string, outcome: string, seconds: number];

/** Counts requests by route and outcome. */
export type RequestMetrics = {
	finish(route: string, outcome: string, seconds: number): void;
};

/** Passes counts on to metrics that are loaded after the first requests, and those before as soon as they are. */
export class DeferredMetrics implements RequestMetrics {
	private target: RequestMetrics | undefined;
	private early: FinishedRequest[] = [];

	finish(...request: FinishedRequest): void {
		if (this.target) {
			this.target.finish(...request);
		} else if (this.early.length < mostEarly) {
			this.early.push(request);
		}
	}

	/** Counts with these metrics from now on. */
	open(target: RequestMetrics): void {
		this.target = target;
		for (const request of this.early) {
			target.finish(...request);
		}

		this.early = [];
	}
}
