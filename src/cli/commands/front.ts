/**
 * `sesametally front`: the serving daemon on each entry VM of a platform. It forwards
 * callers' requests to backend servers, follows the platform's store, speaks with its
 * peers, and performs the singleton duties while it holds their lease.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {randomBytes} from 'node:crypto';
import {type FrontSettings, type Platform} from '../../protocol/platform.js';
import {DiagnosticsServer} from '../../transport/diagnostics-server.js';
import {openReadinessServer} from '../../transport/readiness-server.js';
import {createLogger} from '../../log.js';
import {waitForAbort} from '../../abort.js';
import {FrontDaemon} from '../front-daemon.js';

const log = createLogger('front');

/** Time for the balancer's checks to see that the daemon stops, in milliseconds: two misses a second apart, and a margin. */
const leaveBalancerMs = 2600;
/** Time kept at the end of the grace period for closing what is left, in milliseconds. */
const closeMarginMs = 500;
/** How often the open requests are looked at while stopping, in milliseconds. */
const stopCheckMs = 50;

/** Runs a serving daemon until the signal aborts, then stops it within the platform's grace period. */
export async function runFront(platform: Platform, signal: AbortSignal): Promise<void> {
	const {settings} = platform;
	const tasks = new AbortController();
	const daemon = new FrontDaemon(platform, `${settings.name}#${randomBytes(4).toString('hex')}`, tasks.signal);
	const readiness = await openReadinessServer(settings.readiness, platform.dialect.readinessPath, () => daemon.isReady);
	let metrics: DiagnosticsServer | undefined;
	try {
		await daemon.start();
		log.info('started.', {
			name: settings.name, failureDomain: settings.failureDomain, callers: settings.callers.port, readiness: settings.readiness.port, peers: settings.peerPort, metrics: settings.metricsPort, cpuMs: Math.round(process.cpuUsage().user / 1000),
		});

		const reload = () => {
			daemon.reload(true);
		};

		process.on('SIGHUP', reload);
		metrics = await openMetrics(daemon, settings);
		await waitForAbort(signal);
		await finishRequests(daemon, settings.bounds.graceMs);
	} finally {
		// Also where a port is taken: a process left with open ports and no one to stop it would have to be killed, and cut its requests.
		const {openRequests} = daemon;
		daemon.closeCallers();
		daemon.destroyCallers();
		tasks.abort();
		readiness.close();
		readiness.closeAllConnections();
		metrics?.close();
		log.info('stopped.', {cutOff: openRequests});
	}
}

/** Leaves the balancer's rotation, and waits for the open requests to end while the grace period lasts. */
async function finishRequests(daemon: FrontDaemon, graceMs: number): Promise<void> {
	const stopBy = performance.now() + graceMs - closeMarginMs;
	log.info('stopping.', {open: daemon.openRequests, graceMs});
	daemon.beginStop();
	await delay(leaveBalancerMs);
	daemon.closeCallers();
	while (daemon.openRequests > 0 && performance.now() < stopBy) {
		// eslint-disable-next-line no-await-in-loop
		await delay(stopCheckMs);
	}
}

/** Opens the metrics port, whose libraries are loaded last: they take longer than the rest of the start. */
async function openMetrics(daemon: FrontDaemon, settings: FrontSettings): Promise<DiagnosticsServer> {
	const {createRegistry} = await import('../../transport/process-registry.js');
	const metrics = await import('../../coordination/serving/serving-metrics.js');
	const registry = createRegistry();
	daemon.observe(new metrics.ServingMetrics(registry, {openRequests: () => daemon.openRequests, views: () => daemon.views}));
	return DiagnosticsServer.open({host: settings.host, port: settings.metricsPort}, registry, () => daemon.dump());
}
