/**
 * `sesametally front`: runs the serving daemon of an entry VM. The daemon forwards clients'
 * requests to backend servers, follows the platform's store, exchanges state with its peers,
 * and performs the singleton duties while it holds their lease.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {randomBytes} from 'node:crypto';
import {type Platform} from '../../protocol/platform.js';
import {type ConnectionTable} from '../../transport/connection-table.js';
import {DiagnosticsServer} from '../../transport/diagnostics-server.js';
import {openReadinessServer} from '../../transport/readiness-server.js';
import {createLogger} from '../../log.js';
import {waitForAbort} from '../../abort.js';
import {type AssignmentMode} from '../../coordination/assignment/assignment-activation.js';
import {FrontDaemon} from '../front-daemon.js';

const log = createLogger('front');

/** Time until the load balancer has noticed that the daemon stops, in milliseconds: two failed checks a second apart, plus a margin. */
const leaveRotationMs = 2600;
/** Time reserved at the end of the grace period for closing the remaining connections, in milliseconds. */
const closeMarginMs = 500;
/** Time reserved before that for answers to the requests that are still open, in milliseconds. */
const answerMarginMs = 300;
/** Interval at which the number of open requests is checked while stopping, in milliseconds. */
const stopCheckIntervalMs = 50;

/** Runs a serving daemon until the signal aborts, then stops it within the platform's grace period. */
export async function runFront(platform: Platform, assignmentMode: AssignmentMode, signal: AbortSignal): Promise<void> {
	const {settings} = platform;
	const tasks = new AbortController();
	const daemon = new FrontDaemon(platform, `${settings.name}#${randomBytes(4).toString('hex')}`, tasks.signal, assignmentMode);
	const readiness = await openReadinessServer(settings.readiness, platform.dialect.readinessPath, () => daemon.isReady, settings.machine);
	let diagnosticsServer: DiagnosticsServer | undefined;
	try {
		await daemon.start();
		log.info('started.', {
			name: settings.name, failureDomain: settings.failureDomain, callers: settings.callers.port, readiness: settings.readiness.port, peers: settings.peerPort, metrics: settings.metricsPort, cpuMs: Math.round(process.cpuUsage().user / 1000),
		});

		const reload = () => {
			daemon.reload(true);
		};

		process.on('SIGHUP', reload);
		diagnosticsServer = await startDiagnosticsServer(daemon, platform, readiness.connectionTable);
		await waitForAbort(signal);
		await finishRequests(daemon, settings.bounds.graceMs);
	} finally {
		// Also runs if a port cannot be bound: otherwise the open ports would keep the process running, and killing it would interrupt its requests.
		const {openRequests} = daemon;
		daemon.closeServer();
		daemon.destroyConnections();
		tasks.abort();
		readiness.close();
		readiness.closeAllConnections();
		diagnosticsServer?.close();
		log.info('stopped.', {cutOff: openRequests});
	}
}

/** Leaves the load balancer's rotation, waits until the open requests have ended or the grace period is almost over, ends those whose answer has not begun, and waits for the others. */
async function finishRequests(daemon: FrontDaemon, graceMs: number): Promise<void> {
	const {inactiveMs} = daemon;
	const deadlineMs = performance.now() - inactiveMs + graceMs - closeMarginMs;
	const endMs = deadlineMs - answerMarginMs;
	log.info('stopping.', {open: daemon.openRequests, graceMs, inactiveMs: Math.round(inactiveMs)});
	daemon.beginStop(endMs - performance.now());
	await delay(Math.min(leaveRotationMs, Math.max(0, endMs - performance.now())));
	daemon.closeServer();
	await waitForRequests(daemon, endMs);
	if (daemon.openRequests > 0) {
		log.info('ending the open requests.', {open: daemon.openRequests});
		daemon.endRequests();
		await waitForRequests(daemon, deadlineMs);
	}
}

/** Waits until all requests have ended, or until a time. */
async function waitForRequests(daemon: FrontDaemon, untilMs: number): Promise<void> {
	while (daemon.openRequests > 0 && performance.now() < untilMs) {
		// eslint-disable-next-line no-await-in-loop
		await delay(stopCheckIntervalMs);
	}
}

/** Starts the diagnostics server on the metrics port; loads its libraries last, since they take longer than the rest of the start. */
async function startDiagnosticsServer(daemon: FrontDaemon, {settings, dialect}: Platform, readiness: ConnectionTable): Promise<DiagnosticsServer> {
	const {createMetricsRegistry} = await import('../../transport/metrics-registry.js');
	const servingMetrics = await import('../../coordination/serving/serving-metrics.js');
	const {addConnectionMetrics} = await import('../../transport/connection-metrics.js');
	const registry = createMetricsRegistry();
	daemon.useMetrics(new servingMetrics.ServingMetrics(registry, {openRequests: () => daemon.openRequests, truncatedPrompts: () => dialect.truncatedPrompts, views: () => daemon.views}));
	const diagnostics = await DiagnosticsServer.open({host: settings.host, port: settings.metricsPort}, settings.machine, {registry, readState: () => daemon.dump(), explain: parameters => daemon.explain(parameters)});
	addConnectionMetrics(registry, () => ({clients: daemon.clientConnections, readiness, metrics: diagnostics.connections}));
	return diagnostics;
}
