/**
 * `sesametally gateway`: the process on each entry VM. It serves callers, follows
 * the config stream, tracks engine load, and keeps heartbeats with its peers. On
 * SIGTERM it stops taking requests, finishes those in flight (up to `drainMs`) and exits.
 */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {type GatewaySettings, gatewayValidator} from '../../protocol/gateway-settings.js';
import {loadSettings} from '../../protocol/settings.js';
import {ConfigTable} from '../../state/config-table.js';
import {PlatformLog} from '../../state/platform-log.js';
import {BackendDirectory} from '../../coordination/backend-directory.js';
import {FleetController} from '../../coordination/fleet-controller.js';
import {LeaseKeeper} from '../../coordination/lease.js';
import {ServiceCalls} from '../../coordination/service-calls.js';
import {followNotices, followVmList} from '../../coordination/vm-watch.js';
import {LoadTracker} from '../../coordination/load-tracker.js';
import {Completions} from '../../coordination/completions.js';
import {Limits} from '../../coordination/admission.js';
import {Membership} from '../../coordination/membership.js';
import {Journal} from '../../coordination/journal.js';
import {followConfig} from '../../coordination/config-follower.js';
import {PeerMessageKind, type Heartbeat} from '../../protocol/peer-messages.js';
import {
	addDiagnosticsRoutes, createServer, startServer,
} from '../../transport/http-server.js';
import {createRegistry} from '../../transport/process-registry.js';
import {CallerMetrics} from '../../transport/caller-metrics.js';
import {addCallerRoutes} from '../../transport/caller-api.js';
import {addAdminRoutes} from '../../transport/admin-api.js';
import {acceptPeerLinks, runPeerLink, type PeerTraffic} from '../../transport/peer-link.js';
import {createLogger} from '../../log.js';
import {waitForAbort} from '../../abort.js';
import {createGatewayContainer} from '../container.js';
import {GatewayState} from '../gateway-state.js';

const log = createLogger('gateway');

/**
 * Runs a gateway until the signal aborts.
 *
 * @throws {SettingsError} Before any port opens, when the settings are bad.
 */
export async function runGateway(settingsFile: string, signal: AbortSignal): Promise<void> {
	const settings = loadSettings<GatewaySettings>(settingsFile, gatewayValidator);
	const services = createGatewayContainer(settings);
	const config = services.resolve(ConfigTable);
	const platformLog = services.resolve(PlatformLog);
	const directory = services.resolve(BackendDirectory);
	const loads = services.resolve(LoadTracker);
	const completions = services.resolve(Completions);
	const membership = services.resolve(Membership);
	const journal = services.resolve(Journal);
	const lease = services.resolve(LeaseKeeper);
	const controller = services.resolve(FleetController);
	const traffic: PeerTraffic = {
		bytesSent: 0, bytesReceived: 0, messagesSent: 0, messagesReceived: 0,
	};
	const tasks = new AbortController();
	const stopTasks = tasks.signal;
	// One listener per peer link and per engine poller.
	setMaxListeners(0, stopTasks);

	const state = new GatewayState(settings, services, traffic);
	const registry = createRegistry();
	state.addMetrics(registry);
	let isStopping = false;
	const callers = createServer(settings.listen);
	addCallerRoutes(callers, {
		accounts: settings.clientAccounts,
		completions,
		services: services.resolve(ServiceCalls),
		limits: services.resolve(Limits),
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
		membership.observe(message, Date.now());
	});

	await startServer(admin);
	await startServer(callers);
	log.info('listening.', {
		id: settings.id, failureDomain: settings.failureDomain, port: callers.info.port, adminPort: admin.info.port,
	});

	const heartbeat = (): Heartbeat => ({
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
	const running = Promise.all([
		followConfig(platformLog, config, stopTasks),
		journal.follow(stopTasks),
		lease.run(stopTasks),
		controller.run(stopTasks),
		cloud && followNotices({url: cloud.url, pollMs: cloud.noticePollMs}, directory, stopTasks),
		vmList && followVmList(vmList, directory, stopTasks),
		...settings.peers.map(async peer => runPeerLink({
			peer, intervalMs: settings.heartbeatMs, createMessage: heartbeat, traffic,
		}, stopTasks)),
	]);

	await waitForAbort(signal);
	log.info('draining.', {drainMs: settings.drainMs, inFlight: completions.inFlight});
	isStopping = true;
	// The balancer's next checks must see the change before the port closes.
	await delay(settings.notReadyMs);
	await callers.stop({timeout: settings.drainMs});
	tasks.abort();
	await running;
	await lease.giveUp();
	await admin.stop({timeout: 1000});
	log.info('stopped.');
}
