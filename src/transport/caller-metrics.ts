/**
 * Metrics of completion requests per client account, with `prom-client`.
 */
import {Counter, Histogram, type Registry} from 'prom-client';
import {type Outcome} from '../protocol/openai.js';

/** The outcome label of a request that was answered completely; refused and failed requests have their {@link Outcome}. */
export const completedOutcome = 'whole';

/** Bucket bounds of the time to first token, in seconds; one is the target of 1.9 s. */
const firstTokenBucketsSeconds = [0.05, 0.1, 0.25, 0.5, 1, 1.9, 3, 5, 10, 30];

/** Counts requests and records times to first token, per client account. */
export class CallerMetrics {
	private readonly requests: Counter;
	private readonly firstToken: Histogram;

	constructor(registry: Registry) {
		this.requests = new Counter({
			name: 'sesametally_requests_total', help: 'Completion requests ended, by client account and outcome (whole, not-run, unknown).', labelNames: ['account', 'outcome'], registers: [registry],
		});
		this.firstToken = new Histogram({
			name: 'sesametally_first_token_seconds', help: 'Time from a request to its first token.', labelNames: ['account'], buckets: firstTokenBucketsSeconds, registers: [registry],
		});
	}

	/** Counts an ended request by its outcome. */
	recordEnd(account: string, outcome: Outcome | typeof completedOutcome): void {
		this.requests.inc({account, outcome});
	}

	/** Records a request's time to first token, in milliseconds. */
	recordFirstToken(account: string, elapsedMs: number): void {
		this.firstToken.observe({account}, elapsedMs / 1000);
	}
}
