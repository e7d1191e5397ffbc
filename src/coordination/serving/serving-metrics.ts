/** Counters and latency histograms of the requests that a daemon serves. */
import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import {type ViewState} from '../topic-follower.js';
import {type RequestMetrics} from './request-metrics.js';

/** Upper bounds of the latency buckets, in seconds: around the targets of 0.1 to 1.5 s and the deadlines of 0.6 to 15 s. */
const latencyBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.2, 2, 3, 5, 8, 15];

/** Upper bounds of the buckets of the wait for an assignment, in seconds: from a round trip within a failure domain to the longest wait in a queue. */
const assignmentBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.025, 0.06, 0.15, 0.4, 1, 3];

/** The daemon's state that is read at each scrape. */
export type ServingState = {
	openRequests: () => number;
	/** Returns how many requests named more parts of a prompt than are read. */
	truncatedPrompts: () => number;
	/** Returns the daemon's views of the store's topics, by topic. */
	views: () => Record<string, ViewState>;
};

/** The metrics of one daemon's requests, and of the views of the store that they are served from. */
export class ServingMetrics implements RequestMetrics {
	private readonly finished: Counter;
	private readonly latency: Histogram;
	private readonly streams: Counter;
	private readonly assignments: Counter;
	private readonly assignmentWait: Histogram;
	private readonly limitedCost: Counter;
	private readonly connectionEnds: Counter;

	constructor(registry: Registry, state: ServingState) {
		this.finished = new Counter({
			name: 'sesametally_requests_total', help: 'Requests by route and outcome.', labelNames: ['route', 'outcome'], registers: [registry],
		});
		this.latency = new Histogram({
			name: 'sesametally_request_seconds', help: 'Time from a request\'s arrival to the end of its answer.', labelNames: ['route'], buckets: latencyBucketsSeconds, registers: [registry],
		});
		this.streams = new Counter({
			name: 'sesametally_streams_total', help: 'Streams by how they started (new, or the source of the version of one that a client took up) and whether the daemon delivered events of them.', labelNames: ['start', 'events'], registers: [registry],
		});
		this.assignments = new Counter({
			name: 'sesametally_assignments_total', help: 'Requests for which a coordinator was asked for a backend server, by outcome.', labelNames: ['service', 'result'], registers: [registry],
		});
		this.assignmentWait = new Histogram({
			name: 'sesametally_assignment_wait_seconds', help: 'Time until a coordinator assigned or refused, or was given up.', labelNames: ['service'], buckets: assignmentBucketsSeconds, registers: [registry],
		});
		this.limitedCost = new Counter({
			name: 'sesametally_limited_cost_total', help: 'Cost units requested by accounts with a limit, by account, route and whether the limit admitted them.', labelNames: ['account', 'route', 'result'], registers: [registry],
		});
		this.connectionEnds = new Counter({
			name: 'sesametally_connection_ends_total', help: 'Answers without length and chunks whose connection ended, by route, and whether they count as whole or why they may have ended early.', labelNames: ['route', 'result'], registers: [registry],
		});
		const open = new Gauge({
			name: 'sesametally_requests_open',
			help: 'Requests being served.',
			registers: [registry],
			collect() {
				open.set(state.openRequests());
			},
		});
		const truncatedPrompts = new Gauge({
			name: 'sesametally_truncated_prompts',
			help: 'Requests since the start that named more parts of a prompt than are read.',
			registers: [registry],
			collect() {
				truncatedPrompts.set(state.truncatedPrompts());
			},
		});
		const viewAge = new Gauge({
			name: 'sesametally_view_age_seconds',
			help: 'Time since the view of a topic of the store was confirmed to be current.',
			labelNames: ['topic'],
			registers: [registry],
			collect() {
				for (const [topic, {ageMs}] of Object.entries(state.views())) {
					viewAge.set({topic}, ageMs / 1000);
				}
			},
		});
		const reads = new Gauge({
			name: 'sesametally_store_reads',
			help: 'Reads of a topic of the store since the start, by outcome.',
			labelNames: ['topic', 'outcome'],
			registers: [registry],
			collect() {
				for (const [topic, view] of Object.entries(state.views())) {
					reads.set({topic, outcome: 'answered'}, view.reads.answered);
					reads.set({topic, outcome: 'failed'}, view.reads.failed);
				}
			},
		});
	}

	recordRequest(route: string, outcome: string, seconds: number): void {
		this.finished.inc({route, outcome});
		this.latency.observe({route}, seconds);
	}

	recordStream(start: string, hasEvents: boolean): void {
		this.streams.inc({start, events: String(hasEvents)});
	}

	recordAssignment(service: string, outcome: string, seconds: number): void {
		this.assignments.inc({service, result: outcome});
		this.assignmentWait.observe({service}, seconds);
	}

	recordLimit(account: string, route: string, isAdmitted: boolean, cost: number): void {
		this.limitedCost.inc({account, route, result: isAdmitted ? 'admitted' : 'refused'}, cost);
	}

	recordConnectionEnd(route: string, result: string): void {
		this.connectionEnds.inc({route, result});
	}
}
