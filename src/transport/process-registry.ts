/** The metrics registry that every process starts from. Apart from the HTTP servers, which load later where a start must be short. */
import {collectDefaultMetrics, Registry} from 'prom-client';

/** How often the event loop's delay is looked at, in milliseconds: each look wakes an idle process up. */
const loopDelayMs = 250;

/** Creates a metrics registry with Node's default process metrics. */
export function createRegistry(): Registry {
	const registry = new Registry();
	collectDefaultMetrics({register: registry, eventLoopMonitoringPrecision: loopDelayMs});
	return registry;
}
