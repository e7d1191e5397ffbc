/** The metrics registry of a process. It is separate from the HTTP servers so that a serving daemon can load those later, which keeps its start short. */
import {collectDefaultMetrics, Registry} from 'prom-client';

/** Interval at which the event loop delay is sampled, in milliseconds; each sample wakes up an idle process. */
const eventLoopSampleIntervalMs = 250;

/** Creates a metrics registry with the default process metrics of Node.js. */
export function createMetricsRegistry(): Registry {
	const registry = new Registry();
	collectDefaultMetrics({register: registry, eventLoopMonitoringPrecision: eventLoopSampleIntervalMs});
	return registry;
}
