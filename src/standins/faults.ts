/**
 * Fault injection that the stand-ins share: the `/admin/faults` routes with which tests and
 * the bench make a stand-in fail or slow down, and the delay of slowed answers.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type Hapi from '@hapi/hapi';

/**
 * Adds `POST /admin/faults`, which merges the posted switches into the current ones, and
 * `GET /admin/faults`, which returns them.
 *
 * @param faults The current fault switches; the route mutates this object.
 */
export function addFaultRoutes<T extends Record<string, unknown>>(server: Hapi.Server, faults: T): void {
	server.route({
		method: 'POST',
		path: '/admin/faults',
		handler(request) {
			Object.assign(faults, request.payload as Partial<T>);
			return faults;
		},
	});
	server.route({method: 'GET', path: '/admin/faults', handler: () => faults});
}

/** Waits for the delay that the fault switch `slowMs` sets, if any, in milliseconds. */
export async function delayAnswer(slowMs: number | undefined): Promise<void> {
	if (slowMs !== undefined && slowMs > 0) {
		await delay(slowMs);
	}
}
