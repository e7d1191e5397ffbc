/** The serving daemon: opens its ports, runs its periodic tasks, and stops gracefully. */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {type DependencyContainer} from 'tsyringe';
import {unpack} from 'msgpackr';
import {type GossipedTopic} from '../protocol/fleet-messages.js';
import {type Platform, Topic} from '../protocol/platform.js';
import {isProxiedRequest} from '../protocol/proxied-requests.js';
import {type Backend} from '../protocol/serving.js';
import {SteadyClock} from '../clock.js';
import {PauseWatch} from '../pause-watch.js';
import {Latch} from '../latch.js';
import {createLogger} from '../log.js';
import {ViewAge} from '../state/view-age.js';
import {BackendTable} from '../state/backend-table.js';
import {RouteTable} from '../state/route-table.js';
import {BackendConnectionPool} from '../transport/backend-connection-pool.js';
import {clientListenerLimits, internalListenerLimits} from '../transport/connection-limits.js';
import {type ConnectionTable} from '../transport/connection-table.js';
import {DatagramLink} from '../transport/datagram-link.js';
import {FrontServer, type FrontRequest, writeErrorResponse} from '../transport/front-server.js';
import {nextPoll} from '../transport/next-poll.js';
import {isConnectionAccepted} from '../transport/port-probe.js';
import {ConnectionShedding} from '../coordination/connection-shedding.js';
import {Cooldowns} from '../coordination/cooldowns.js';
import {DutyLease} from '../coordination/duty-lease.js';
import {DutyRunner} from '../coordination/duty-runner.js';
import {BoundsRecord, boundsCheckMs} from '../coordination/fleet/bounds-record.js';
import {FleetMessenger} from '../coordination/fleet/fleet-messenger.js';
import {reportIntervalMs} from '../coordination/fleet/peer-counter.js';
import {FleetTable} from '../coordination/fleet/fleet-table.js';
import {OverloadTolerances} from '../coordination/overload-tolerances.js';
import {AssignmentMode} from '../coordination/assignment/assignment-activation.js';
import {AssignmentExchange} from '../coordination/assignment/assignment-exchange.js';
import {BackendPaces} from '../coordination/paces/backend-paces.js';
import {Placement} from '../coordination/placement.js';
import {CrashWatch} from '../coordination/quarantine/crash-watch.js';
import {Quarantine} from '../coordination/quarantine/quarantine.js';
import {quarantineCheckIntervalMs, QuarantineRecord} from '../coordination/quarantine/quarantine-record.js';
import {QuotaLedger} from '../coordination/quota-ledger.js';
import {Rollouts} from '../coordination/rollout/rollouts.js';
import {rolloutStepIntervalMs} from '../coordination/rollout/rollout-decision.js';
import {RolloutRunner} from '../coordination/rollout/rollout-runner.js';
import {Reachability} from '../coordination/reachability.js';
import {applySettings} from '../coordination/settings-reload.js';
import {BackendsSink, ConfigSink} from '../coordination/record-sinks.js';
import {SlotExchange} from '../coordination/slots/slot-exchange.js';
import {StatedLimits} from '../coordination/stated-limits.js';
import {ServiceVersions} from '../coordination/stream-origins/service-versions.js';
import {streamOriginCheckMs, StreamOriginRecord} from '../coordination/stream-origins/stream-origin-record.js';
import {StreamOrigins} from '../coordination/stream-origins/stream-origins.js';
import {type ViewState} from '../coordination/topic-follower.js';
import {Forwarder} from '../coordination/serving/forwarder.js';
import {DeferredMetrics, type RequestMetrics} from '../coordination/serving/request-metrics.js';
import {readExplanationQuery, RequestExplainer, type RequestExplanation} from '../coordination/serving/request-explanation.js';
import {StopAdmission} from '../coordination/serving/stop-admission.js';
import {StreamRegistry, sweepIntervalMs} from '../coordination/serving/stream-registry.js';
import {
	BackendsFollower, ConfigFollower, createFrontContainer, PeerConnectionPool,
} from './front-container.js';

const log = createLogger('front');

/** Largest age of the configuration view at which the daemon reports ready, as a share of the revocation bound. */
const maxReadyViewAgeShare = 0.7;
/** Interval between rounds of the singleton duties, in milliseconds. */
const dutyIntervalMs = 250;
/** Interval at which the settings file is checked for changes without a signal, in milliseconds; one read takes less than a millisecond. */
const settingsCheckIntervalMs = 5000;
/** Interval between steps of the election of the duty holder, in milliseconds. */
const leaseStepIntervalMs = 100;
/** Time after which backend servers that are no longer listed are removed from the table, in milliseconds. */
const removedBackendRetentionMs = 60_000;
/** Interval between checks whether this daemon's address must be written again, in milliseconds. */
const addressCheckMs = 2000;
/** Time after a restore of the store in which a backend server that serves is listed again, and one that doesn't is removed, in milliseconds. */
const relistingMs = 2000;
/** Interval between checks for these, in milliseconds. */
const relistingCheckMs = 200;

/** Interval at which it is checked whether backend servers should be probed, in milliseconds. */
const reachabilityCheckIntervalMs = 100;
/** Longest wait for the connection of a probe, in milliseconds. */
const probeTimeoutMs = 300;
/** What a proxied request adds to the size of its body and headers, in bytes. */
const proxyOverheadBytes = 16 * 1024;

/** A task that runs repeatedly until the daemon stops. */
type PeriodicTask = {
	/** Pause between the end of one run and the next, in milliseconds. */
	intervalMs: () => number;
	step: () => Promise<void> | void;
};

/** A serving daemon from its start to its stop. */
export class FrontDaemon {
	private readonly container: DependencyContainer;
	private readonly clock: SteadyClock;
	private readonly startedAtMs: number;
	private readonly server: FrontServer;
	/** Receives the requests that other daemons can't send to backend servers. */
	private readonly peerServer: FrontServer;
	private backendsSink: BackendsSink | undefined;
	private isStopping = false;
	/** When the last step of a periodic task began. */
	private activeAtMs: number;
	/** Names of the changed settings that need a restart, as of the last reload. */
	private lastNeedRestart = '';

	constructor(
		private readonly platform: Platform,
		private readonly incarnation: string,
		private readonly signal: AbortSignal,
		assignmentMode = AssignmentMode.Auto,
	) {
		setMaxListeners(0, signal);
		this.container = createFrontContainer({
			platform, isAssignmentEnabled: assignmentMode === AssignmentMode.Auto, incarnation, signal, createSinks: resolver => this.createSinks(resolver),
		});
		this.clock = this.container.resolve(SteadyClock);
		this.startedAtMs = this.clock.now();
		this.activeAtMs = this.startedAtMs;
		const forwarder = this.container.resolve(Forwarder);
		const shedding = this.container.resolve(ConnectionShedding);
		this.server = new FrontServer(async request => forwarder.handle(request), () => shedding.accepts(this.clock.now()), clientListenerLimits(platform.settings.machine));
		this.peerServer = new FrontServer(async request => serveProxiedRequest(forwarder, request), () => true, internalListenerLimits);
	}

	/** Whether the load balancer should send new connections to this daemon. */
	get isReady(): boolean {
		const viewAgeMs = this.container.resolve(ViewAge).ageMs(this.clock.now());
		return !this.isStopping && this.isLoaded && viewAgeMs <= this.platform.settings.bounds.revokeMs * maxReadyViewAgeShare;
	}

	/** The connections of clients. */
	get clientConnections(): ConnectionTable {
		return this.server.connections;
	}

	/** Number of requests whose response has not ended yet. */
	get openRequests(): number {
		return this.server.openRequests + this.peerServer.openRequests;
	}

	/**
	 * Opens the ports and starts the tasks.
	 *
	 * @throws {TransportError} When an address cannot be bound.
	 */
	async start(): Promise<void> {
		await this.openPeerLink();
		const {callers, host, peerPort} = this.platform.settings;
		await this.peerServer.listen({host, port: peerPort});
		await this.server.listen(callers);
		void this.container.resolve(ConfigFollower).run(this.signal);
		void this.container.resolve(BackendsFollower).run(this.signal);
		for (const [name, task] of Object.entries(this.createPeriodicTasks())) {
			void this.runPeriodically(name, task);
		}
	}

	/** Sets the metrics that count requests from now on. */
	useMetrics(metrics: RequestMetrics): void {
		this.container.resolve(DeferredMetrics).target = metrics;
	}

	/** Reads the settings again and applies changed ones; without a signal, it logs only when the result differs from the last one. */
	reload(isSignalled: boolean): void {
		try {
			const newSettings = this.platform.readSettings();
			const {changed, needRestart} = applySettings(this.platform.settings, newSettings);
			const hasNewResult = Object.keys(changed).length > 0 || needRestart.join(',') !== this.lastNeedRestart;
			this.lastNeedRestart = needRestart.join(',');
			if (isSignalled || hasNewResult) {
				log.info('settings reloaded.', {isSignalled, changed: JSON.stringify(changed), needRestart: this.lastNeedRestart});
			}
		} catch (error) {
			log.error('cannot read settings, keeping the last ones.', {error: String(error)});
		}
	}

	/** Time since the process last ran a task, in milliseconds: a signal may have waited so long to be handled. */
	get inactiveMs(): number {
		return this.clock.now() - this.activeAtMs;
	}

	/** Reports the daemon as not ready to the load balancer and as stopping to its peers; every later response closes its connection, and requests that are not expected to end within the time left are refused. */
	beginStop(leftMs: number): void {
		this.isStopping = true;
		this.container.resolve(StopAdmission).beginStop(this.clock.now() + leftMs);
		this.container.resolve(FleetMessenger).beginStop();
		this.server.beginStop();
		this.peerServer.beginStop();
	}

	/** Stops accepting connections and requests. */
	closeServer(): void {
		this.server.close();
		this.peerServer.close();
	}

	/** Ends the open requests whose answer has not begun with one that states whether they may have run. */
	endRequests(): void {
		this.server.endRequests();
		this.peerServer.endRequests();
	}

	/** Closes all connections of clients and to backend servers. */
	destroyConnections(): void {
		this.server.destroy();
		this.peerServer.destroy();
		this.container.resolve(BackendConnectionPool).destroy();
		this.container.resolve(PeerConnectionPool).destroy();
	}

	/** State and age of the views of the store's topics. */
	get views(): Record<GossipedTopic, ViewState> {
		const nowMs = this.clock.now();
		return {[Topic.Config]: this.container.resolve(ConfigFollower).stateAt(nowMs), [Topic.Backends]: this.container.resolve(BackendsFollower).stateAt(nowMs)};
	}

	/** Returns the state of the daemon for `/debug/state`. */
	dump(): unknown {
		const nowMs = this.clock.now();
		const registry = this.container.resolve(StreamRegistry);
		return {
			incarnation: this.incarnation,
			isReady: this.isReady,
			views: this.views,
			routes: this.container.resolve(RouteTable).toJson(),
			backends: this.container.resolve(BackendTable).toJson(),
			fleet: this.container.resolve(FleetTable).toJson(nowMs),
			holder: this.container.resolve(DutyLease).createHolderUpdate(nowMs),
			inFlight: Object.fromEntries(this.container.resolve(Placement).inFlight()),
			streams: {running: registry.size, moved: registry.movedCount, rememberedOrigins: this.container.resolve(StreamOrigins).size},
			versions: this.container.resolve(ServiceVersions).all(nowMs),
			connections: this.server.openConnections,
			connectionsClosedUnread: this.container.resolve(ConnectionShedding).closedCount,
			limits: Object.fromEntries(this.container.resolve(QuotaLedger).ownTotals()),
			quarantine: this.container.resolve(Quarantine).toJson(nowMs),
			statedLimits: this.container.resolve(StatedLimits).toJson(nowMs),
			cooldowns: this.container.resolve(Cooldowns).toJson(nowMs),
			overloadTolerances: this.container.resolve(OverloadTolerances).toJson(nowMs),
			slots: this.container.resolve(SlotExchange).toJson(nowMs),
			assignments: this.container.resolve(AssignmentExchange).toJson(nowMs),
			paces: this.container.resolve(BackendPaces).toJson(nowMs),
			rollouts: this.container.resolve(Rollouts).toJson(),
			reachability: this.container.resolve(Reachability).toJson(nowMs),
		};
	}

	/**
	 * Explains where a request would go now, for `/debug/explain`.
	 *
	 * @throws {RangeError} When the parameters are malformed.
	 */
	explain(parameters: URLSearchParams): RequestExplanation {
		return this.container.resolve(RequestExplainer).explain(readExplanationQuery(parameters), this.clock.now());
	}

	/** Whether the configuration and a full list of backend servers have been read. */
	private get isLoaded(): boolean {
		return this.container.resolve(RouteTable).current !== undefined && this.backendsSink?.isLoaded === true;
	}

	private async openPeerLink(): Promise<void> {
		const {host, peerPort} = this.platform.settings;
		const messenger = this.container.resolve(FleetMessenger);
		messenger.open(await DatagramLink.open({host, port: peerPort}, message => {
			messenger.receive(message);
		}, this.signal));
	}

	private createSinks(resolver: DependencyContainer): {configSink: ConfigSink; backendsSink: BackendsSink} {
		const {records} = this.platform;
		const routes = resolver.resolve(RouteTable);
		const configSink = new ConfigSink(records, routes, resolver.resolve(Rollouts), () => {
			const {limits} = routes.current!;
			this.server.setLimits(limits);
			this.peerServer.setLimits({...limits, bodyBytes: limits.bodyBytes + limits.headerBytes + proxyOverheadBytes});
			resolver.resolve(QuotaLedger).noteLimits(routes.current!.accounts, this.clock.now());
			this.admitRequestsOnceLoaded();
		});
		this.backendsSink = new BackendsSink(records, resolver.resolve(BackendTable), () => {
			resolver.resolve(Rollouts).noteBackends(resolver.resolve(BackendTable).listed().map(({backend}) => backend), this.clock.now());
			this.admitRequestsOnceLoaded();
		}, resolver.resolve(SteadyClock));
		return {configSink, backendsSink: this.backendsSink};
	}

	private createPeriodicTasks(): Record<string, PeriodicTask> {
		const messenger = this.container.resolve(FleetMessenger);
		const bounds = this.container.resolve(BoundsRecord);
		const quarantine = this.container.resolve(QuarantineRecord);
		const duties = this.container.resolve(DutyRunner);
		const rollouts = this.container.resolve(RolloutRunner);
		const registry = this.container.resolve(StreamRegistry);
		const pauses = this.container.resolve(PauseWatch);
		return {
			reports: {
				intervalMs: () => reportIntervalMs,
				step() {
					messenger.sendReports();
				},
			},
			discovery: {
				intervalMs: () => messenger.discoveryIntervalMs,
				step: async () => {
					this.removeOldBackends();
					await messenger.discover(this.signal);
				},
			},
			address: {intervalMs: () => addressCheckMs, step: async () => messenger.writeAddress(this.signal)},
			limits: {intervalMs: () => boundsCheckMs, step: async () => bounds.save(this.signal)},
			quarantine: {intervalMs: () => quarantineCheckIntervalMs, step: async () => quarantine.save(this.signal)},
			streamOrigins: {intervalMs: () => streamOriginCheckMs, step: async () => this.container.resolve(StreamOriginRecord).save(this.signal)},
			lease: {intervalMs: () => leaseStepIntervalMs, step: async () => this.stepLease()},
			duties: {intervalMs: () => dutyIntervalMs, step: async () => duties.step(this.signal)},
			rollouts: {intervalMs: () => rolloutStepIntervalMs, step: async () => rollouts.step(this.signal)},
			settings: {
				intervalMs: () => settingsCheckIntervalMs,
				step: () => {
					this.reload(false);
				},
			},
			reachability: {
				intervalMs: () => reachabilityCheckIntervalMs, step: () => {
					this.probeBackends();
				},
			},
			restores: {
				intervalMs: () => relistingCheckMs, step: () => {
					this.backendsSink?.settleRestored(relistingMs, this.clock.now());
				},
			},
			sweep: {
				intervalMs: () => sweepIntervalMs,
				step: async () => {
					pauses.noteActive(this.clock.now());
					// After a time without processor time, the events that have arrived meanwhile must not count as the engines' silence.
					await nextPoll();
					registry.sweep(this.clock.now());
				},
			},
		};
	}

	/** Opens connections to backend servers that this daemon may be cut off from. */
	private probeBackends(): void {
		const reachability = this.container.resolve(Reachability);
		const crashWatch = this.container.resolve(CrashWatch);
		const candidatesOf = (service: string) => crashWatch.runningBackends(service, this.clock.now());
		for (const backend of reachability.takeDueProbes(candidatesOf, this.clock.now())) {
			void this.probeBackend(backend, candidatesOf(backend.service));
		}
	}

	private async probeBackend(backend: Backend, candidates: Backend[]): Promise<void> {
		const reachability = this.container.resolve(Reachability);
		if (await isConnectionAccepted(backend, probeTimeoutMs)) {
			reachability.noteConnected(backend, this.clock.now());
			return;
		}

		reachability.noteUnreached(backend, candidates, this.clock.now());
		// Idle connections may be dead as well, and would leave it unknown whether a request ran.
		this.container.resolve(BackendConnectionPool).closeIdle(backend);
	}

	/** Repeats a step until the daemon stops; a failed step is logged and tried again at the next interval. */
	private async runPeriodically(name: string, {intervalMs, step}: PeriodicTask): Promise<void> {
		while (!this.signal.aborted) {
			this.activeAtMs = this.clock.now();
			try {
				// eslint-disable-next-line no-await-in-loop -- steps are sequential.
				await step();
			} catch (error) {
				if (!this.signal.aborted) {
					log.warn('periodic task failed, trying again.', {task: name, error: String(error), cause: error instanceof Error ? String(error.cause) : ''});
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(intervalMs(), undefined, {signal: this.signal}).catch(() => undefined);
		}
	}

	/** Releases the requests that wait for the first view of the configuration and the backend servers. */
	private admitRequestsOnceLoaded(): void {
		if (this.isLoaded) {
			this.container.resolve(Latch).open();
		}
	}

	/** Removes backend servers that have not been listed for a while, their placement state, and cooldowns that are over. */
	private removeOldBackends(): void {
		const nowMs = this.clock.now();
		const backends = this.container.resolve(BackendTable);
		backends.prune(removedBackendRetentionMs, nowMs);
		this.container.resolve(Cooldowns).prune(nowMs);
		const listed = new Set(backends.listed().map(entry => entry.backend.id));
		this.container.resolve(Placement).retain(listed);
		this.container.resolve(BackendPaces).retain(listed);
	}

	private async stepLease(): Promise<void> {
		if (!this.isLoaded || this.isStopping) {
			return;
		}

		const nowMs = this.clock.now();
		const fleet = this.container.resolve(FleetTable);
		await this.container.resolve(DutyLease).step({
			rank: fleet.rank(nowMs),
			isMajorityResponsive: fleet.isMajorityResponsive(nowMs),
			startedAtMs: this.startedAtMs,
			storeAnsweringForMs: this.container.resolve(BackendsFollower).followedForMs(nowMs),
		}, this.signal);
	}
}

/** Decodes a request that another daemon sends, and serves it. */
async function serveProxiedRequest(forwarder: Forwarder, request: FrontRequest): Promise<void> {
	let proxied: unknown;
	try {
		proxied = unpack(request.body);
	} catch (error) {
		log.info('cannot decode a proxied request.', {error: String(error)});
	}

	if (isProxiedRequest(proxied)) {
		await forwarder.handleProxied(request, proxied);
	} else {
		writeErrorResponse(request.response, 400, 'not a proxied request');
	}
}
