/**
 * What a gateway tells of itself: its status for operators, its whole state as a dump on
 * request, and the figures it exposes as metrics.
 */
import {type DependencyContainer} from 'tsyringe';
import {Gauge, type Registry} from 'prom-client';
import {type GatewaySettings} from '../protocol/gateway-settings.js';
import {BackendState, BackendDirectory} from '../coordination/backend-directory.js';
import {Completions} from '../coordination/completions.js';
import {FleetController} from '../coordination/fleet-controller.js';
import {Journal} from '../coordination/journal.js';
import {LeaseKeeper} from '../coordination/lease.js';
import {Limits} from '../coordination/admission.js';
import {LoadTracker} from '../coordination/load-tracker.js';
import {Membership} from '../coordination/membership.js';
import {ConfigTable} from '../state/config-table.js';
import {JournalTable} from '../state/journal-table.js';
import {PlatformLog} from '../state/platform-log.js';
import {type PeerTraffic} from '../transport/peer-link.js';
import {readClocks} from '../clock.js';

type Figure = {name: string; help: string; read: () => number};

/** The state of one gateway, read from its parts. */
export class GatewayState {
	constructor(
		private readonly settings: GatewaySettings,
		private readonly services: DependencyContainer,
		private readonly traffic: PeerTraffic,
	) {}

	/** What `admin status` shows. */
	status(nowMs: number): Record<string, unknown> {
		return {
			id: this.settings.id,
			failureDomain: this.settings.failureDomain,
			config: this.services.resolve(ConfigTable).toJson(),
			peers: this.services.resolve(Membership).list(nowMs),
		};
	}

	/** The whole state, for a dump on request. */
	dump(nowMs: number): Record<string, unknown> {
		const {services} = this;
		const journal = services.resolve(Journal);
		return {
			...this.status(nowMs),
			loads: Object.fromEntries(services.resolve(LoadTracker).views),
			limits: services.resolve(Limits).toJson(),
			peerTraffic: this.traffic,
			completions: services.resolve(Completions).toJson(),
			backendServers: services.resolve(BackendDirectory).toJson(),
			lease: services.resolve(LeaseKeeper).toJson(readClocks()),
			controller: services.resolve(FleetController).toJson(),
			platformLogAppends: services.resolve(PlatformLog).appends,
			journal: {...services.resolve(JournalTable).toJson(), batches: journal.batches},
		};
	}

	/** Registers a gauge for each figure, read when the metrics are asked. */
	addMetrics(registry: Registry): void {
		for (const {name, help, read} of this.figures()) {
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

	private figures(): Figure[] {
		const completions = this.services.resolve(Completions);
		const config = this.services.resolve(ConfigTable);
		const directory = this.services.resolve(BackendDirectory);
		const {counters} = this.services.resolve(FleetController);
		const lease = this.services.resolve(LeaseKeeper);
		const journalTable = this.services.resolve(JournalTable);
		const membership = this.services.resolve(Membership);
		const platformLog = this.services.resolve(PlatformLog);
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
