/**
 * The observable state of a gateway: its status for operators, the state dump, and its
 * metrics.
 */
import {type DependencyContainer} from 'tsyringe';
import {Gauge, type Registry} from 'prom-client';
import {type GatewaySettings} from '../protocol/gateway-settings.js';
import {BackendState, BackendDirectory} from '../coordination/backend-directory.js';
import {Completions} from '../coordination/completions.js';
import {FleetController} from '../coordination/fleet-controller.js';
import {Journal} from '../coordination/journal.js';
import {ControllerLease} from '../coordination/controller-lease.js';
import {AccountLimiter} from '../coordination/admission.js';
import {LoadTracker} from '../coordination/load-tracker.js';
import {Membership} from '../coordination/membership.js';
import {ConfigTable} from '../state/config-table.js';
import {JournalTable} from '../state/journal-table.js';
import {PlatformLog} from '../state/platform-log.js';
import {type PeerTraffic} from '../transport/peer-link.js';
import {readClocks} from '../clock.js';

type GaugeDefinition = {name: string; help: string; read: () => number};

/** Reads the state of one gateway from its components. */
export class GatewayState {
	constructor(
		private readonly settings: GatewaySettings,
		private readonly container: DependencyContainer,
		private readonly traffic: PeerTraffic,
	) {}

	/** Returns the status that `admin status` prints. */
	status(nowMs: number): Record<string, unknown> {
		return {
			id: this.settings.id,
			failureDomain: this.settings.failureDomain,
			config: this.container.resolve(ConfigTable).toJson(),
			peers: this.container.resolve(Membership).list(nowMs),
		};
	}

	/** Returns the full state for `/debug/state`. */
	dump(nowMs: number): Record<string, unknown> {
		const {container} = this;
		const journal = container.resolve(Journal);
		return {
			...this.status(nowMs),
			loads: Object.fromEntries(container.resolve(LoadTracker).views),
			limits: container.resolve(AccountLimiter).toJson(),
			peerTraffic: this.traffic,
			completions: container.resolve(Completions).toJson(),
			backendServers: container.resolve(BackendDirectory).toJson(),
			lease: container.resolve(ControllerLease).toJson(readClocks()),
			controller: container.resolve(FleetController).toJson(),
			platformLogAppends: container.resolve(PlatformLog).appends,
			journal: {...container.resolve(JournalTable).toJson(), batches: journal.batches},
		};
	}

	/** Registers the gauges, whose values are read at each request for the metrics. */
	addMetrics(registry: Registry): void {
		for (const {name, help, read} of this.gaugeDefinitions()) {
			const gauge = new Gauge({
				name: `sesametally_${name}`,
				help,
				registers: [],
				collect() {
					this.set(read());
				},
			});
			registry.registerMetric(gauge);
		}
	}

	private gaugeDefinitions(): GaugeDefinition[] {
		const completions = this.container.resolve(Completions);
		const config = this.container.resolve(ConfigTable);
		const directory = this.container.resolve(BackendDirectory);
		const {counters} = this.container.resolve(FleetController);
		const lease = this.container.resolve(ControllerLease);
		const journalTable = this.container.resolve(JournalTable);
		const membership = this.container.resolve(Membership);
		const platformLog = this.container.resolve(PlatformLog);
		return [
			{name: 'requests_in_flight', help: 'Completions being served.', read: () => completions.inFlight},
			{name: 'recomputed_tokens', help: 'Tokens computed again because a stream went on elsewhere.', read: () => completions.recomputedTokens},
			{name: 'stream_resumes', help: 'Streams that went on elsewhere after a failure.', read: () => completions.resumes},
			{name: 'stream_moves', help: 'Streams moved ahead of a reclaim.', read: () => completions.moves},
			{name: 'stream_kv_moves', help: 'Streams moved together with their KV cache.', read: () => completions.kvMoves},
			{name: 'config_version', help: 'Log offset of the last accepted config record.', read: () => config.version},
			{name: 'config_known', help: '1 once the configuration in force is known.', read: () => Number(config.isKnown)},
			{name: 'backend_servers_ready', help: 'Backend servers that may get new work.', read: () => directory.count(BackendState.Ready)},
			{name: 'backend_servers_leaving', help: 'Backend servers that finish what they have.', read: () => directory.count(BackendState.Leaving)},
			{name: 'peers_alive', help: 'Other gateways whose heartbeats arrive.', read: () => membership.aliveCount(Date.now()) - 1},
			{name: 'journal_keys', help: 'Idempotency keys remembered.', read: () => journalTable.toJson().keys},
			{name: 'platform_log_appends', help: 'Appends made to the platform log.', read: () => platformLog.appends},
			{name: 'lease_holding', help: '1 while this gateway may act as controller.', read: () => Number(lease.tokenAt(readClocks()) !== undefined)},
			{name: 'controller_vms_started', help: 'VMs started by this gateway as controller.', read: () => counters.started},
			{name: 'controller_starts_refused', help: 'Starts refused or unanswered.', read: () => counters.refused},
			{name: 'controller_vms_stopped', help: 'VMs stopped by this gateway as controller.', read: () => counters.stopped},
		];
	}
}
