/**
 * Metrics of what callers experience, with `prom-client`.
 */
import {Counter, Histogram, type Registry} from 'prom-client';
import {type Outcome} from '../protocol/openai.js';

/** How a request ended for its caller; refusals and failures end with their {@link Outcome}. */
export const answeredWhole = 'whole';

/** Bounds of the first-token histogram in seconds, around the target of 1.9 s. */
const firstTokenBuckets = [0.05, 0.1, 0.25, 0.5, 1, 1.9, 3, 5, 10, 30];

/** Counts of requests and times to first token, per client account. */
export class CallerMetrics {
	private readonly requests: Counter;
	private readonly firstToken: Histogram;

	constructor(registry: Registry) {
		this.requests = new Counter({
			name: 'sesametally_requests_total', help: 'Completion requests ended, by client account and outcome (whole, not-run, unknown).', labelNames: ['account', 'outcome'], registers: [registry],
		});
		this.firstToken = new Histogram({
			name: 'sesametally_first_token_seconds', help: 'Time from a request to its first token.', labelNames: ['account'], buckets: firstTokenBuckets, registers: [registry],
		});
	}

	/** Counts a request's end. */
	noteEnd(account: string, outcome: Outcome | typeof answeredWhole): void {
		this.requests.inc({account, outcome});
	}

	/** Records the time to a request's first token, in milliseconds. */
	noteFirstToken(account: string, elapsedMs: number): void {
		this.firstToken.observe({account}, elapsedMs / 1000);
	}
}
