/**
 * Stand-in for the platform's lagging VM list (see `protocol/cloud-api.ts`): it polls the VMs
 * of the cloud stand-in and serves the list as it was `lagMs` ago.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type VmEntry} from '../protocol/cloud-api.js';
import {fetchJson} from '../transport/http-client.js';
import {createServerWithDiagnostics, startServer} from '../transport/http-server.js';
import {createMetricsRegistry} from '../transport/metrics-registry.js';
import {createLogger} from '../log.js';
import {type VmListStandinSettings} from './settings.js';
import {addFaultRoutes} from './faults.js';

const log = createLogger('standin-vms');
const pollIntervalMs = 100;

/**
 * Runs the VM list stand-in until the signal aborts.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runVmListStandin(settings: VmListStandinSettings, signal: AbortSignal): Promise<void> {
	const faults: {outage?: boolean} = {};
	let snapshots: Array<{atMs: number; vms: VmEntry[]}> = [];
	const server = createServerWithDiagnostics(settings.listen, createMetricsRegistry(), () => ({faults, snapshots: snapshots.length}));
	addFaultRoutes(server, faults);
	server.route({
		method: 'GET',
		path: '/vms',
		handler(_request, h) {
			const asOfMs = Date.now() - settings.lagMs;
			const servedSnapshot = snapshots.findLast(snapshot => snapshot.atMs <= asOfMs);
			const isMissing = faults.outage === true || servedSnapshot === undefined;
			return isMissing ? h.response({error: 'no list'}).code(503) : servedSnapshot.vms;
		},
	});
	await startServer(server);
	log.info('listening.', {port: server.info.port});
	while (!signal.aborted) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const vms = await fetchJson<VmEntry[]>({
				method: 'GET', url: `${settings.cloudUrl}/vms`, timeoutMs: 1000, signal,
			});
			const nowMs = Date.now();
			snapshots.push({atMs: nowMs, vms});
			snapshots = snapshots.filter(snapshot => snapshot.atMs > nowMs - settings.lagMs - 1000);
		} catch {
			// The cloud stand-in is unreachable: the earlier snapshots are still served.
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(pollIntervalMs, undefined, {signal}).catch(() => undefined);
	}

	await server.stop({timeout: 1000});
}
