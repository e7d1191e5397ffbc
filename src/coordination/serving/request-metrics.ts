/** The interface for counting requests, independent of the metrics library, which is loaded later. */

/** Counts requests by route and outcome. */
export type RequestMetrics = {
	/** Counts a finished request and the time that it took. */
	recordRequest(route: string, outcome: string, seconds: number): void;
	/** Counts a finished stream: `start` is `new`, or how the version became known of one that a client took up. */
	recordStream(start: string, hasEvents: boolean): void;
	/** Counts the outcome of asking a coordinator for a backend server, and how long that took. */
	recordAssignment(service: string, outcome: string, seconds: number): void;
	/** Counts the cost of a request that an account's limit admitted or refused. */
	recordLimit(account: string, route: string, isAdmitted: boolean, cost: number): void;
	/** Counts an answer without length and chunks, whose connection has ended: `whole`, or why it may have ended early. */
	recordConnectionEnd(route: string, result: string): void;
};

/** Forwards counts to metrics that are loaded after the first requests; requests before that appear in the log only. */
export class DeferredMetrics implements RequestMetrics {
	target: RequestMetrics | undefined;

	recordRequest(route: string, outcome: string, seconds: number): void {
		this.target?.recordRequest(route, outcome, seconds);
	}

	recordStream(start: string, hasEvents: boolean): void {
		this.target?.recordStream(start, hasEvents);
	}

	recordAssignment(service: string, outcome: string, seconds: number): void {
		this.target?.recordAssignment(service, outcome, seconds);
	}

	recordLimit(account: string, route: string, isAdmitted: boolean, cost: number): void {
		this.target?.recordLimit(account, route, isAdmitted, cost);
	}

	recordConnectionEnd(route: string, result: string): void {
		this.target?.recordConnectionEnd(route, result);
	}
}
