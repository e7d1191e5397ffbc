/** One serving daemon: its ports, the tasks that keep its views, and its stop. */
import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {type DependencyContainer} from 'tsyringe';
import {type ToldTopic} from '../protocol/fleet-messages.js';
import {type Platform, Topic} from '../protocol/platform.js';
import {SteadyClock} from '../clock.js';
import {Gate} from '../gate.js';
import {createLogger} from '../log.js';
import {Belief} from '../state/belief.js';
import {BackendTable} from '../state/backend-table.js';
import {RouteTable} from '../state/route-table.js';
import {BackendPool} from '../transport/backend-pool.js';
import {DatagramLink} from '../transport/datagram-link.js';
import {FrontServer} from '../transport/front-server.js';
import {DutyLease} from '../coordination/duty-lease.js';
import {DutyRunner} from '../coordination/duty-runner.js';
import {BoundsRecord, checkMs} from '../coordination/fleet/bounds-record.js';
import {FleetMessenger} from '../coordination/fleet/fleet-messenger.js';
import {roundMs} from '../coordination/fleet/peer-census.js';
import {FleetTable} from '../coordination/fleet/fleet-table.js';
import {Placement} from '../coordination/placement.js';
import {Quarantine} from '../coordination/quarantine/quarantine.js';
import {quarantineCheckMs, QuarantineRecord} from '../coordination/quarantine/quarantine-record.js';
import {QuotaLedger} from '../coordination/quota-ledger.js';
import {applySettings} from '../coordination/settings-reload.js';
import {BackendsSink, ConfigSink} from '../coordination/record-sinks.js';
import {StatedLimits} from '../coordination/stated-limits.js';
import {type ViewState} from '../coordination/topic-follower.js';
import {Forwarder} from '../coordination/serving/forwarder.js';
import {DeferredMetrics, type RequestMetrics} from '../coordination/serving/request-metrics.js';
import {StreamRegistry, sweepMs} from '../coordination/serving/stream-registry.js';
import {BackendsFollower, ConfigFollower, createFrontContainer} from './front-container.js';

const log = createLogger('front');

/** Share of the revocation bound beyond which the daemon says it is not ready. */
const readyShare = 0.7;
/** Pause between rounds of the duties, in milliseconds. */
const dutyMs = 250;
/** How often the settings are read again for a change without a signal, in milliseconds: one read takes less than a millisecond. */
const settingsMs = 5000;
/** Pause between steps of the election, in milliseconds. */
const leaseStepMs = 100;
/** Backend servers that vanished are forgotten after this, in milliseconds. */
const forgetMs = 60_000;

/** A task that is repeated until the daemon stops. */
type RepeatedTask = {
	pauseMs: () => number;
	step: () => Promise<void> | void;
};

/** One start of a serving daemon. */
export class FrontDaemon {
	private readonly parts: DependencyContainer;
	private readonly clock: SteadyClock;
	private readonly startedAtMs: number;
	private readonly callers: FrontServer;
	private backendsSink: BackendsSink | undefined;
	private isStopping = false;
	/** Changed settings that need a restart, as last logged. */
	private needRestart = '';

	constructor(
		private readonly platform: Platform,
		private readonly incarnation: string,
		private readonly signal: AbortSignal,
	) {
		setMaxListeners(0, signal);
		this.parts = createFrontContainer({
			platform, incarnation, signal, createSinks: resolver => this.createSinks(resolver),
		});
		this.clock = this.parts.resolve(SteadyClock);
		this.startedAtMs = this.clock.now();
		const forwarder = this.parts.resolve(Forwarder);
		this.callers = new FrontServer(async request => forwarder.handle(request));
	}

	/** Whether new connections should come here. */
	get isReady(): boolean {
		const viewAgeMs = this.parts.resolve(Belief).ageMs(this.clock.now());
		return !this.isStopping && this.isKnown && viewAgeMs <= this.platform.settings.bounds.revokeMs * readyShare;
	}

	/** Requests that were read and not yet answered. */
	get openRequests(): number {
		return this.callers.openRequests;
	}

	/**
	 * Opens the ports and starts the tasks.
	 *
	 * @throws {TransportError} When an address cannot be bound.
	 */
	async start(): Promise<void> {
		await this.openPeers();
		await this.callers.listen(this.platform.settings.callers);
		void this.parts.resolve(ConfigFollower).run(this.signal);
		void this.parts.resolve(BackendsFollower).run(this.signal);
		for (const [name, task] of Object.entries(this.repeatedTasks())) {
			void this.repeat(name, task);
		}
	}

	/** Counts requests with these metrics from now on. */
	observe(metrics: RequestMetrics): void {
		this.parts.resolve(DeferredMetrics).target = metrics;
	}

	/** Reads the settings again and takes what changed into force; without a signal, logs only changes. */
	reload(isSignalled: boolean): void {
		try {
			const fresh = this.platform.readSettings();
			const {changed, needRestart} = applySettings(this.platform.settings, fresh);
			const isNews = Object.keys(changed).length > 0 || needRestart.join(',') !== this.needRestart;
			this.needRestart = needRestart.join(',');
			if (isSignalled || isNews) {
				log.info('settings read again.', {isSignalled, changed: JSON.stringify(changed), needRestart: this.needRestart});
			}
		} catch (error) {
			log.error('settings unreadable, keeping the last ones.', {error: String(error)});
		}
	}

	/** Says that it is not ready; every answer from now on closes its connection. */
	beginStop(): void {
		this.isStopping = true;
		this.parts.resolve(FleetMessenger).beginStop();
		this.callers.beginStop();
	}

	/** Takes no new connections and requests. */
	closeCallers(): void {
		this.callers.close();
	}

	/** Closes every connection. */
	destroyCallers(): void {
		this.callers.destroy();
		this.parts.resolve(BackendPool).destroy();
	}

	/** How current the views of the store's topics are. */
	get views(): Record<ToldTopic, ViewState> {
		const nowMs = this.clock.now();
		return {[Topic.Config]: this.parts.resolve(ConfigFollower).stateAt(nowMs), [Topic.Backends]: this.parts.resolve(BackendsFollower).stateAt(nowMs)};
	}

	/** The state of the daemon for a dump. */
	dump(): unknown {
		const nowMs = this.clock.now();
		const registry = this.parts.resolve(StreamRegistry);
		return {
			incarnation: this.incarnation,
			isReady: this.isReady,
			views: this.views,
			routes: this.parts.resolve(RouteTable).toJson(),
			backends: this.parts.resolve(BackendTable).toJson(),
			fleet: this.parts.resolve(FleetTable).toJson(nowMs),
			holder: this.parts.resolve(DutyLease).news(nowMs),
			inFlight: this.parts.resolve(Placement).inFlight(),
			streams: {running: registry.size, moved: registry.moved},
			connections: this.callers.openConnections,
			limits: Object.fromEntries(this.parts.resolve(QuotaLedger).own()),
			quarantine: this.parts.resolve(Quarantine).toJson(nowMs),
			statedLimits: this.parts.resolve(StatedLimits).toJson(nowMs),
		};
	}

	private get isKnown(): boolean {
		return this.parts.resolve(RouteTable).current !== undefined && this.backendsSink?.isKnown === true;
	}

	private async openPeers(): Promise<void> {
		const {host, peerPort} = this.platform.settings;
		const messenger = this.parts.resolve(FleetMessenger);
		messenger.open(await DatagramLink.open({host, port: peerPort}, message => {
			messenger.hear(message);
		}, this.signal));
	}

	private createSinks(resolver: DependencyContainer): {configSink: ConfigSink; backendsSink: BackendsSink} {
		const {records} = this.platform;
		const routes = resolver.resolve(RouteTable);
		const configSink = new ConfigSink(records, routes, () => {
			this.callers.setLimits(routes.current!.limits);
			resolver.resolve(QuotaLedger).noteLimits(routes.current!.accounts, this.clock.now());
			this.openWhenKnown();
		});
		this.backendsSink = new BackendsSink(records, resolver.resolve(BackendTable), () => {
			this.openWhenKnown();
		});
		return {configSink, backendsSink: this.backendsSink};
	}

	private repeatedTasks(): Record<string, RepeatedTask> {
		const messenger = this.parts.resolve(FleetMessenger);
		const bounds = this.parts.resolve(BoundsRecord);
		const quarantine = this.parts.resolve(QuarantineRecord);
		const duties = this.parts.resolve(DutyRunner);
		const registry = this.parts.resolve(StreamRegistry);
		return {
			reports: {
				pauseMs: () => roundMs,
				step() {
					messenger.report();
				},
			},
			discovery: {
				pauseMs: () => messenger.discoverPauseMs,
				step: async () => {
					this.forget();
					await messenger.discover(this.signal);
				},
			},
			limits: {pauseMs: () => checkMs, step: async () => bounds.save(this.signal)},
			quarantine: {pauseMs: () => quarantineCheckMs, step: async () => quarantine.save(this.signal)},
			lease: {pauseMs: () => leaseStepMs, step: async () => this.stepLease()},
			duties: {pauseMs: () => dutyMs, step: async () => duties.step(this.signal)},
			settings: {
				pauseMs: () => settingsMs,
				step: () => {
					this.reload(false);
				},
			},
			sweep: {
				pauseMs: () => sweepMs,
				step: () => {
					registry.sweep(this.clock.now());
				},
			},
		};
	}

	/** Repeats a step until the daemon stops; a step that fails is logged and tried again. */
	private async repeat(name: string, {pauseMs, step}: RepeatedTask): Promise<void> {
		while (!this.signal.aborted) {
			try {
				// eslint-disable-next-line no-await-in-loop -- one step after the other.
				await step();
			} catch (error) {
				if (!this.signal.aborted) {
					log.warn('step failed.', {task: name, error: String(error), cause: error instanceof Error ? String(error.cause) : ''});
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(pauseMs(), undefined, {signal: this.signal}).catch(() => undefined);
		}
	}

	/** Lets the requests in that came before anything was known. */
	private openWhenKnown(): void {
		if (this.isKnown) {
			this.parts.resolve(Gate).open();
		}
	}

	/** Forgets backend servers that are gone. */
	private forget(): void {
		const backends = this.parts.resolve(BackendTable);
		backends.prune(forgetMs, this.clock.now());
		this.parts.resolve(Placement).retain(new Set(backends.listed().map(entry => entry.backend.id)));
	}

	private async stepLease(): Promise<void> {
		if (!this.isKnown || this.isStopping) {
			return;
		}

		const nowMs = this.clock.now();
		const fleet = this.parts.resolve(FleetTable);
		await this.parts.resolve(DutyLease).step({rank: fleet.rank(nowMs), hearsMost: fleet.hearsMost(nowMs), startedAtMs: this.startedAtMs}, this.signal);
	}
}
