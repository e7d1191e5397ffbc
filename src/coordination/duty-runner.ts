/**
 * Performs the singleton duties while this daemon holds the lease: the usage report of
 * each window, and the orders that bring each service's pool to its plan.
 *
 * A report is decided by appending its counts to the platform's store before it is sent.
 * Whoever holds the lease later repeats the decided counts and never others, so that no
 * window is reported in two ways.
 */
import {Buffer} from 'node:buffer';
import {
	type Cloud, type DutyHolder, DutyResult, type PoolOrder,
} from '../protocol/platform.js';
import {type WindowCounts} from '../protocol/fleet-messages.js';
import {type Service} from '../protocol/serving.js';
import {type SteadyClock} from '../clock.js';
import {type BackendTable} from '../state/backend-table.js';
import {type RouteTable} from '../state/route-table.js';
import {createLogger} from '../log.js';
import {type DutyLease} from './duty-lease.js';
import {fieldsOf, readOwnRecord} from './own-record.js';
import {type DomainState, planPool, type PoolNeed} from './pool-plan.js';
import {type UsageLedger} from './usage-ledger.js';

const log = createLogger('duties');

/** Time after a window's end until the counts of all daemons have come, in milliseconds: five rounds of messages. */
const countsSettleMs = 1300;
/** Windows looked back for reports that are still due. */
const reportedBack = 2;
/** An order is repeated when the pool has not followed it, after the boot time and this, in milliseconds. */
const orderSettleMs = 2000;
/** Pause after an order that was not to be had, in milliseconds. */
const refusedPauseMs = 2500;
/** The list of backend servers must have been followed for this long before anything is ordered from it, in milliseconds, and must have stopped growing for this long, unless it has been followed for long enough. Backend servers are back within two seconds of the store's return, and register by and by when the system starts: an order made from the first 3 of 90 gave up the others, and one made after 2.5 s, from 33, still most of them. */
const listSettleMs = 2500;
const listRestMs = 1500;
const listFilledMs = 8000;
/** Pause after an order without an answer, in milliseconds: it may still be carried out. */
const unknownPauseMs = 3000;

/** A usage report that was decided. */
type DecidedReport = {window: number; counts: WindowCounts};

function isDecidedReport(value: unknown): value is DecidedReport {
	const {window, counts} = fieldsOf(value);
	return Number.isInteger(window) && Object.values(fieldsOf(counts)).every(count => typeof count === 'number') && typeof counts === 'object';
}

/** How long the list of backend servers has been followed without a loss, and how long no new one came, in milliseconds. */
export type FollowedList = {followedForMs: number; unchangedForMs: number};

type OrderState = {count: number; atMs: number; result: DutyResult; token: number};

/** The parts the duties work with. */
export type DutyParts = {
	cloud: Cloud;
	lease: DutyLease;
	usage: UsageLedger;
	routes: RouteTable;
	backends: BackendTable;
	clock: SteadyClock;
	name: string;
	usageWindowMs: number;
	/** How the list of backend servers has been followed. */
	list: (nowMs: number) => FollowedList;
	/** What each service needs now. */
	need: (service: Service) => PoolNeed;
};

/** The duties of the holder. */
export class DutyRunner {
	private readonly orders = new Map<string, OrderState>();
	private sentWindow: number | undefined;

	constructor(private readonly parts: DutyParts) {}

	/** One round of both duties. */
	async step(signal: AbortSignal): Promise<void> {
		await this.reportUsage(signal);
		await this.orderPools(signal);
	}

	private holder(): DutyHolder | undefined {
		const token = this.parts.lease.tokenAt(this.parts.clock.now());
		return token === undefined ? undefined : {name: this.parts.name, token};
	}

	private async reportUsage(signal: AbortSignal): Promise<void> {
		const {clock, usageWindowMs, usage, lease} = this.parts;
		if (!this.holder()) {
			return;
		}

		const decided = this.decided();
		const newest = usage.windowAt(clock.wallNow() - countsSettleMs) - 1;
		if (decided && decided.window > (this.sentWindow ?? -1) && decided.window >= newest - reportedBack) {
			await this.sendReport(decided, signal);
			return;
		}

		const window = decided ? Math.max(decided.window + 1, newest - reportedBack) : newest;
		const counts = window <= newest ? usage.total(window) : undefined;
		if (!counts) {
			return;
		}

		const report = {window, counts};
		if (await lease.recordUsage(Buffer.from(JSON.stringify(report)), signal)) {
			log.info('usage decided.', {window, windowMs: usageWindowMs, requests: sumOf(counts)});
			await this.sendReport(report, signal);
		}
	}

	private async sendReport(report: DecidedReport, signal: AbortSignal): Promise<void> {
		const holder = this.holder();
		if (!holder) {
			return;
		}

		const result = await this.parts.cloud.reportUsage(holder, report.window, report.counts, signal);
		log.info('usage reported.', {window: report.window, result, token: holder.token});
		if (result === DutyResult.Accepted) {
			this.sentWindow = report.window;
		} else if (result === DutyResult.Refused) {
			this.parts.lease.doubt();
		}
	}

	private decided(): DecidedReport | undefined {
		const record = this.parts.lease.usageRecord;
		return record && readOwnRecord(record, isDecidedReport, 'decided usage report');
	}

	private async orderPools(signal: AbortSignal): Promise<void> {
		const {clock, list} = this.parts;
		if (!isListSettled(list(clock.now()))) {
			return;
		}

		for (const service of this.parts.routes.current?.services ?? []) {
			if (service.scaling) {
				// eslint-disable-next-line no-await-in-loop -- the platform takes few calls a second.
				await this.orderPool(service, signal);
			}
		}
	}

	private async orderPool(service: Service, signal: AbortSignal): Promise<void> {
		const scaling = service.scaling!;
		const need = this.parts.need(service);
		const states = new Map([...scaling.prices.keys()].map(failureDomain => [failureDomain, this.stateOf(service.name, failureDomain, scaling.bootMs)]));
		const wanted = planPool(scaling, need, states).flatMap(pool => [
			// Reclaimable ones first, so that nothing is given up before its replacement is ordered.
			...(scaling.reclaimablePriceRatio === undefined ? [] : [{failureDomain: pool.failureDomain, isReclaimable: true, count: pool.reclaimable}]),
			{failureDomain: pool.failureDomain, isReclaimable: false, count: pool.onDemand},
		]);
		for (const order of wanted.toSorted((a, b) => Number(b.isReclaimable) - Number(a.isReclaimable))) {
			// eslint-disable-next-line no-await-in-loop
			await this.order({service: service.name, ...order}, {bootMs: scaling.bootMs, need}, signal);
		}
	}

	/** What a failure domain has, and has been promised. */
	private stateOf(service: string, failureDomain: string, bootMs: number): DomainState {
		const kind = {service, failureDomain, isReclaimable: true};
		const serving = this.present(kind);
		const last = this.orders.get(orderKey(kind));
		const isBooting = last?.result === DutyResult.Accepted && this.parts.clock.now() - last.atMs < bootMs + orderSettleMs;
		const onDemandKind = {...kind, isReclaimable: false};
		return {
			serving,
			expected: isBooting ? Math.max(serving, last.count) : serving,
			// A new holder starts from what there is.
			onDemand: this.orders.get(orderKey(onDemandKind))?.count ?? this.present(onDemandKind),
		};
	}

	private present(kind: Omit<PoolOrder, 'count'>): number {
		return this.parts.backends.listed().filter(({backend, leavingSinceMs}) => leavingSinceMs === undefined
			&& backend.service === kind.service && backend.failureDomain === kind.failureDomain && backend.isReclaimable === kind.isReclaimable).length;
	}

	private async order(order: PoolOrder, {bootMs, need}: {bootMs: number; need: PoolNeed}, signal: AbortSignal): Promise<void> {
		const {clock, cloud} = this.parts;
		const holder = this.holder();
		const key = orderKey(order);
		const last = this.orders.get(key);
		const nowMs = clock.now();
		const present = this.present(order);
		if (!holder || !isOrderDue(order.count, present, last, {bootMs, nowMs, token: holder.token})) {
			return;
		}

		const result = await cloud.orderPool(holder, order, signal);
		this.orders.set(key, {
			count: order.count, atMs: clock.now(), result, token: holder.token,
		});
		log.info('pool ordered.', {
			...order, present, needed: need.replicas, result, token: holder.token,
		});
		if (result === DutyResult.Refused && !order.isReclaimable) {
			// On-demand VMs are always to be had: a refusal means a higher token.
			this.parts.lease.doubt();
		}
	}
}

/** Whether the list of backend servers can be taken to have all there are. */
export function isListSettled({followedForMs, unchangedForMs}: FollowedList): boolean {
	return followedForMs >= listFilledMs || (followedForMs >= listSettleMs && unchangedForMs >= listRestMs);
}

function orderKey(kind: Omit<PoolOrder, 'count'>): string {
	return `${kind.service}/${kind.failureDomain}/${kind.isReclaimable ? 'reclaimable' : 'on-demand'}`;
}

/** Whether an order must be given: it is new, or the pool has not followed the last one in time. */
export function isOrderDue(wanted: number, present: number, last: OrderState | undefined, at: {bootMs: number; nowMs: number; token: number}): boolean {
	if (!last) {
		// A new holder does not know what its predecessor ordered last.
		return true;
	}

	if (last.token !== at.token) {
		return last.count !== wanted || present !== wanted;
	}

	const ageMs = at.nowMs - last.atMs;
	if (last.result === DutyResult.Refused) {
		return ageMs > refusedPauseMs && present !== wanted;
	}

	if (last.result !== DutyResult.Accepted) {
		return ageMs > unknownPauseMs;
	}

	return last.count !== wanted || (present < wanted && ageMs > at.bootMs + orderSettleMs);
}

function sumOf(counts: WindowCounts): number {
	let sum = 0;
	for (const count of Object.values(counts)) {
		sum += count;
	}

	return sum;
}
