/** Counters and latency histograms of the serving path. */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import {type RequestMetrics} from './request-metrics.js';

/** Upper bounds of the latency buckets, in seconds: around the targets of 0.1 to 1.5 s and the deadlines of 0.6 to 15 s. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.2, 2, 3, 5, 8, 15];

/** The metrics of one daemon's requests. */
export class ServingMetrics implements RequestMetrics {
	private readonly finished: Counter;
	private readonly latency: Histogram;

	constructor(registry: Registry, openRequests: () => number) {
		this.finished = new Counter({
			name: 'sesametally_requests_total', help: 'Requests by route and outcome.', labelNames: ['route', 'outcome'], registers: [registry],
		});
		this.latency = new Histogram({
			name: 'sesametally_request_seconds', help: 'Time from a request\'s arrival to the end of its answer.', labelNames: ['route'], buckets: latencyBuckets, registers: [registry],
		});
		const open = new Gauge({
			name: 'sesametally_requests_open',
			help: 'Requests being served.',
			registers: [registry],
			collect() {
				open.set(openRequests());
			},
		});
	}

	finish(route: string, outcome: string, seconds: number): void {
		this.finished.inc({route, outcome});
		this.latency.observe({route}, seconds);
	}
}
