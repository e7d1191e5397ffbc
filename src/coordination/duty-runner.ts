/**
 * Performs the singleton duties while this daemon holds the lease: it reports the usage of
 * each window and orders the VMs that each service's pool plan asks for.
 *
 * A report is committed by appending its counts to the platform's store before it is sent.
 * Any later holder repeats the committed counts and never others, so that no window is
 * reported with two different sets of counts.
 */
import {Buffer} from 'node:buffer';
import {
	type Cloud, type DutyHolder, DutyResult, type PoolOrder,
} from '../protocol/platform.js';
import {type WindowCounts} from '../protocol/fleet-messages.js';
import {type Backend, type Service} from '../protocol/serving.js';
import {type SteadyClock} from '../clock.js';
import {type BackendTable} from '../state/backend-table.js';
import {type RouteTable} from '../state/route-table.js';
import {createLogger} from '../log.js';
import {DutyKey, type DutyLease} from './duty-lease.js';
import {fieldsOf, decodeDaemonRecord} from './daemon-record.js';
import {type DomainState, planPool, type PoolNeed} from './pool-plan.js';
import {type UsageLedger} from './usage-ledger.js';

const log = createLogger('duties');

/** Delay after a window's end until the counts of all daemons have arrived, in milliseconds; five rounds of messages. */
const countsDelayMs = 1300;
/** Number of earlier windows whose reports are still sent when they are missing. */
const lookbackWindows = 2;
/** Time beyond the boot time after which an order that the pool has not fulfilled is repeated, in milliseconds. */
const orderGraceMs = 2000;
/** Pause before an order that was refused for lack of capacity is repeated, in milliseconds. */
const refusedRetryMs = 2500;
/**
 * Time that the list of backend servers must have been followed before orders are based on
 * it, in milliseconds. Backend servers are listed again within two seconds after the store
 * recovers. While the system starts, they register one by one, and an order based on an
 * incomplete list releases those that are missing from it: with the first 3 of 90 listed,
 * all others, and with 33 listed after 2.5 s, still most of them.
 */
const minFollowedMs = 2500;
/** Time for which the list must also have had no additions, in milliseconds. */
const minUnchangedMs = 1500;
/** Time of following the list after which additions no longer delay orders, in milliseconds. */
const longFollowedMs = 8000;
/** Pause before an order without an answer is repeated, in milliseconds; it may still be carried out. */
const unansweredRetryMs = 3000;

/** A committed usage report, and the era of the store in which it was committed. */
type CommittedReport = {window: number; counts: WindowCounts; era?: number};

function isCommittedReport(value: unknown): value is CommittedReport {
	const {window, counts, era} = fieldsOf(value);
	return Number.isInteger(window) && (era === undefined || Number.isInteger(era)) && Object.values(fieldsOf(counts)).every(count => typeof count === 'number') && typeof counts === 'object';
}

/** How long the list of backend servers has been followed without interruption, and how long it has had no additions, in milliseconds. */
export type ListStability = {followedForMs: number; unchangedForMs: number};

/** The last order for one kind of VM in one failure domain, and its result. */
type OrderState = {count: number; atMs: number; result: DutyResult; token: number};

/** The parts of the daemon that a {@link DutyRunner} depends on. */
export type DutyParts = {
	cloud: Cloud;
	lease: DutyLease;
	usage: UsageLedger;
	routes: RouteTable;
	backends: BackendTable;
	clock: SteadyClock;
	name: string;
	usageWindowMs: number;
	/** Returns how stable the list of backend servers is. */
	listStability: (nowMs: number) => ListStability;
	/** Returns the replicas that a service needs now. */
	poolNeed: (service: Service) => PoolNeed;
	/** Whether a backend server is part of the pool, rather than one of a version that is being tested or replaced. */
	belongsToPool: (backend: Backend) => boolean;
};

/** Performs the duties of the holder. */
export class DutyRunner {
	private readonly lastOrders = new Map<string, OrderState>();
	private reportedWindow: number | undefined;
	/** Whether the list of backend servers was complete enough for orders in the last round. */
	private wasListComplete: boolean | undefined;
	/** The window in which this daemon began to report after a restore of the store, by its era. */
	private firstCertain: {era: number; window: number} | undefined;

	constructor(private readonly parts: DutyParts) {}

	/** Performs one round of both duties. */
	async step(signal: AbortSignal): Promise<void> {
		await this.reportUsage(signal);
		await this.orderPools(signal);
	}

	private currentHolder(): DutyHolder | undefined {
		const token = this.parts.lease.tokenAt(this.parts.clock.now());
		return token === undefined ? undefined : {name: this.parts.name, token};
	}

	private async reportUsage(signal: AbortSignal): Promise<void> {
		const {clock, usageWindowMs, usage, lease} = this.parts;
		if (!this.currentHolder()) {
			return;
		}

		const committed = this.committedReport();
		const newestWindow = usage.windowAt(clock.wallTimeMs() - countsDelayMs) - 1;
		if (committed && committed.window > (this.reportedWindow ?? -1) && committed.window >= newestWindow - lookbackWindows) {
			await this.sendReport(committed, signal);
			return;
		}

		const nextWindow = committed ? Math.max(committed.window + 1, newestWindow - lookbackWindows) : newestWindow;
		const window = Math.max(nextWindow, this.firstCertainWindow(committed));
		const counts = window <= newestWindow ? usage.total(window) : undefined;
		if (!counts) {
			return;
		}

		const report: CommittedReport = {window, counts, era: lease.era};
		if (await lease.commit(DutyKey.Usage, Buffer.from(JSON.stringify(report)), signal)) {
			log.info('usage report of a window committed to the store.', {window, windowMs: usageWindowMs, requests: sumOf(counts)});
			await this.sendReport(report, signal);
		}
	}

	/** Returns the first window of which no report can have been committed and lost by a restore of the store: one that had not ended when this daemon took over. */
	private firstCertainWindow(committed: CommittedReport | undefined): number {
		const {lease, usage, clock} = this.parts;
		const era = lease.era ?? 0;
		if ((committed?.era ?? 0) >= era) {
			return Number.NEGATIVE_INFINITY;
		}

		if (this.firstCertain?.era !== era) {
			this.firstCertain = {era, window: usage.windowAt(clock.wallTimeMs())};
		}

		return this.firstCertain.window;
	}

	private async sendReport(report: CommittedReport, signal: AbortSignal): Promise<void> {
		const holder = this.currentHolder();
		if (!holder) {
			return;
		}

		const result = await this.parts.cloud.reportUsage(holder, report.window, report.counts, signal);
		log.info('usage reported.', {window: report.window, result, token: holder.token});
		if (result === DutyResult.Accepted) {
			this.reportedWindow = report.window;
		} else if (result === DutyResult.Refused) {
			this.parts.lease.discardConfirmation();
		}
	}

	private committedReport(): CommittedReport | undefined {
		const record = this.parts.lease.record(DutyKey.Usage);
		return record && decodeDaemonRecord(record, isCommittedReport, 'committed usage report');
	}

	private async orderPools(signal: AbortSignal): Promise<void> {
		const {clock, listStability} = this.parts;
		const stability = listStability(clock.now());
		const isComplete = isListComplete(stability);
		if (this.currentHolder() && isComplete !== this.wasListComplete) {
			this.wasListComplete = isComplete;
			log.info(isComplete ? 'list of backend servers complete, ordering VMs.' : 'list of backend servers not complete, not ordering VMs.', {...stability});
		}

		if (!isComplete) {
			return;
		}

		for (const service of this.parts.routes.current?.services ?? []) {
			if (service.scaling) {
				// eslint-disable-next-line no-await-in-loop -- the platform accepts few calls per second.
				await this.orderPool(service, signal);
			}
		}
	}

	private async orderPool(service: Service, signal: AbortSignal): Promise<void> {
		const scaling = service.scaling!;
		const need = this.parts.poolNeed(service);
		const states = new Map([...scaling.prices.keys()].map(failureDomain => [failureDomain, this.domainState(service.name, failureDomain, scaling.bootMs)]));
		const wanted = planPool(scaling, need, states).flatMap(pool => [
			// Reclaimable VMs come first, so that no VM is released before its replacement is ordered.
			...(scaling.reclaimablePriceRatio === undefined ? [] : [{failureDomain: pool.failureDomain, isReclaimable: true, count: pool.reclaimable}]),
			{failureDomain: pool.failureDomain, isReclaimable: false, count: pool.onDemand},
		]);
		for (const order of wanted.toSorted((a, b) => Number(b.isReclaimable) - Number(a.isReclaimable))) {
			// eslint-disable-next-line no-await-in-loop
			await this.orderIfDue({service: service.name, ...order}, {bootMs: scaling.bootMs, need}, signal);
		}
	}

	/** Returns the VMs that a failure domain has or has been promised. */
	private domainState(service: string, failureDomain: string, bootMs: number): DomainState {
		const kind = {service, failureDomain, isReclaimable: true};
		const serving = this.countPresent(kind);
		const last = this.lastOrders.get(orderKey(kind));
		const isBooting = last?.result === DutyResult.Accepted && this.parts.clock.now() - last.atMs < bootMs + orderGraceMs;
		const onDemandKind = {...kind, isReclaimable: false};
		return {
			serving,
			expected: isBooting ? Math.max(serving, last.count) : serving,
			// A new holder starts from the VMs that are present.
			onDemand: this.lastOrders.get(orderKey(onDemandKind))?.count ?? this.countPresent(onDemandKind),
		};
	}

	private countPresent(kind: Omit<PoolOrder, 'count'>): number {
		return this.parts.backends.listed().filter(({backend, leavingSinceMs}) => leavingSinceMs === undefined
			&& backend.service === kind.service && backend.failureDomain === kind.failureDomain && backend.isReclaimable === kind.isReclaimable
			&& this.parts.belongsToPool(backend)).length;
	}

	private async orderIfDue(order: PoolOrder, {bootMs, need}: {bootMs: number; need: PoolNeed}, signal: AbortSignal): Promise<void> {
		const {clock, cloud} = this.parts;
		const holder = this.currentHolder();
		const key = orderKey(order);
		const last = this.lastOrders.get(key);
		const nowMs = clock.now();
		const present = this.countPresent(order);
		if (!holder || !isOrderDue(order.count, present, last, {bootMs, nowMs, token: holder.token})) {
			return;
		}

		const result = await cloud.orderPool(holder, order, signal);
		this.lastOrders.set(key, {
			count: order.count, atMs: clock.now(), result, token: holder.token,
		});
		log.info('pool size requested from the cloud.', {
			...order, present, needed: need.replicas, result, token: holder.token,
		});
		if (result === DutyResult.Refused && !order.isReclaimable) {
			// On-demand VMs are always available, so a refusal means that a higher fencing token exists.
			this.parts.lease.discardConfirmation();
		}
	}
}

/** Whether the list of backend servers can be assumed to be complete. */
export function isListComplete({followedForMs, unchangedForMs}: ListStability): boolean {
	return followedForMs >= longFollowedMs || (followedForMs >= minFollowedMs && unchangedForMs >= minUnchangedMs);
}

function orderKey(kind: Omit<PoolOrder, 'count'>): string {
	return `${kind.service}/${kind.failureDomain}/${kind.isReclaimable ? 'reclaimable' : 'on-demand'}`;
}

/** Whether an order must be sent: it is new, or the pool has not fulfilled the last one in time. */
export function isOrderDue(wanted: number, present: number, last: OrderState | undefined, timing: {bootMs: number; nowMs: number; token: number}): boolean {
	if (!last) {
		// A new holder does not know what its predecessor last ordered.
		return true;
	}

	if (last.token !== timing.token) {
		return last.count !== wanted || present !== wanted;
	}

	const ageMs = timing.nowMs - last.atMs;
	if (last.result === DutyResult.Refused) {
		return ageMs > refusedRetryMs && present !== wanted;
	}

	if (last.result !== DutyResult.Accepted) {
		return ageMs > unansweredRetryMs;
	}

	return last.count !== wanted || (present < wanted && ageMs > timing.bootMs + orderGraceMs);
}

function sumOf(counts: WindowCounts): number {
	let sum = 0;
	for (const count of Object.values(counts)) {
		sum += count;
	}

	return sum;
}
