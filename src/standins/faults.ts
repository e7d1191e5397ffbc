/**
 * Shared pieces of the stand-ins: the `/admin/faults` route that tests and the bench
 * use to cut or slow a stand-in, and the wait that applies a slow mode.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type Hapi from '@hapi/hapi';

/**
 * Adds `POST /admin/faults` (merge the posted switches) and `GET /admin/faults`.
 *
 * @param faults The live switches; the route mutates this object.
 */
export function addFaultRoute<T extends Record<string, unknown>>(server: Hapi.Server, faults: T): void {
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

/** Waits the configured slow-mode delay, if any. */
export async function applySlowMode(slowMs: number | undefined): Promise<void> {
	if (slowMs !== undefined && slowMs > 0) {
		await delay(slowMs);
	}
}
