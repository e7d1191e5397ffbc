/** Wiring of a serving daemon's parts with `tsyringe`: each part is built once, on first use. */
// The metadata polyfill that tsyringe needs loaded once, before any container use.
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import
import {
	container, type DependencyContainer, type InjectionToken, instanceCachingFactory,
} from 'tsyringe';
import {type Platform, Topic} from '../protocol/platform.js';
import {SteadyClock} from '../clock.js';
import {Gate} from '../gate.js';
import {Belief} from '../state/belief.js';
import {BackendTable} from '../state/backend-table.js';
import {RouteTable} from '../state/route-table.js';
import {BackendPool} from '../transport/backend-pool.js';
import {DutyLease} from '../coordination/duty-lease.js';
import {DutyRunner} from '../coordination/duty-runner.js';
import {BoundsRecord} from '../coordination/fleet/bounds-record.js';
import {FleetMessenger, tellingMs} from '../coordination/fleet/fleet-messenger.js';
import {roundMs} from '../coordination/fleet/peer-census.js';
import {FleetRole, FleetTable} from '../coordination/fleet/fleet-table.js';
import {chooseSenders} from '../coordination/fleet/sender-choice.js';
import {limitsFor} from '../coordination/follow-limits.js';
import {Placement} from '../coordination/placement.js';
import {PoolDemands} from '../coordination/pool-demand.js';
import {CrashWatch} from '../coordination/quarantine/crash-watch.js';
import {Quarantine} from '../coordination/quarantine/quarantine.js';
import {QuarantineRecord} from '../coordination/quarantine/quarantine-record.js';
import {QuotaLedger} from '../coordination/quota-ledger.js';
import {RetryAllowance} from '../coordination/retry-allowance.js';
import {Dispatcher} from '../coordination/serving/dispatcher.js';
import {Forwarder} from '../coordination/serving/forwarder.js';
import {DeferredMetrics} from '../coordination/serving/request-metrics.js';
import {StreamRegistry} from '../coordination/serving/stream-registry.js';
import {type BackendsSink} from '../coordination/record-sinks.js';
import {StatedLimits} from '../coordination/stated-limits.js';
import {type RecordSink, TopicFollower} from '../coordination/topic-follower.js';
import {UsageLedger} from '../coordination/usage-ledger.js';

/** Share of the revocation bound that a view may reach before keys are not believed any more. The age counts from when a read was sent and is looked at when a request arrives, so the rest only covers the clocks' errors. */
const beliefShare = 0.92;

/** Share of the revocation bound for which one read of the configuration waits at most, so that one read may fail before keys are not believed any more. */
const configWaitShare = 0.22;
/** Share of the revocation bound up to which a daemon goes by what relays say of the configuration at most: time is left for reads of its own before keys are not believed any more. */
const configCarriedShare = 0.55;
/** How long one read of the backend servers waits at most, in milliseconds. */
const backendsWaitMs = 2000;
/** The same for a relay, in milliseconds, whose view others go by. */
const relayBackendsWaitMs = 800;
/** Age up to which a daemon goes by what relays say of the backend servers at most, in milliseconds. */
const backendsCarriedMs = 2100;
/** Configurations that one read brings, in bytes: a small one comes at once, of large ones only the newest is read. */
const mostConfigBytes = 64 * 1024;
/** Entries of backend servers that one read brings, in bytes: thousands of them. */
const mostBackendsBytes = 1024 * 1024;
/** Pause after changes of the backend servers before the next read, in milliseconds: of 14,776 store and cloud calls of 86 daemons in 24 s, most were reads that brought one record. */
const backendsGatherMs = 100;

/** Follows the operators' configuration. */
export class ConfigFollower extends TopicFollower {}

/** Follows the list of backend servers. */
export class BackendsFollower extends TopicFollower {}

/** What the parts of one start of a daemon are built from. */
export type FrontInputs = {
	platform: Platform;
	/** Unique to this start of this daemon. */
	incarnation: string;
	/** Aborts when the daemon stops. */
	signal: AbortSignal;
	/** What is done with the records of the store's topics. */
	createSinks: (resolver: DependencyContainer) => {configSink: RecordSink; backendsSink: BackendsSink};
};

/** Builds the container of one serving daemon. */
export function createFrontContainer({platform, incarnation, signal, createSinks}: FrontInputs): DependencyContainer {
	const {settings, store, cloud, dialect, engines} = platform;
	// Changed in place by a reload: parts read what may change at each use.
	const {bounds} = settings;
	const child = container.createChildContainer();
	const clock = new SteadyClock();
	const startedAtMs = clock.now();
	const register = <T>(type: InjectionToken<T>, build: (resolver: DependencyContainer) => T) => {
		child.register(type, {useFactory: instanceCachingFactory(build)});
	};

	child.registerInstance(SteadyClock, clock);
	register(Gate, () => new Gate());
	register(Belief, () => new Belief());
	register(RouteTable, () => new RouteTable());
	register(BackendTable, () => new BackendTable(bounds));
	register(BackendPool, () => new BackendPool());
	register(DeferredMetrics, () => new DeferredMetrics());
	register(Placement, () => new Placement(settings.failureDomain));
	register(FleetTable, () => new FleetTable({name: settings.name, failureDomain: settings.failureDomain, startedAtMs}));
	register(UsageLedger, () => new UsageLedger(settings.failureDomain, incarnation, bounds.usageWindowMs));
	register(QuotaLedger, () => new QuotaLedger({
		windowMs: bounds.quotaWindowMs,
		get tolerance() {
			return bounds.quotaTolerance;
		},
		get slack() {
			return bounds.quotaSlack;
		},
	}, startedAtMs, settings.isFirstStart));
	register(RetryAllowance, () => new RetryAllowance({
		windowMs: bounds.retryWindowMs,
		get ratio() {
			return bounds.retryRatio;
		},
		get slack() {
			return bounds.retrySlack;
		},
	}));
	register(DutyLease, () => new DutyLease(store, incarnation, bounds.leaseMs, clock));
	register(PoolDemands, resolver => new PoolDemands(resolver.resolve(BackendTable), resolver.resolve(Placement), resolver.resolve(FleetTable), resolver.resolve(StatedLimits)));
	register(Quarantine, resolver => new Quarantine(nowMs => resolver.resolve(DutyLease).tokenAt(nowMs) !== undefined));
	register(QuarantineRecord, resolver => new QuarantineRecord({
		store, quarantine: resolver.resolve(Quarantine), lease: resolver.resolve(DutyLease), clock,
	}));
	register(StatedLimits, resolver => new StatedLimits((backend, most, nowMs) => chooseSenders(resolver.resolve(FleetTable), settings.name, backend, most, nowMs)));
	register(CrashWatch, resolver => new CrashWatch({backends: resolver.resolve(BackendTable), quarantine: resolver.resolve(Quarantine), clock}));
	register(Dispatcher, resolver => new Dispatcher({
		dialect,
		backends: resolver.resolve(BackendTable),
		placement: resolver.resolve(Placement),
		fleet: resolver.resolve(FleetTable),
		allowance: resolver.resolve(RetryAllowance),
		pool: resolver.resolve(BackendPool),
		quarantine: resolver.resolve(Quarantine),
		crashes: resolver.resolve(CrashWatch),
		statedLimits: resolver.resolve(StatedLimits),
		clock,
	}));
	register(StreamRegistry, resolver => new StreamRegistry({
		backends: resolver.resolve(BackendTable), engines, dispatcher: resolver.resolve(Dispatcher), routes: resolver.resolve(RouteTable), signal,
	}));
	const {configSink, backendsSink} = createSinks(child);
	const isRelay = (resolver: DependencyContainer) => resolver.resolve(FleetTable).roleAt(clock.now()) === FleetRole.Relay;
	const isLeaf = (resolver: DependencyContainer) => resolver.resolve(FleetTable).roleAt(clock.now()) === FleetRole.Leaf;
	const configLimits = () => limitsFor(bounds.configApplyMs, tellingMs, {
		waitMs: bounds.revokeMs * configWaitShare, relayWaitMs: bounds.revokeMs * configWaitShare, carriedMs: bounds.revokeMs * configCarriedShare,
	});
	const backendsLimits = () => limitsFor(bounds.drainMs - backendsGatherMs, tellingMs, {waitMs: backendsWaitMs, relayWaitMs: relayBackendsWaitMs, carriedMs: backendsCarriedMs});
	register(ConfigFollower, resolver => new ConfigFollower({
		store,
		topic: Topic.Config,
		sink: configSink,
		belief: resolver.resolve(Belief),
		clock,
		waitMs: () => isRelay(resolver) ? configLimits().relayWaitMs : configLimits().waitMs,
		mostBytes: mostConfigBytes,
		isNewestEnough: true,
		gatherMs: 0,
		carriedMs: () => isLeaf(resolver) ? configLimits().carriedMs : 0,
	}));
	register(BackendsFollower, resolver => new BackendsFollower({
		store,
		topic: Topic.Backends,
		sink: backendsSink,
		belief: new Belief(),
		clock,
		waitMs: () => isRelay(resolver) ? backendsLimits().relayWaitMs : backendsLimits().waitMs,
		mostBytes: mostBackendsBytes,
		isNewestEnough: false,
		gatherMs: backendsGatherMs,
		carriedMs: () => isLeaf(resolver) ? backendsLimits().carriedMs : 0,
	}));
	register(BoundsRecord, resolver => new BoundsRecord({
		store, quota: resolver.resolve(QuotaLedger), lease: resolver.resolve(DutyLease), clock, roundMs,
	}));
	register(FleetMessenger, resolver => new FleetMessenger({
		settings,
		incarnation,
		store,
		fleet: resolver.resolve(FleetTable),
		quota: resolver.resolve(QuotaLedger),
		usage: resolver.resolve(UsageLedger),
		placement: resolver.resolve(Placement),
		lease: resolver.resolve(DutyLease),
		bounds: resolver.resolve(BoundsRecord),
		quarantine: resolver.resolve(Quarantine),
		quarantineRecord: resolver.resolve(QuarantineRecord),
		statedLimits: resolver.resolve(StatedLimits),
		topics: {[Topic.Config]: resolver.resolve(ConfigFollower), [Topic.Backends]: resolver.resolve(BackendsFollower)},
		clock,
		startedAtMs,
	}));
	register(DutyRunner, resolver => new DutyRunner({
		cloud,
		lease: resolver.resolve(DutyLease),
		usage: resolver.resolve(UsageLedger),
		routes: resolver.resolve(RouteTable),
		backends: resolver.resolve(BackendTable),
		clock,
		name: settings.name,
		usageWindowMs: bounds.usageWindowMs,
		list: nowMs => ({followedForMs: resolver.resolve(BackendsFollower).followedForMs(nowMs), unchangedForMs: nowMs - backendsSink.grownAtMs}),
		need: service => resolver.resolve(PoolDemands).need(service.name, clock.now()),
	}));
	register(Forwarder, resolver => new Forwarder({
		dialect,
		routes: resolver.resolve(RouteTable),
		belief: resolver.resolve(Belief),
		get mostBeliefMs() {
			return bounds.revokeMs * beliefShare;
		},
		get mostDenialMs() {
			return Math.min(bounds.configApplyMs, bounds.revokeMs * beliefShare);
		},
		dispatcher: resolver.resolve(Dispatcher),
		registry: resolver.resolve(StreamRegistry),
		quota: resolver.resolve(QuotaLedger),
		usage: resolver.resolve(UsageLedger),
		allowance: resolver.resolve(RetryAllowance),
		quarantine: resolver.resolve(Quarantine),
		clock,
		quotaPeers: nowMs => resolver.resolve(FleetMessenger).quotaPeers(nowMs),
		firstView: resolver.resolve(Gate),
		metrics: resolver.resolve(DeferredMetrics),
	}));
	return child;
}
