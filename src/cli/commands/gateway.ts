/**
 * `sesametally gateway`: runs the gateway of an entry VM. The gateway serves callers, follows
 * the configuration stream, tracks the load of engines, and exchanges heartbeats with its
 * peers. On SIGTERM it stops accepting requests, waits up to `drainMs` for those in flight,
 * and exits.
 */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {type GatewaySettings, gatewayValidator} from '../../protocol/gateway-settings.js';
import {loadSettings} from '../../protocol/settings.js';
import {ConfigTable} from '../../state/config-table.js';
import {PlatformLog} from '../../state/platform-log.js';
import {BackendDirectory} from '../../coordination/backend-directory.js';
import {FleetController} from '../../coordination/fleet-controller.js';
import {ControllerLease} from '../../coordination/controller-lease.js';
import {ServiceCalls} from '../../coordination/service-calls.js';
import {followNotices, followVmList} from '../../coordination/vm-watch.js';
import {LoadTracker} from '../../coordination/load-tracker.js';
import {Completions} from '../../coordination/completions.js';
import {AccountLimiter} from '../../coordination/admission.js';
import {Membership} from '../../coordination/membership.js';
import {Journal} from '../../coordination/journal.js';
import {followConfig} from '../../coordination/config-follower.js';
import {PeerMessageKind, type Heartbeat} from '../../protocol/peer-messages.js';
import {
	addDiagnosticsRoutes, createLimitedServer, createServer, startServer,
} from '../../transport/http-server.js';
import {clientListenerLimits} from '../../transport/connection-limits.js';
import {addConnectionMetrics} from '../../transport/connection-metrics.js';
import {LimitedServer} from '../../transport/limited-server.js';
import {createMetricsRegistry} from '../../transport/metrics-registry.js';
import {CallerMetrics} from '../../transport/caller-metrics.js';
import {addCallerRoutes} from '../../transport/caller-api.js';
import {addAdminRoutes} from '../../transport/admin-api.js';
import {acceptPeerLinks, runPeerLink, type PeerTraffic} from '../../transport/peer-link.js';
import {createLogger} from '../../log.js';
import {waitForAbort} from '../../abort.js';
import {createGatewayContainer} from '../gateway-container.js';
import {GatewayState} from '../gateway-state.js';

const log = createLogger('gateway');

/**
 * Runs a gateway until the signal aborts.
 *
 * @throws {SettingsError} When the settings are invalid; no port is open then.
 */
export async function runGateway(settingsFile: string, signal: AbortSignal): Promise<void> {
	const settings = loadSettings<GatewaySettings>(settingsFile, gatewayValidator);
	const container = createGatewayContainer(settings);
	const config = container.resolve(ConfigTable);
	const platformLog = container.resolve(PlatformLog);
	const directory = container.resolve(BackendDirectory);
	const loads = container.resolve(LoadTracker);
	const completions = container.resolve(Completions);
	const membership = container.resolve(Membership);
	const journal = container.resolve(Journal);
	const lease = container.resolve(ControllerLease);
	const controller = container.resolve(FleetController);
	const traffic: PeerTraffic = {
		bytesSent: 0, bytesReceived: 0, messagesSent: 0, messagesReceived: 0,
	};
	const tasks = new AbortController();
	const stopTasks = tasks.signal;
	// Each peer connection and each engine poller adds a listener.
	setMaxListeners(0, stopTasks);

	const state = new GatewayState(settings, container, traffic);
	const registry = createMetricsRegistry();
	state.addMetrics(registry);
	let isStopping = false;
	const callersListener = new LimitedServer(clientListenerLimits(settings.machine));
	const callers = createLimitedServer(settings.listen, callersListener);
	addConnectionMetrics(registry, () => ({callers: callersListener.connectionTable}));
	addCallerRoutes(callers, {
		accounts: settings.clientAccounts,
		completions,
		services: container.resolve(ServiceCalls),
		limits: container.resolve(AccountLimiter),
		membership,
		metrics: new CallerMetrics(registry),
		config,
		isReady: () => !isStopping && config.isKnown,
		signal: stopTasks,
	});
	const admin = createServer({host: settings.admin.host, port: settings.admin.port});
	addDiagnosticsRoutes(admin, registry, () => state.dump(Date.now()));
	addAdminRoutes(admin, {
		teams: settings.admin.teams, config, platformLog, status: () => state.status(Date.now()),
	});
	acceptPeerLinks(admin.listener, traffic, message => {
		membership.recordHeartbeat(message, Date.now());
	});

	await startServer(admin);
	await startServer(callers);
	log.info('listening.', {
		id: settings.id, failureDomain: settings.failureDomain, port: callers.info.port, adminPort: admin.info.port,
	});

	const createHeartbeat = (): Heartbeat => ({
		kind: PeerMessageKind.Heartbeat,
		id: settings.id,
		failureDomain: settings.failureDomain,
		appliedOffset: config.appliedOffset,
		configVersion: config.version,
		inFlight: completions.inFlight,
		sentAtMs: Date.now(),
	});
	const {cloud, vmList} = settings;
	loads.run(stopTasks);
	const backgroundTasks = Promise.all([
		followConfig(platformLog, config, stopTasks),
		journal.follow(stopTasks),
		lease.run(stopTasks),
		controller.run(stopTasks),
		cloud && followNotices({url: cloud.url, pollMs: cloud.noticePollMs}, directory, stopTasks),
		vmList && followVmList(vmList, directory, stopTasks),
		...settings.peers.map(async peer => runPeerLink({
			peer, intervalMs: settings.heartbeatMs, createMessage: createHeartbeat, traffic,
		}, stopTasks)),
	]);

	await waitForAbort(signal);
	log.info('draining.', {drainMs: settings.drainMs, inFlight: completions.inFlight});
	isStopping = true;
	// The load balancer's next checks must see that the gateway is not ready before the port closes.
	await delay(settings.notReadyMs);
	await callers.stop({timeout: settings.drainMs});
	tasks.abort();
	await backgroundTasks;
	await lease.release();
	await admin.stop({timeout: 1000});
	log.info('stopped.');
}
