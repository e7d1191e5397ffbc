/** The parts of a serving daemon, put together, and the tasks that run them. */
import {Buffer} from 'node:buffer';
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type KeyedRecord, type Platform, Topic} from '../protocol/platform.js';
import {SteadyClock} from '../clock.js';
import {Gate} from '../gate.js';
import {createLogger} from '../log.js';
import {Belief} from '../state/belief.js';
import {BackendTable} from '../state/backend-table.js';
import {RouteTable} from '../state/route-table.js';
import {BackendPool} from '../transport/backend-pool.js';
import {DatagramLink, type PeerAddress} from '../transport/datagram-link.js';
import {type Service} from '../protocol/serving.js';
import {FrontServer} from '../transport/front-server.js';
import {DutyLease} from '../coordination/duty-lease.js';
import {DutyRunner} from '../coordination/duty-runner.js';
import {PoolDemand} from '../coordination/pool-demand.js';
import {type PeerMessage, PeerTable} from '../coordination/peer-table.js';
import {Placement} from '../coordination/placement.js';
import {QuotaLedger} from '../coordination/quota-ledger.js';
import {RetryAllowance} from '../coordination/retry-allowance.js';
import {Dispatcher} from '../coordination/serving/dispatcher.js';
import {Forwarder} from '../coordination/serving/forwarder.js';
import {DeferredMetrics, type RequestMetrics} from '../coordination/serving/request-metrics.js';
import {StreamRegistry, sweepMs} from '../coordination/serving/stream-registry.js';
import {followTopic, type RecordSink} from '../coordination/topic-follower.js';
import {UsageLedger} from '../coordination/usage-ledger.js';

const log = createLogger('front');

/** Share of the revocation bound for which one read of the configuration waits: a view is then at most 0.44 of the bound old on a calm day, and one read may fail before keys are not believed any more. */
const configWaitShare = 0.22;
/** How long one read of the backend servers waits, in milliseconds: a connection that went silent is noticed within this and the time of an answer, before leaving backend servers may get no more work. */
const backendsWaitMs = 2000;
/** Share of the revocation bound that a view may reach before keys are not believed any more. The age counts from when a read was sent and is looked at when a request arrives, so the rest only covers the clocks' errors. */
const beliefShare = 0.92;
/** Share of the revocation bound beyond which the daemon says it is not ready. */
const readyShare = 0.7;
/** Time between messages to peers, in milliseconds, up to a dozen daemons; it grows with their number beyond. */
const messageMs = 250;
const messageDaemons = 12;
/** How often silent peers are written to and the store's list of daemons is read, in milliseconds. */
const rediscoverMs = 8000;
/** Pause between steps of the election, in milliseconds. */
const leaseStepMs = 100;
/** Pause between rounds of the duties, in milliseconds. */
const dutyMs = 250;
/** Backend servers that vanished are forgotten after this, in milliseconds. */
const forgetMs = 60_000;

/** The parts of one serving daemon. */
export class FrontDaemon {
	private readonly clock = new SteadyClock();
	private readonly startedAtMs = this.clock.now();
	private readonly routes = new RouteTable();
	private readonly belief = new Belief();
	private readonly backendsBelief = new Belief();
	private readonly pool = new BackendPool();
	private readonly backends: BackendTable;
	private readonly placement: Placement;
	private readonly peers: PeerTable;
	private readonly quota: QuotaLedger;
	private readonly usage: UsageLedger;
	private readonly lease: DutyLease;
	private readonly duties: DutyRunner;
	private readonly registry: StreamRegistry;
	private readonly firstView = new Gate();
	private readonly metrics = new DeferredMetrics();
	private readonly callers: FrontServer;
	private link: DatagramLink | undefined;
	private isStopping = false;
	private areBackendsKnown = false;
	private isAnnounced = false;
	private readonly demands = new Map<string, PoolDemand>();

	constructor(
		private readonly platform: Platform,
		private readonly incarnation: string,
		private readonly signal: AbortSignal,
	) {
		const {settings, store, cloud, dialect, engines} = platform;
		const {bounds} = settings;
		setMaxListeners(0, signal);
		const {clock, routes, belief, pool} = this;
		this.backends = new BackendTable(bounds.drainMs);
		this.placement = new Placement(settings.failureDomain);
		this.peers = new PeerTable(settings.name, this.startedAtMs);
		this.quota = new QuotaLedger({windowMs: bounds.quotaWindowMs, tolerance: bounds.quotaTolerance, slack: bounds.quotaSlack}, this.startedAtMs, settings.isFirstStart);
		this.usage = new UsageLedger(settings.name, bounds.usageWindowMs);
		this.lease = new DutyLease(store, incarnation, bounds.leaseMs, clock);
		this.duties = new DutyRunner({
			cloud,
			lease: this.lease,
			usage: this.usage,
			routes,
			backends: this.backends,
			clock,
			name: settings.name,
			usageWindowMs: bounds.usageWindowMs,
			need: service => this.demandOf(service).need(),
		});
		const allowance = new RetryAllowance({ratio: bounds.retryRatio, windowMs: bounds.retryWindowMs, slack: bounds.retrySlack});
		const dispatcher = new Dispatcher({
			dialect, backends: this.backends, placement: this.placement, peers: this.peers, allowance, pool, clock,
		});
		this.registry = new StreamRegistry({
			backends: this.backends, engines, dispatcher: () => dispatcher, signal,
		});
		const forwarder = new Forwarder({
			dialect, routes, belief, mostBeliefMs: bounds.revokeMs * beliefShare, dispatcher, registry: this.registry, quota: this.quota, usage: this.usage, allowance, peers: this.peers, clock, firstView: async mostMs => this.firstView.wait(mostMs), metrics: this.metrics,
		});
		this.callers = new FrontServer(async request => forwarder.handle(request));
	}

	/** Whether new connections should come here. */
	get isReady(): boolean {
		return !this.isStopping && this.routes.current !== undefined && this.backendsBelief.isKnown
			&& this.belief.ageMs(this.clock.now()) <= this.platform.settings.bounds.revokeMs * readyShare;
	}

	get openRequests(): number {
		return this.callers.openRequests;
	}

	/**
	 * Opens the ports and starts the tasks.
	 *
	 * @throws {TransportError} When an address cannot be bound.
	 */
	async start(): Promise<void> {
		const {settings} = this.platform;
		this.link = await DatagramLink.open({host: settings.host, port: settings.peerPort}, message => {
			this.hear(message as PeerMessage);
		}, this.signal);
		await this.callers.listen(settings.callers);
		for (const [name, task] of Object.entries(this.tasks())) {
			void this.runTask(name, task);
		}
	}

	/** Counts requests with these metrics from now on. */
	observe(metrics: RequestMetrics): void {
		this.metrics.target = metrics;
	}

	/** Reads the settings again; addresses stay as they were opened. */
	reload(): void {
		try {
			const settings = this.platform.readSettings();
			log.info('settings read again.', {failureDomain: settings.failureDomain, bounds: JSON.stringify(settings.bounds)});
		} catch (error) {
			log.error('settings unreadable, keeping the last ones.', {error: String(error)});
		}
	}

	beginStop(): void {
		this.isStopping = true;
		this.callers.beginStop();
	}

	closeCallers(): void {
		this.callers.close();
	}

	destroyCallers(): void {
		this.callers.destroy();
		this.pool.destroy();
	}

	/** The state of the daemon for a dump. */
	dump(): unknown {
		const nowMs = this.clock.now();
		return {
			incarnation: this.incarnation,
			isReady: this.isReady,
			viewAgeMs: this.belief.ageMs(nowMs),
			routes: this.routes.toJson(),
			backends: this.backends.toJson(),
			peers: this.peers.toJson(nowMs),
			inFlight: this.placement.inFlight(),
			streams: {running: this.registry.size, moved: this.registry.moved},
			connections: this.callers.openConnections,
			spent: this.quota.spent(),
		};
	}

	private tasks(): Record<string, () => Promise<void>> {
		const {store} = this.platform;
		const {clock, signal, belief, backendsBelief} = this;
		return {
			config: async () => followTopic({
				store, topic: Topic.Config, sink: this.configSink(), belief, clock, waitMs: Math.round(this.platform.settings.bounds.revokeMs * configWaitShare),
			}, signal),
			backends: async () => followTopic({
				store, topic: Topic.Backends, sink: this.backendsSink(), belief: backendsBelief, clock, waitMs: backendsWaitMs,
			}, signal),
			messages: async () => this.repeat(() => this.messageIntervalMs(), () => {
				this.sendMessage(false);
			}),
			discovery: async () => this.repeat(() => rediscoverMs, async () => this.discover()),
			lease: async () => this.repeat(() => leaseStepMs, async () => this.stepLease()),
			duties: async () => this.repeat(() => dutyMs, async () => this.duties.step(signal)),
			sweep: async () => this.repeat(() => sweepMs, () => {
				this.registry.sweep(clock.now());
			}),
		};
	}

	/** Runs a task to its end; one that fails for a reason of the code's own ends the process, since the daemon would be half of itself. */
	private async runTask(name: string, task: () => Promise<void>): Promise<void> {
		try {
			await task();
		} catch (error) {
			log.error('task failed.', {task: name, error: error instanceof Error ? error.stack : String(error)});
			throw error;
		}
	}

	/** Repeats a step until the daemon stops; a step that fails is logged and tried again. */
	private async repeat(pauseMs: () => number, step: () => Promise<void> | void): Promise<void> {
		while (!this.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop -- one step after the other.
				await step();
			} catch (error) {
				if (!this.signal.aborted) {
					log.warn('step failed.', {error: String(error), cause: error instanceof Error ? String(error.cause) : ''});
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(pauseMs(), undefined, {signal: this.signal}).catch(() => undefined);
		}
	}

	/** Lets the requests in that came before anything was known. */
	private openWhenKnown(): void {
		if (this.routes.current && this.areBackendsKnown) {
			this.firstView.open();
		}
	}

	private configSink(): RecordSink {
		const {records} = this.platform;
		const apply = (record: KeyedRecord) => {
			if (!records.isConfigKey(record.key) || !record.value) {
				return;
			}

			try {
				const config = records.readConfig(record.value);
				if (this.routes.apply(config)) {
					this.openWhenKnown();
					this.callers.setLimits(config.limits);
					log.info('configuration in force.', {
						version: config.version, offset: record.offset, routes: config.routes.length, accounts: config.accounts.map(account => `${account.name} ${account.ratePerSecond ?? 'unlimited'}/s +${account.burst}`),
					});
				}
			} catch (error) {
				log.error('configuration unreadable, keeping the last one.', {offset: record.offset, version: this.routes.version, error: String(error)});
			}
		};

		return {
			reset(all) {
				for (const record of all) {
					apply(record);
				}
			},
			apply,
		};
	}

	private backendsSink(): RecordSink {
		const {records} = this.platform;
		const apply = (record: KeyedRecord, nowMs: number) => {
			if (!record.value) {
				const entry = this.backends.vanish(record.key, nowMs);
				log.info('backend server not listed any more.', {backend: record.key, wasLeaving: entry?.leavingSinceMs !== undefined, offset: record.offset});
				return;
			}

			try {
				const backend = records.readBackend(record.key, record.value);
				const isKnown = this.backends.get(record.key) !== undefined;
				const {beganToLeave} = this.backends.upsert(backend, nowMs);
				if (beganToLeave || !isKnown) {
					log.info(beganToLeave ? 'backend server leaves.' : 'backend server listed.', {
						backend: backend.id, service: backend.service, address: `${backend.host}:${backend.port}`, failureDomain: backend.failureDomain, isReclaimable: backend.isReclaimable, leavesInMs: backend.leavesInMs, offset: record.offset,
					});
				}
			} catch (error) {
				log.error('entry of a backend server unreadable, skipped.', {backend: record.key, offset: record.offset, error: String(error)});
			}
		};

		return {
			reset: (all, nowMs) => {
				for (const record of all) {
					apply(record, nowMs);
				}

				this.backends.retain(new Set(all.map(record => record.key)), nowMs);
				this.areBackendsKnown = true;
				this.openWhenKnown();
			},
			apply,
		};
	}

	private messageIntervalMs(): number {
		return messageMs * Math.max(1, this.peers.daemons(this.clock.now()) / messageDaemons);
	}

	private sendMessage(toAll: boolean): void {
		const {settings} = this.platform;
		const nowMs = this.clock.now();
		const message: PeerMessage = {
			name: settings.name,
			incarnation: this.incarnation,
			address: {host: settings.host, port: settings.peerPort},
			uptimeMs: Math.round(nowMs - this.startedAtMs),
			holder: this.lease.news(nowMs),
			spent: this.quota.spent(),
			windowSums: this.quota.sums(nowMs),
			usage: this.usage.own(),
			inFlight: this.placement.inFlight(),
			isStopping: this.isStopping,
		};
		for (const address of this.peers.targets(toAll, nowMs)) {
			this.link?.send(message, address);
		}
	}

	private hear(message: PeerMessage): void {
		const nowMs = this.clock.now();
		for (const [account, cost] of Object.entries(this.peers.note(message, nowMs))) {
			this.quota.notePeerSpent(account, cost, nowMs);
		}

		if (message.windowSums) {
			this.quota.adopt(message.windowSums, nowMs);
		}

		for (const [window, counts] of message.usage) {
			this.usage.note(message.incarnation, window, counts);
		}

		if (message.holder) {
			this.lease.hear(message.holder, nowMs);
		}
	}

	/** The demand for a service, brought up to date. */
	private demandOf(service: Service): PoolDemand {
		const nowMs = this.clock.now();
		const demand = this.demands.get(service.name) ?? new PoolDemand();
		this.demands.set(service.name, demand);
		const own = this.placement.inFlight();
		let inFlight = 0;
		for (const {backend} of this.backends.listed()) {
			if (backend.service === service.name) {
				inFlight += (own[backend.id] ?? 0) + this.peers.inFlight(backend.id, nowMs);
			}
		}

		demand.note(inFlight, nowMs);
		return demand;
	}

	/** Writes this daemon's address to the store once, and reads the others'. */
	private async discover(): Promise<void> {
		const {settings, store} = this.platform;
		if (!this.isAnnounced) {
			const address: PeerAddress = {host: settings.host, port: settings.peerPort};
			await store.append(Topic.Members, {key: settings.name, value: Buffer.from(JSON.stringify(address))}, undefined, this.signal);
			this.isAnnounced = true;
		}

		const batch = await store.newest(Topic.Members, this.signal);
		for (const {key, value} of batch.records) {
			if (value) {
				this.peers.learn(key, JSON.parse(Buffer.from(value).toString('utf8')) as PeerAddress);
			}
		}

		this.sendMessage(true);
		this.backends.prune(forgetMs, this.clock.now());
		this.placement.retain(new Set(this.backends.listed().map(entry => entry.backend.id)));
	}

	private async stepLease(): Promise<void> {
		if (!this.routes.current || this.isStopping) {
			return;
		}

		const nowMs = this.clock.now();
		const names = [...this.peers.audible(nowMs), this.platform.settings.name].toSorted();
		await this.lease.step({
			rank: names.indexOf(this.platform.settings.name), hearsMost: this.peers.hearsMost(nowMs), startedAtMs: this.startedAtMs,
		}, this.signal);
	}
}
