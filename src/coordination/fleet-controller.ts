/**
 * The fleet controller: the gateway that holds the lease repeatedly reconciles the VMs that
 * exist with the fleet that the preset in force specifies. No state passes from one holder to
 * the next: a new holder reads the cloud API and the engines' load reports.
 *
 * In each pass, for each model of the preset's `fleet`, the controller computes the replicas
 * needed from the demand, and plans the cheapest VMs that leave enough after a reclaim. It
 * starts missing VMs, drains and then stops surplus ones, and orders VMs without a model to
 * load one. A failure domain that refuses a start is skipped with exponential backoff.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {readClocks} from '../clock.js';
import {
	type EngineLoad, type EngineOrder, EngineRole, OrderKind,
} from '../protocol/engine-api.js';
import {type Price, type VmEntry, VmState} from '../protocol/cloud-api.js';
import {type ModelFleet} from '../protocol/config-records.js';
import {type ConfigTable} from '../state/config-table.js';
import {type PlatformLog} from '../state/platform-log.js';
import {sendOrder} from '../transport/engine-client.js';
import {createLogger} from '../log.js';
import {Backoff} from './backoff.js';
import {CloudClient, StartRefusedError} from './cloud-client.js';
import {isSnapshotDue, writeSnapshot} from './config-snapshots.js';
import {DemandWindow} from './demand-window.js';
import {type FleetPlan, type Offer, planFleet} from './fleet-plan.js';
import {type ControllerLease} from './controller-lease.js';
import {type LoadTracker} from './load-tracker.js';

const log = createLogger('controller');

/** Pauses after refused starts of one kind of VM in one failure domain. */
const startBackoffBounds = {firstMs: 1000, longestMs: 60_000};
/** Window whose highest demand sets the number of replicas, in milliseconds. */
export const demandWindowMs = 60_000;
/** Largest share of VMs that may be silent at once; beyond it, the cause is assumed to be the gateway's own network. */
const maxSilentShare = 0.5;
/** Time after which the same order is sent to an engine again, in milliseconds. */
const orderRepeatIntervalMs = 5000;

/** The dependencies and settings of the controller. */
export type ControllerOptions = {
	lease: ControllerLease;
	config: ConfigTable;
	platformLog: PlatformLog;
	loads: LoadTracker;
	/** URL of the cloud API; without one, the controller only writes snapshots. */
	cloudUrl?: string;
	/** Retention of the platform log, in milliseconds. */
	retentionMs: number;
	/** Pause between two passes, in milliseconds. */
	passMs: number;
	/** Time without a new report after which an engine's VM is stopped and replaced, in milliseconds. */
	silentMs: number;
};

/** The last order sent to an engine. */
type SentOrder = {order: EngineOrder; atMs: number};

/** Controls the fleet while its gateway holds the lease. */
export class FleetController {
	readonly counters = {
		passes: 0, started: 0, refused: 0, drained: 0, stopped: 0, orders: 0,
	};

	private readonly startBackoff = new Backoff(startBackoffBounds);
	private readonly demand = new DemandWindow(demandWindowMs);
	private readonly lastOrders = new Map<string, SentOrder>();
	private readonly cloud: CloudClient | undefined;
	/** The model that each VM was started for, which counts until its engine reports one. */
	private readonly assignedModels = new Map<string, string>();
	/** The last report of each live VM, and when it was first seen on the monotonic clock. */
	private readonly lastReports = new Map<string, {measuredAtMs: number | undefined; atMs: number}>();
	private startCount = 0;

	constructor(private readonly options: ControllerOptions) {
		this.cloud = options.cloudUrl === undefined ? undefined : new CloudClient(options.cloudUrl, () => this.holdsLease());
	}

	/** Runs passes, `passMs` apart, while this gateway holds the lease, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let wasHolding = false;
		while (!signal.aborted) {
			const isHolding = this.holdsLease();
			if (isHolding && !wasHolding) {
				log.info('acting as controller.', {token: this.options.lease.tokenAt(readClocks())});
				this.assignedModels.clear();
				this.lastOrders.clear();
				this.lastReports.clear();
			}

			wasHolding = isHolding;
			if (isHolding) {
				// eslint-disable-next-line no-await-in-loop
				await this.pass(signal);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(this.options.passMs, undefined, {signal}).catch(() => undefined);
		}
	}

	/** Returns the counters and the backoff of starts for state dumps. */
	toJson(): Record<string, unknown> {
		return {...this.counters, startBackoff: this.startBackoff.toJson()};
	}

	private holdsLease(): boolean {
		return this.options.lease.tokenAt(readClocks()) !== undefined;
	}

	private async pass(signal: AbortSignal): Promise<void> {
		this.counters.passes++;
		const {config, platformLog, retentionMs} = this.options;
		try {
			if (isSnapshotDue(config, retentionMs, Date.now())) {
				await writeSnapshot(config, platformLog, signal);
				log.info('config snapshot written.', {version: config.version});
			}

			const fleet = config.activePreset?.fleet;
			if (this.cloud && fleet) {
				await this.reconcileFleet(this.cloud, fleet, signal);
			}
		} catch (error) {
			log.warn('pass failed; trying again in the next one.', {error: String(error)});
		}
	}

	private async reconcileFleet(cloud: CloudClient, fleet: Record<string, ModelFleet>, signal: AbortSignal): Promise<void> {
		const [vms, prices] = await Promise.all([cloud.listVms(signal), cloud.prices(signal)]);
		this.forgetGone(vms);
		const started = vms.filter(vm => vm.state === VmState.Live || vm.state === VmState.Booting);
		const silent = this.findSilentVms(started, performance.now());
		await this.stopSilent(cloud, silent);
		const staying = started.filter(vm => !silent.has(vm));
		this.assignModels(staying, fleet);
		for (const [model, wanted] of Object.entries(fleet)) {
			const replicas = staying.filter(vm => this.modelOf(vm) === model);
			const serving = replicas.filter(vm => !this.isDraining(vm));
			const plan = planFleet(this.needOf(model, wanted, serving, Date.now()), this.availableOffers(prices, wanted, serving));
			// eslint-disable-next-line no-await-in-loop
			await this.reconcileModel(cloud, model, plan, serving);
			// eslint-disable-next-line no-await-in-loop
			await this.stopDrained(cloud, replicas);
			// eslint-disable-next-line no-await-in-loop
			await this.loadModels(model, serving);
		}
	}

	/** Returns the VMs whose engine has not reported for `silentMs`; none while most VMs are silent. */
	private findSilentVms(vms: VmEntry[], nowMs: number): Set<VmEntry> {
		const silent = new Set<VmEntry>();
		for (const vm of vms.filter(vm => vm.state === VmState.Live)) {
			const measuredAtMs = this.reportOf(vm)?.measuredAtMs;
			const last = this.lastReports.get(vm.name);
			if (!last || last.measuredAtMs !== measuredAtMs) {
				this.lastReports.set(vm.name, {measuredAtMs, atMs: nowMs});
			} else if (nowMs - last.atMs > this.options.silentMs) {
				silent.add(vm);
			}
		}

		if (silent.size > Math.max(1, vms.length * maxSilentShare)) {
			log.warn('most engines are silent; assuming a network fault of this gateway.', {silent: silent.size, vms: vms.length});
			return new Set();
		}

		return silent;
	}

	private async stopSilent(cloud: CloudClient, silent: Set<VmEntry>): Promise<void> {
		for (const vm of silent) {
			if (this.holdsLease()) {
				log.warn('engine is silent; stopping its VM.', {vm: vm.name, silentMs: this.options.silentMs});
				// eslint-disable-next-line no-await-in-loop
				await cloud.stopVm(vm.name);
				this.counters.stopped++;
			}
		}
	}

	private needOf(model: string, wanted: ModelFleet, serving: VmEntry[], nowMs: number): {replicas: number; surviving: number} {
		let inFlight = 0;
		for (const vm of serving) {
			const report = this.reportOf(vm);
			inFlight += report ? report.running + report.waiting : 0;
		}

		const demanded = Math.ceil(inFlight / wanted.inFlightPerReplica);
		const highest = this.demand.highest(model, demanded, nowMs);
		const replicas = Math.min(wanted.max, Math.max(wanted.min, highest));
		return {replicas, surviving: Math.ceil(replicas * wanted.survivingShare)};
	}

	/** Returns the offers for a model; one that is in backoff after a refused start is limited to the VMs that it already has. */
	private availableOffers(prices: Price[], wanted: ModelFleet, serving: VmEntry[]): Offer[] {
		const nowMs = Date.now();
		return prices.filter(price => price.machineClass === wanted.machineClass).map(price => {
			const have = serving.filter(vm => offerKey(vm) === offerKey(price)).length;
			return this.startBackoff.canTry(offerKey(price), nowMs) ? price : {...price, limit: have};
		});
	}

	/** Starts the planned VMs that are missing; drains surplus VMs once none is missing and all serve the model. */
	private async reconcileModel(cloud: CloudClient, model: string, plan: FleetPlan, serving: VmEntry[]): Promise<void> {
		const surplus = new Set(serving);
		let missing = 0;
		for (const [offer, count] of plan) {
			const have = serving.filter(vm => offerKey(vm) === offerKey(offer)).slice(0, count);
			for (const vm of have) {
				surplus.delete(vm);
			}

			missing += count - have.length;
			// eslint-disable-next-line no-await-in-loop
			await this.startVms(cloud, model, offer, count - have.length);
		}

		const isSettled = missing === 0 && serving.every(vm => this.reportOf(vm)?.model === model);
		for (const vm of isSettled ? surplus : []) {
			// eslint-disable-next-line no-await-in-loop
			await this.sendOrderUnlessRecent(vm, {kind: OrderKind.ChangeRole, role: EngineRole.Draining});
			this.counters.drained++;
		}
	}

	private async startVms(cloud: CloudClient, model: string, offer: Offer, count: number): Promise<void> {
		const key = offerKey(offer);
		for (let index = 0; index < count && this.holdsLease() && this.startBackoff.canTry(key, Date.now()); index++) {
			const {failureDomain, machineClass, reclaimable} = offer;
			try {
				// eslint-disable-next-line no-await-in-loop -- a refusal ends the loop.
				const vm = await cloud.startVm({
					requestId: `${this.options.lease.tokenAt(readClocks()) ?? 'none'}-${this.startCount++}`, failureDomain, machineClass, reclaimable,
				});
				this.assignedModels.set(vm.name, model);
				this.startBackoff.noteSuccess(key);
				this.counters.started++;
				log.info('VM started.', {
					vm: vm.name, model, failureDomain, reclaimable,
				});
			} catch (error) {
				// A lost answer starts the backoff too; if the VM was started, the next pass finds it in the cloud's list.
				this.startBackoff.noteRefusal(key, Date.now());
				this.counters.refused++;
				log.warn(error instanceof StartRefusedError ? 'VM start refused.' : 'no answer to a VM start.', {failureDomain, reclaimable, error: String(error)});
			}
		}
	}

	private async stopDrained(cloud: CloudClient, replicas: VmEntry[]): Promise<void> {
		for (const vm of replicas) {
			const report = this.reportOf(vm);
			const isEmpty = report?.role === EngineRole.Draining && report.running === 0 && report.waiting === 0;
			if (isEmpty && this.holdsLease()) {
				// eslint-disable-next-line no-await-in-loop
				await cloud.stopVm(vm.name);
				this.counters.stopped++;
				log.info('VM stopped.', {vm: vm.name});
			}
		}
	}

	private async loadModels(model: string, serving: VmEntry[]): Promise<void> {
		const empty = serving.filter(vm => vm.state === VmState.Live && this.reportOf(vm) !== undefined && this.reportOf(vm)!.model === undefined);
		for (const vm of empty) {
			// eslint-disable-next-line no-await-in-loop
			await this.sendOrderUnlessRecent(vm, {kind: OrderKind.LoadModel, model});
		}
	}

	/** Sends an order to an engine, unless the same one was sent a moment ago or the lease is lost. */
	private async sendOrderUnlessRecent(vm: VmEntry, order: Omit<EngineOrder, 'fencingToken'>): Promise<void> {
		const last = this.lastOrders.get(vm.name);
		const isRepeat = last?.order.kind === order.kind && last.order.model === order.model && Date.now() - last.atMs < orderRepeatIntervalMs;
		const fencingToken = this.options.lease.tokenAt(readClocks());
		if (isRepeat || fencingToken === undefined) {
			return;
		}

		const fenced = {...order, fencingToken};
		this.lastOrders.set(vm.name, {order: fenced, atMs: Date.now()});
		this.counters.orders++;
		try {
			const status = await sendOrder(vm.url, fenced, () => this.options.lease.tokenAt(readClocks()) === fencingToken);
			log.info('engine answered an order.', {
				vm: vm.name, kind: order.kind, model: order.model, token: fencingToken, status,
			});
		} catch (error) {
			// An unreachable engine must not keep the others from getting their orders.
			log.warn('order to an engine not sent or not answered.', {vm: vm.name, kind: order.kind, error: String(error)});
		}
	}

	private reportOf(vm: VmEntry): EngineLoad | undefined {
		const report = this.options.loads.views.get(vm.name)?.report;
		return report?.id === vm.name ? report : undefined;
	}

	private modelOf(vm: VmEntry): string | undefined {
		return this.reportOf(vm)?.model ?? this.assignedModels.get(vm.name);
	}

	private isDraining(vm: VmEntry): boolean {
		return this.options.config.drained.has(vm.name) || this.reportOf(vm)?.role === EngineRole.Draining || this.lastOrders.get(vm.name)?.order.role === EngineRole.Draining;
	}

	/** Assigns VMs without a model, which an earlier holder of the lease started, to the models that lack the most replicas. */
	private assignModels(vms: VmEntry[], fleet: Record<string, ModelFleet>): void {
		for (const vm of vms) {
			const isUnclaimed = this.modelOf(vm) === undefined && (vm.state === VmState.Booting || this.reportOf(vm) !== undefined);
			if (isUnclaimed) {
				const shortest = Object.keys(fleet)
					.map(model => ({model, lacking: fleet[model].min - vms.filter(other => this.modelOf(other) === model).length}))
					.toSorted((a, b) => b.lacking - a.lacking);
				this.assignedModels.set(vm.name, shortest[0].model);
			}
		}
	}

	private forgetGone(vms: VmEntry[]): void {
		const names = new Set(vms.map(vm => vm.name));
		for (const map of [this.assignedModels, this.lastOrders, this.lastReports]) {
			for (const name of map.keys()) {
				if (!names.has(name)) {
					map.delete(name);
				}
			}
		}
	}
}

function offerKey(offer: Pick<Offer, 'failureDomain' | 'machineClass' | 'reclaimable'>): string {
	return `${offer.failureDomain}/${offer.machineClass}/${offer.reclaimable ? 'reclaimable' : 'on-demand'}`;
}
