/** How requests are counted, apart from the library that keeps the counters. */

/** Counts requests by route and outcome. */
export type RequestMetrics = {
	finish(route: string, outcome: string, seconds: number): void;
};

/** Passes counts on to metrics that are loaded after the first requests; those before are in the log only. */
export class DeferredMetrics implements RequestMetrics {
	target: RequestMetrics | undefined;

	finish(route: string, outcome: string, seconds: number): void {
		this.target?.finish(route, outcome, seconds);
	}
}
