/**
 * The controller role: whichever gateway holds the lease compares, pass by pass, the
 * fleet the preset in force asks for with the VMs there are, and orders the difference.
 * It keeps nothing between holders: a new holder reads the cloud API and the engines'
 * reports and goes on.
 *
 * Each pass, for each model of the preset's `fleet`: demand gives the replicas needed;
 * the planner gives the cheapest VMs that keep enough through a reclaim; missing VMs are
 * started, surplus ones drained and then stopped, and VMs without a model are ordered to
 * load one. A failure domain that refuses a start is left out for a doubling pause.
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
import {type LeaseKeeper} from './lease.js';
import {type LoadTracker} from './load-tracker.js';

const log = createLogger('controller');

/** Pauses after refused starts in one failure domain; doubling as in the outbox reference. */
const startBackoff = {firstMs: 1000, longestMs: 60_000};
/** How long the highest demand seen keeps replicas, in milliseconds. */
export const demandWindowMs = 60_000;
/** Share of the VMs beyond which silence is taken for a fault of the holder's own network. */
const mostSilentShare = 0.5;
/** How long an order to load a model is given before it is repeated, in milliseconds. */
const orderRepeatMs = 5000;

/** What the controller needs from the rest of the gateway. */
export type ControllerOptions = {
	lease: LeaseKeeper;
	config: ConfigTable;
	platformLog: PlatformLog;
	loads: LoadTracker;
	/** Absent when the gateway knows no cloud API: then only snapshots are written. */
	cloudUrl?: string;
	retentionMs: number;
	passMs: number;
	/** How long an engine may be silent before its VM is stopped and replaced. */
	silentMs: number;
};

type Order = {order: EngineOrder; atMs: number};

/** The controller of one gateway; it acts only while the gateway holds the lease. */
export class FleetController {
	readonly counters = {
		passes: 0, started: 0, refused: 0, drained: 0, stopped: 0, orders: 0,
	};

	private readonly startBackoff = new Backoff(startBackoff);
	private readonly demand = new DemandWindow(demandWindowMs);
	private readonly lastOrders = new Map<string, Order>();
	private readonly cloud: CloudClient | undefined;
	/** The model each VM was started for, until its engine reports one. */
	private readonly assigned = new Map<string, string>();
	/** The last report seen of each live VM, and when it was new, by the monotonic clock. */
	private readonly lastHeard = new Map<string, {measuredAtMs: number | undefined; atMs: number}>();
	private starts = 0;

	constructor(private readonly options: ControllerOptions) {
		this.cloud = options.cloudUrl === undefined ? undefined : new CloudClient(options.cloudUrl, () => this.mayAct());
	}

	/** Makes a pass every `passMs` while this gateway holds the lease, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		let wasHolding = false;
		while (!signal.aborted) {
			const isHolding = this.mayAct();
			if (isHolding && !wasHolding) {
				log.info('acting as controller.', {token: this.options.lease.tokenAt(readClocks())});
				this.assigned.clear();
				this.lastOrders.clear();
				this.lastHeard.clear();
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

	/** Counters and pauses for state dumps. */
	toJson(): Record<string, unknown> {
		return {...this.counters, startBackoff: this.startBackoff.toJson()};
	}

	private mayAct(): boolean {
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
				await this.keepFleet(this.cloud, fleet, signal);
			}
		} catch (error) {
			log.warn('pass failed, the next one goes on.', {error: String(error)});
		}
	}

	private async keepFleet(cloud: CloudClient, fleet: Record<string, ModelFleet>, signal: AbortSignal): Promise<void> {
		const [vms, prices] = await Promise.all([cloud.listVms(signal), cloud.prices(signal)]);
		this.forgetGone(vms);
		const started = vms.filter(vm => vm.state === VmState.Live || vm.state === VmState.Booting);
		const silent = this.silentVms(started, performance.now());
		await this.stopSilent(cloud, silent);
		const staying = started.filter(vm => !silent.has(vm));
		this.assignUnclaimed(staying, fleet);
		for (const [model, wanted] of Object.entries(fleet)) {
			const replicas = staying.filter(vm => this.modelOf(vm) === model);
			const serving = replicas.filter(vm => !this.isDraining(vm));
			const plan = planFleet(this.need(model, wanted, serving, Date.now()), this.offersOf(prices, wanted, serving));
			// eslint-disable-next-line no-await-in-loop
			await this.reconcile(cloud, model, plan, serving);
			// eslint-disable-next-line no-await-in-loop
			await this.stopDrained(cloud, replicas);
			// eslint-disable-next-line no-await-in-loop
			await this.loadModels(model, serving);
		}
	}

	/** VMs whose engine has not reported for long; none while that is most of them. */
	private silentVms(vms: VmEntry[], nowMs: number): Set<VmEntry> {
		const silent = new Set<VmEntry>();
		for (const vm of vms.filter(vm => vm.state === VmState.Live)) {
			const measuredAtMs = this.reportOf(vm)?.measuredAtMs;
			const last = this.lastHeard.get(vm.name);
			if (!last || last.measuredAtMs !== measuredAtMs) {
				this.lastHeard.set(vm.name, {measuredAtMs, atMs: nowMs});
			} else if (nowMs - last.atMs > this.options.silentMs) {
				silent.add(vm);
			}
		}

		if (silent.size > Math.max(1, vms.length * mostSilentShare)) {
			log.warn('most engines are silent, taking it for a fault of this gateway\'s network.', {silent: silent.size, vms: vms.length});
			return new Set();
		}

		return silent;
	}

	private async stopSilent(cloud: CloudClient, silent: Set<VmEntry>): Promise<void> {
		for (const vm of silent) {
			if (this.mayAct()) {
				log.warn('engine silent, stopping its VM.', {vm: vm.name, silentMs: this.options.silentMs});
				// eslint-disable-next-line no-await-in-loop
				await cloud.stopVm(vm.name);
				this.counters.stopped++;
			}
		}
	}

	private need(model: string, wanted: ModelFleet, serving: VmEntry[], nowMs: number): {replicas: number; surviving: number} {
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

	/** What may be had now: an offer refused a moment ago is limited to the VMs already there. */
	private offersOf(prices: Price[], wanted: ModelFleet, serving: VmEntry[]): Offer[] {
		const nowMs = Date.now();
		return prices.filter(price => price.machineClass === wanted.machineClass).map(price => {
			const have = serving.filter(vm => offerKey(vm) === offerKey(price)).length;
			return this.startBackoff.mayTry(offerKey(price), nowMs) ? price : {...price, limit: have};
		});
	}

	/** Starts what the plan has and the fleet lacks; drains the rest once nothing is lacking. */
	private async reconcile(cloud: CloudClient, model: string, plan: FleetPlan, serving: VmEntry[]): Promise<void> {
		const surplus = new Set(serving);
		let missing = 0;
		for (const [offer, count] of plan) {
			const have = serving.filter(vm => offerKey(vm) === offerKey(offer)).slice(0, count);
			for (const vm of have) {
				surplus.delete(vm);
			}

			missing += count - have.length;
			// eslint-disable-next-line no-await-in-loop
			await this.start(cloud, model, offer, count - have.length);
		}

		const isSettled = missing === 0 && serving.every(vm => this.reportOf(vm)?.model === model);
		for (const vm of isSettled ? surplus : []) {
			// eslint-disable-next-line no-await-in-loop
			await this.order(vm, {kind: OrderKind.ChangeRole, role: EngineRole.Draining});
			this.counters.drained++;
		}
	}

	private async start(cloud: CloudClient, model: string, offer: Offer, count: number): Promise<void> {
		const key = offerKey(offer);
		for (let index = 0; index < count && this.mayAct() && this.startBackoff.mayTry(key, Date.now()); index++) {
			const {failureDomain, machineClass, reclaimable} = offer;
			try {
				// eslint-disable-next-line no-await-in-loop -- a refusal ends the series.
				const vm = await cloud.startVm({
					requestId: `${this.options.lease.tokenAt(readClocks()) ?? 'none'}-${this.starts++}`, failureDomain, machineClass, reclaimable,
				});
				this.assigned.set(vm.name, model);
				this.startBackoff.noteSuccess(key);
				this.counters.started++;
				log.info('VM started.', {
					vm: vm.name, model, failureDomain, reclaimable,
				});
			} catch (error) {
				// A lost answer counts too: the next pass finds the VM in the cloud's list.
				this.startBackoff.noteRefusal(key, Date.now());
				this.counters.refused++;
				log.warn(error instanceof StartRefusedError ? 'start refused.' : 'start unanswered.', {failureDomain, reclaimable, error: String(error)});
			}
		}
	}

	private async stopDrained(cloud: CloudClient, replicas: VmEntry[]): Promise<void> {
		for (const vm of replicas) {
			const report = this.reportOf(vm);
			const isEmpty = report?.role === EngineRole.Draining && report.running === 0 && report.waiting === 0;
			if (isEmpty && this.mayAct()) {
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
			await this.order(vm, {kind: OrderKind.LoadModel, model});
		}
	}

	/** Gives an engine an order, unless it got the same one a moment ago. */
	private async order(vm: VmEntry, order: Omit<EngineOrder, 'fencingToken'>): Promise<void> {
		const last = this.lastOrders.get(vm.name);
		const isRepeat = last?.order.kind === order.kind && last.order.model === order.model && Date.now() - last.atMs < orderRepeatMs;
		const fencingToken = this.options.lease.tokenAt(readClocks());
		if (isRepeat || fencingToken === undefined) {
			return;
		}

		const fenced = {...order, fencingToken};
		this.lastOrders.set(vm.name, {order: fenced, atMs: Date.now()});
		this.counters.orders++;
		try {
			const status = await sendOrder(vm.url, fenced, () => this.options.lease.tokenAt(readClocks()) === fencingToken);
			log.info('order given.', {
				vm: vm.name, kind: order.kind, model: order.model, token: fencingToken, status,
			});
		} catch (error) {
			// One engine out of reach must not keep the others from their orders.
			log.warn('order unanswered.', {vm: vm.name, kind: order.kind, error: String(error)});
		}
	}

	private reportOf(vm: VmEntry): EngineLoad | undefined {
		const report = this.options.loads.views.get(vm.name)?.report;
		return report?.id === vm.name ? report : undefined;
	}

	private modelOf(vm: VmEntry): string | undefined {
		return this.reportOf(vm)?.model ?? this.assigned.get(vm.name);
	}

	private isDraining(vm: VmEntry): boolean {
		return this.options.config.drained.has(vm.name) || this.reportOf(vm)?.role === EngineRole.Draining || this.lastOrders.get(vm.name)?.order.role === EngineRole.Draining;
	}

	/** VMs that an earlier holder started and that have no model yet go to the models with the fewest. */
	private assignUnclaimed(vms: VmEntry[], fleet: Record<string, ModelFleet>): void {
		for (const vm of vms) {
			const isUnclaimed = this.modelOf(vm) === undefined && (vm.state === VmState.Booting || this.reportOf(vm) !== undefined);
			if (isUnclaimed) {
				const shortest = Object.keys(fleet)
					.map(model => ({model, lacking: fleet[model].min - vms.filter(other => this.modelOf(other) === model).length}))
					.toSorted((a, b) => b.lacking - a.lacking);
				this.assigned.set(vm.name, shortest[0].model);
			}
		}
	}

	private forgetGone(vms: VmEntry[]): void {
		const names = new Set(vms.map(vm => vm.name));
		for (const map of [this.assigned, this.lastOrders, this.lastHeard]) {
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
