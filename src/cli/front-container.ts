/** Dependency injection for a serving daemon, based on `tsyringe`; each component is created once, on first use. */
// Tsyringe requires this metadata polyfill before any use of a container.
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import
import {
	container, type DependencyContainer, type InjectionToken, instanceCachingFactory,
} from 'tsyringe';
import {type Platform, Topic} from '../protocol/platform.js';
import {SteadyClock} from '../clock.js';
import {PauseWatch} from '../pause-watch.js';
import {Latch} from '../latch.js';
import {LogEra} from '../state/log-era.js';
import {ViewAge} from '../state/view-age.js';
import {BackendTable} from '../state/backend-table.js';
import {RouteTable} from '../state/route-table.js';
import {BackendConnectionPool} from '../transport/backend-connection-pool.js';
import {EventLoopDelay} from '../transport/event-loop-delay.js';
import {AssignmentActivation} from '../coordination/assignment/assignment-activation.js';
import {AssignmentExchange} from '../coordination/assignment/assignment-exchange.js';
import {isInGroup} from '../coordination/assignment/assignment-groups.js';
import {Cooldowns} from '../coordination/cooldowns.js';
import {DutyLease} from '../coordination/duty-lease.js';
import {DutyRunner} from '../coordination/duty-runner.js';
import {backendKey} from '../coordination/fleet/backend-key.js';
import {BoundsRecord} from '../coordination/fleet/bounds-record.js';
import {CombinedUse} from '../coordination/fleet/combined-use.js';
import {FleetMessenger, maxViewIntervalMs} from '../coordination/fleet/fleet-messenger.js';
import {reportIntervalMs} from '../coordination/fleet/peer-counter.js';
import {FleetRole, FleetTable} from '../coordination/fleet/fleet-table.js';
import {selectSenders} from '../coordination/fleet/sender-selection.js';
import {computeReadLimits} from '../coordination/topic-read-limits.js';
import {ConnectionShedding} from '../coordination/connection-shedding.js';
import {DemandShare} from '../coordination/demand-share.js';
import {FleetRetryBudget} from '../coordination/fleet-retry-budget.js';
import {OverloadTolerances} from '../coordination/overload-tolerances.js';
import {BackendPaces} from '../coordination/paces/backend-paces.js';
import {Placement} from '../coordination/placement.js';
import {PoolDemands} from '../coordination/pool-demand.js';
import {CrashWatch} from '../coordination/quarantine/crash-watch.js';
import {Quarantine} from '../coordination/quarantine/quarantine.js';
import {QuarantineRecord} from '../coordination/quarantine/quarantine-record.js';
import {QuotaLedger} from '../coordination/quota-ledger.js';
import {Reachability} from '../coordination/reachability.js';
import {Rollouts} from '../coordination/rollout/rollouts.js';
import {RolloutRunner} from '../coordination/rollout/rollout-runner.js';
import {Dispatcher} from '../coordination/serving/dispatcher.js';
import {Forwarder} from '../coordination/serving/forwarder.js';
import {PeerProxy} from '../coordination/serving/peer-proxy.js';
import {RequestAssignment} from '../coordination/serving/request-assignment.js';
import {RequestExplainer} from '../coordination/serving/request-explanation.js';
import {DeferredMetrics} from '../coordination/serving/request-metrics.js';
import {StreamOriginSharing} from '../coordination/serving/stream-origin-sharing.js';
import {StopAdmission} from '../coordination/serving/stop-admission.js';
import {StreamRegistry} from '../coordination/serving/stream-registry.js';
import {type BackendsSink} from '../coordination/record-sinks.js';
import {SlotExchange} from '../coordination/slots/slot-exchange.js';
import {StatedLimits} from '../coordination/stated-limits.js';
import {ServiceVersions} from '../coordination/stream-origins/service-versions.js';
import {StreamOriginExchange} from '../coordination/stream-origins/stream-origin-exchange.js';
import {StreamOriginLookup} from '../coordination/stream-origins/stream-origin-lookup.js';
import {StreamOriginRecord} from '../coordination/stream-origins/stream-origin-record.js';
import {StreamOrigins} from '../coordination/stream-origins/stream-origins.js';
import {type RecordSink, TopicFollower} from '../coordination/topic-follower.js';
import {FirstStart} from '../coordination/first-start.js';
import {UsageLedger} from '../coordination/usage-ledger.js';

/** Largest age of the configuration view at which API keys are still accepted, as a share of the revocation bound. The age counts from the sending of a read and is checked when a request arrives, so the margin only has to cover clock errors. */
const maxViewAgeShare = 0.92;

/** Longest wait of one long poll of the configuration, as a share of the revocation bound; one read may fail before API keys are no longer accepted. */
const maxConfigWaitShare = 0.22;
/** Largest age up to which a daemon relies on relays for the configuration, as a share of the revocation bound; it leaves time for reads of the store before API keys are no longer accepted. */
const maxConfigRelayAgeShare = 0.55;
/** How long the list of backend servers may take to be read again before a stream that a client takes up goes on, in milliseconds. */
const refreshTimeoutMs = 250;
/** Longest wait of one long poll of the backend servers, in milliseconds. */
const maxBackendsWaitMs = 2000;
/** The same for a relay, in milliseconds; shorter, since other daemons rely on its view. */
const maxRelayBackendsWaitMs = 800;
/** Largest age up to which a daemon relies on relays for the backend servers, in milliseconds. */
const maxBackendsRelayAgeMs = 2100;
/** Size limit of one read of the configuration, in bytes: a small configuration arrives with the first read; of several large ones, only the newest is read. */
const maxConfigBytes = 64 * 1024;
/** Size limit of one read of the backend servers, in bytes; enough for thousands of entries. */
const maxBackendsBytes = 1024 * 1024;
/** Delay after a read that returned changes of the backend servers, in milliseconds, so that the next read returns several changes at once. Without it, most of the 14,776 calls that 86 daemons made to the store and the cloud in 24 s returned a single record. */
const backendsBatchDelayMs = 100;

/** How long the origin of a stream is remembered, as a multiple of the longest timeout of a route: the stream, and its clients' retries. */
const streamRetentionTimeouts = 2;
/** The shortest time for which it is remembered, in milliseconds. */
const minStreamRetentionMs = 30_000;

/** The keep-alive connections to other daemons. */
export class PeerConnectionPool extends BackendConnectionPool {}

/** Follows the configuration topic of the store. */
export class ConfigFollower extends TopicFollower {}

/** Follows the backend servers topic of the store. */
export class BackendsFollower extends TopicFollower {}

/** The inputs from which the components of a daemon are created. */
export type FrontContainerOptions = {
	platform: Platform;
	/** Whether coordinators assign requests to backend servers where the deployment calls for it. */
	isAssignmentEnabled: boolean;
	/** Identifies this start of this daemon. */
	incarnation: string;
	/** Aborts when the daemon stops. */
	signal: AbortSignal;
	/** Creates the sinks that process the records of the store's topics. */
	createSinks: (resolver: DependencyContainer) => {configSink: RecordSink; backendsSink: BackendsSink};
};

/** Creates the dependency injection container of one serving daemon. */
export function createFrontContainer({platform, isAssignmentEnabled, incarnation, signal, createSinks}: FrontContainerOptions): DependencyContainer {
	const {settings, store, cloud, dialect, engines, records} = platform;
	// A reload changes the bounds in place, so components read changeable bounds at each use.
	const {bounds} = settings;
	const frontContainer = container.createChildContainer();
	const clock = new SteadyClock();
	const startedAtMs = clock.now();
	const registerFactory = <T>(type: InjectionToken<T>, build: (resolver: DependencyContainer) => T) => {
		frontContainer.register(type, {useFactory: instanceCachingFactory(build)});
	};

	frontContainer.registerInstance(SteadyClock, clock);
	registerFactory(Latch, () => new Latch());
	registerFactory(ViewAge, () => new ViewAge());
	registerFactory(LogEra, () => new LogEra());
	registerFactory(RouteTable, () => new RouteTable());
	registerFactory(BackendTable, () => new BackendTable(bounds));
	registerFactory(BackendConnectionPool, () => new BackendConnectionPool());
	registerFactory(DeferredMetrics, () => new DeferredMetrics());
	registerFactory(PauseWatch, () => new PauseWatch());
	registerFactory(Placement, resolver => new Placement(settings.failureDomain, resolver.resolve(BackendPaces)));
	registerFactory(FleetTable, () => new FleetTable({name: settings.name, failureDomain: settings.failureDomain, startedAtMs}));
	registerFactory(UsageLedger, () => new UsageLedger(settings.failureDomain, incarnation, bounds.usageWindowMs));
	registerFactory(FirstStart, () => new FirstStart(settings.isFirstStart));
	registerFactory(QuotaLedger, resolver => new QuotaLedger({
		windowMs: bounds.quotaWindowMs,
		get tolerance() {
			return bounds.quotaTolerance;
		},
		get slack() {
			return bounds.quotaSlack;
		},
	}, startedAtMs, resolver.resolve(FirstStart)));
	registerFactory(FleetRetryBudget, resolver => new FleetRetryBudget({
		limits: {
			windowMs: bounds.retryWindowMs,
			get ratio() {
				return bounds.retryRatio;
			},
			get slack() {
				return bounds.retrySlack;
			},
		},
		startedAtMs,
		firstStart: resolver.resolve(FirstStart),
		peers: nowMs => resolver.resolve(FleetMessenger).quotaPeers(nowMs),
		random: () => Math.random(),
	}));
	registerFactory(CombinedUse, resolver => new CombinedUse(resolver.resolve(QuotaLedger), resolver.resolve(FleetRetryBudget)));
	registerFactory(Rollouts, resolver => new Rollouts(bounds, Math.random, {
		ordersViewAgeMs: nowMs => resolver.resolve(ViewAge).ageMs(nowMs),
		appearedAtMs: (service, version) => resolver.resolve(BackendTable).versionSeenAtMs(service, version),
		wasListedBefore: (service, version) => resolver.resolve(ServiceVersions).wasListedBefore(service, version),
	}));
	registerFactory(DutyLease, () => new DutyLease(store, incarnation, bounds.leaseMs, clock));
	registerFactory(PoolDemands, resolver => new PoolDemands(resolver.resolve(BackendTable), resolver.resolve(Placement), resolver.resolve(FleetTable), resolver.resolve(StatedLimits)));
	registerFactory(Quarantine, resolver => new Quarantine(nowMs => resolver.resolve(DutyLease).tokenAt(nowMs) !== undefined));
	registerFactory(QuarantineRecord, resolver => new QuarantineRecord({
		store, logEra: resolver.resolve(LogEra), quarantine: resolver.resolve(Quarantine), lease: resolver.resolve(DutyLease), clock,
	}));
	registerFactory(StatedLimits, resolver => new StatedLimits((query, nowMs) => selectSenders(resolver.resolve(FleetTable), settings.name, atMs => resolver.resolve(DemandShare).usable(atMs), query, nowMs)));
	registerFactory(EventLoopDelay, () => new EventLoopDelay(() => clock.now()));
	registerFactory(ConnectionShedding, resolver => new ConnectionShedding(resolver.resolve(EventLoopDelay), resolver.resolve(DemandShare), startedAtMs));
	registerFactory(DemandShare, resolver => new DemandShare(nowMs => resolver.resolve(FleetRetryBudget).demand(nowMs)));
	registerFactory(Cooldowns, () => new Cooldowns());
	registerFactory(OverloadTolerances, () => new OverloadTolerances());
	registerFactory(SlotExchange, resolver => new SlotExchange({
		tolerances: resolver.resolve(OverloadTolerances), fleet: resolver.resolve(FleetTable), clock, name: settings.name, createSender: nowMs => resolver.resolve(FleetMessenger).sender(nowMs), random: () => Math.random(),
	}));
	registerFactory(BackendPaces, () => new BackendPaces());
	registerFactory(AssignmentActivation, resolver => new AssignmentActivation(isAssignmentEnabled, () => resolver.resolve(RouteTable).current, (service, nowMs) => resolver.resolve(BackendPaces).isStated(service, nowMs)));
	registerFactory(AssignmentExchange, resolver => new AssignmentExchange({
		activation: resolver.resolve(AssignmentActivation),
		services: () => resolver.resolve(RouteTable).current?.services.map(({name}) => name) ?? [],
		backends: ({service, failureDomain}, nowMs) => resolver.resolve(Rollouts).filter(service, resolver.resolve(BackendTable).candidates(service, nowMs), false, nowMs).filter(backend => isInGroup({service, failureDomain}, backend)),
		inFlight: ({id}, nowMs) => resolver.resolve(Placement).expectedLoad(id, resolver.resolve(FleetTable).inFlight(backendKey(id), nowMs), nowMs).inFlight,
		engine: service => resolver.resolve(RouteTable).service(service)?.engine,
		paces: resolver.resolve(BackendPaces),
		fleet: resolver.resolve(FleetTable),
		clock,
		name: settings.name,
		incarnation,
		failureDomain: settings.failureDomain,
		createSender: nowMs => resolver.resolve(FleetMessenger).sender(nowMs),
	}));
	registerFactory(RequestAssignment, resolver => new RequestAssignment({
		exchange: resolver.resolve(AssignmentExchange), quarantine: resolver.resolve(Quarantine), metrics: resolver.resolve(DeferredMetrics), clock,
	}));
	registerFactory(Reachability, () => new Reachability(() => Math.random()));
	registerFactory(PeerConnectionPool, () => new PeerConnectionPool());
	registerFactory(PeerProxy, resolver => new PeerProxy({
		fleet: resolver.resolve(FleetTable),
		reachability: resolver.resolve(Reachability),
		pool: resolver.resolve(PeerConnectionPool),
		clock,
		random: () => Math.random(),
	}));
	registerFactory(CrashWatch, resolver => new CrashWatch({backends: resolver.resolve(BackendTable), quarantine: resolver.resolve(Quarantine), clock}));
	registerFactory(Dispatcher, resolver => new Dispatcher({
		dialect,
		backends: resolver.resolve(BackendTable),
		placement: resolver.resolve(Placement),
		fleet: resolver.resolve(FleetTable),
		retryBudget: resolver.resolve(FleetRetryBudget),
		pool: resolver.resolve(BackendConnectionPool),
		quarantine: resolver.resolve(Quarantine),
		crashWatch: resolver.resolve(CrashWatch),
		statedLimits: resolver.resolve(StatedLimits),
		cooldowns: resolver.resolve(Cooldowns),
		tolerances: resolver.resolve(OverloadTolerances),
		slots: resolver.resolve(SlotExchange),
		assignment: resolver.resolve(RequestAssignment),
		paces: resolver.resolve(BackendPaces),
		rollouts: resolver.resolve(Rollouts),
		reachability: resolver.resolve(Reachability),
		peerProxy: resolver.resolve(PeerProxy),
		versions: resolver.resolve(ServiceVersions),
		engines,
		routes: resolver.resolve(RouteTable),
		pauses: resolver.resolve(PauseWatch),
		metrics: resolver.resolve(DeferredMetrics),
		clock,
		signal,
	}));
	registerFactory(RequestExplainer, resolver => new RequestExplainer({
		routes: resolver.resolve(RouteTable), configView: resolver.resolve(ViewAge), quota: resolver.resolve(QuotaLedger), quotaPeers: nowMs => resolver.resolve(FleetMessenger).quotaPeers(nowMs), exchange: resolver.resolve(AssignmentExchange), selector: resolver.resolve(Dispatcher).selector,
	}));
	registerFactory(ServiceVersions, resolver => new ServiceVersions({
		backends: resolver.resolve(BackendTable), startedAtMs, firstStart: resolver.resolve(FirstStart),
	}));
	registerFactory(StreamOrigins, resolver => new StreamOrigins(() => Math.max(minStreamRetentionMs, resolver.resolve(RouteTable).longestTimeoutMs * streamRetentionTimeouts)));
	registerFactory(StreamOriginRecord, resolver => new StreamOriginRecord({
		store, logEra: resolver.resolve(LogEra), origins: resolver.resolve(StreamOrigins), versions: resolver.resolve(ServiceVersions), lease: resolver.resolve(DutyLease), isFirstDaemon: nowMs => resolver.resolve(FleetTable).rank(nowMs) === 0, name: settings.name, clock, signal,
	}));
	registerFactory(StreamOriginExchange, resolver => new StreamOriginExchange({
		origins: resolver.resolve(StreamOrigins),
		versions: resolver.resolve(ServiceVersions),
		fleet: resolver.resolve(FleetTable),
		clock,
		failureDomain: settings.failureDomain,
		createSender: nowMs => resolver.resolve(FleetMessenger).sender(nowMs),
		restore: async () => resolver.resolve(StreamOriginRecord).restoreStreams(),
	}));
	registerFactory(StreamOriginSharing, resolver => new StreamOriginSharing({
		versions: resolver.resolve(ServiceVersions), exchange: resolver.resolve(StreamOriginExchange), engines, signal,
	}));
	registerFactory(StreamOriginLookup, resolver => new StreamOriginLookup({
		origins: resolver.resolve(StreamOrigins),
		versions: resolver.resolve(ServiceVersions),
		exchange: resolver.resolve(StreamOriginExchange),
		record: resolver.resolve(StreamOriginRecord),
		clock,
		refreshBackends: async () => resolver.resolve(BackendsFollower).refresh(refreshTimeoutMs, signal),
	}));
	registerFactory(StopAdmission, () => new StopAdmission());
	registerFactory(StreamRegistry, resolver => new StreamRegistry({
		backends: resolver.resolve(BackendTable), engines, dispatcher: resolver.resolve(Dispatcher), routes: resolver.resolve(RouteTable), rollouts: resolver.resolve(Rollouts), sharing: resolver.resolve(StreamOriginSharing), quarantine: resolver.resolve(Quarantine), clock, signal,
	}));
	const {configSink, backendsSink} = createSinks(frontContainer);
	const isRelay = (resolver: DependencyContainer) => resolver.resolve(FleetTable).roleAt(clock.now()) === FleetRole.Relay;
	const isLeaf = (resolver: DependencyContainer) => resolver.resolve(FleetTable).roleAt(clock.now()) === FleetRole.Leaf;
	const readConfigLimits = () => computeReadLimits(bounds.configApplyMs, maxViewIntervalMs, {
		waitMs: bounds.revokeMs * maxConfigWaitShare, relayWaitMs: bounds.revokeMs * maxConfigWaitShare, maxReportAgeMs: bounds.revokeMs * maxConfigRelayAgeShare,
	});
	const readBackendsLimits = () => computeReadLimits(bounds.drainMs - backendsBatchDelayMs, maxViewIntervalMs, {waitMs: maxBackendsWaitMs, relayWaitMs: maxRelayBackendsWaitMs, maxReportAgeMs: maxBackendsRelayAgeMs});
	registerFactory(ConfigFollower, resolver => new ConfigFollower({
		store,
		topic: Topic.Config,
		sink: configSink,
		viewAge: resolver.resolve(ViewAge),
		logEra: resolver.resolve(LogEra),
		clock,
		waitMs: () => isRelay(resolver) ? readConfigLimits().relayWaitMs : readConfigLimits().waitMs,
		maxBytes: maxConfigBytes,
		canSkipToNewest: true,
		batchDelayMs: 0,
		maxRelayAgeMs: () => isLeaf(resolver) ? readConfigLimits().maxReportAgeMs : 0,
	}));
	registerFactory(BackendsFollower, resolver => new BackendsFollower({
		store,
		topic: Topic.Backends,
		sink: backendsSink,
		viewAge: new ViewAge(),
		logEra: resolver.resolve(LogEra),
		clock,
		waitMs: () => isRelay(resolver) ? readBackendsLimits().relayWaitMs : readBackendsLimits().waitMs,
		maxBytes: maxBackendsBytes,
		canSkipToNewest: false,
		batchDelayMs: backendsBatchDelayMs,
		maxRelayAgeMs: () => isLeaf(resolver) ? readBackendsLimits().maxReportAgeMs : 0,
	}));
	registerFactory(BoundsRecord, resolver => new BoundsRecord({
		store, logEra: resolver.resolve(LogEra), sharedUse: resolver.resolve(CombinedUse), lease: resolver.resolve(DutyLease), clock, reportIntervalMs,
	}));
	registerFactory(FleetMessenger, resolver => new FleetMessenger({
		settings,
		incarnation,
		firstStart: resolver.resolve(FirstStart),
		store,
		logEra: resolver.resolve(LogEra),
		fleet: resolver.resolve(FleetTable),
		sharedUse: resolver.resolve(CombinedUse),
		usage: resolver.resolve(UsageLedger),
		placement: resolver.resolve(Placement),
		lease: resolver.resolve(DutyLease),
		bounds: resolver.resolve(BoundsRecord),
		quarantine: resolver.resolve(Quarantine),
		quarantineRecord: resolver.resolve(QuarantineRecord),
		statedLimits: resolver.resolve(StatedLimits),
		tolerances: resolver.resolve(OverloadTolerances),
		paces: resolver.resolve(BackendPaces).shared,
		slots: resolver.resolve(SlotExchange),
		assignments: resolver.resolve(AssignmentExchange),
		rollouts: resolver.resolve(Rollouts),
		reachability: resolver.resolve(Reachability),
		streamOrigins: resolver.resolve(StreamOriginExchange),
		streamOriginRecord: resolver.resolve(StreamOriginRecord),
		topics: {[Topic.Config]: resolver.resolve(ConfigFollower), [Topic.Backends]: resolver.resolve(BackendsFollower)},
		clock,
		startedAtMs,
	}));
	registerFactory(DutyRunner, resolver => new DutyRunner({
		cloud,
		lease: resolver.resolve(DutyLease),
		usage: resolver.resolve(UsageLedger),
		routes: resolver.resolve(RouteTable),
		backends: resolver.resolve(BackendTable),
		clock,
		name: settings.name,
		usageWindowMs: bounds.usageWindowMs,
		listStability: nowMs => ({followedForMs: resolver.resolve(BackendsFollower).followedForMs(nowMs), unchangedForMs: nowMs - backendsSink.lastAddedAtMs}),
		poolNeed: service => resolver.resolve(PoolDemands).need(service.name, clock.now()),
		belongsToPool: backend => resolver.resolve(Rollouts).belongsToPool(backend),
	}));
	registerFactory(RolloutRunner, resolver => new RolloutRunner({
		store,
		records,
		lease: resolver.resolve(DutyLease),
		rollouts: resolver.resolve(Rollouts),
		backends: resolver.resolve(BackendTable),
		clock,
		service: name => resolver.resolve(RouteTable).service(name),
		inFlight: (backendId, nowMs) => (resolver.resolve(Placement).inFlight().get(backendId) ?? 0) + resolver.resolve(FleetTable).inFlight(backendKey(backendId), nowMs),
	}));
	registerFactory(Forwarder, resolver => new Forwarder({
		dialect,
		routes: resolver.resolve(RouteTable),
		configView: resolver.resolve(ViewAge),
		get maxViewAgeMs() {
			return bounds.revokeMs * maxViewAgeShare;
		},
		get maxDenialViewAgeMs() {
			return Math.min(bounds.configApplyMs, bounds.revokeMs * maxViewAgeShare);
		},
		dispatcher: resolver.resolve(Dispatcher),
		peerProxy: resolver.resolve(PeerProxy),
		registry: resolver.resolve(StreamRegistry),
		stopAdmission: resolver.resolve(StopAdmission),
		quota: resolver.resolve(QuotaLedger),
		usage: resolver.resolve(UsageLedger),
		retryBudget: resolver.resolve(FleetRetryBudget),
		quarantine: resolver.resolve(Quarantine),
		originLookup: resolver.resolve(StreamOriginLookup),
		originSharing: resolver.resolve(StreamOriginSharing),
		clock,
		quotaPeers: nowMs => resolver.resolve(FleetMessenger).quotaPeers(nowMs),
		initialView: resolver.resolve(Latch),
		metrics: resolver.resolve(DeferredMetrics),
	}));
	return frontContainer;
}
