/**
 * Brings each service's pool of VMs to its plan while this daemon holds the duties. What
 * leaves is replaced at once; VMs are given up only by a list of backend servers that has
 * all there are.
 */
import {DutyResult, type PoolOrder} from '../protocol/platform.js';
import {type Service} from '../protocol/serving.js';
import {type BackendEntry} from '../state/backend-table.js';
import {createLogger} from '../log.js';
import {type DutyParts, type FollowedList, holderOf} from './duty-parts.js';
import {leastNeed} from './pool-demand.js';
import {type DomainState, planPool} from './pool-plan.js';

const log = createLogger('duties');

/** An order is repeated when the pool has not followed it, after the boot time and this, in milliseconds. */
const orderSettleMs = 2000;
/** Pause after an order that was not to be had, in milliseconds. */
const refusedPauseMs = 2500;
/** The list of backend servers must have been followed for this long before anything is ordered from it, in milliseconds, and must have stopped growing for this long, unless it has been followed for long enough. Backend servers are back within two seconds of the store's return, and register by and by when the system starts: an order made from the first 3 of 90 gave up the others, and one made after 2.5 s, from 33, still most of them. */
const listSettleMs = 2500;
const listRestMs = 1500;
const listFilledMs = 8000;
/** Backend servers write their entries this often at the latest, in milliseconds: the sheets' longest interval, and a margin. */
const listBeatMs = 1300;
/** Fencing token of the first holder there ever was. */
const firstToken = 1;
/** Pause after an order without an answer, in milliseconds: it may still be carried out. */
const unknownPauseMs = 3000;

type OrderState = {
	count: number;
	/** VMs of the kind that were there when it was given. */
	present: number;
	atMs: number;
	result: DutyResult;
	token: number;
};

/** A kind of VM of a service in a failure domain. */
type PoolKind = Omit<PoolOrder, 'count'>;

/** The orders of the holder. */
export class PoolOrders {
	private readonly orders = new Map<string, OrderState>();
	/** Whether the list was settled once, so that it holds all there are but what the store has not told yet. */
	private hasSettled = false;

	constructor(private readonly parts: DutyParts) {}

	/** Orders what each service's plan asks for and was not ordered yet. */
	async order(signal: AbortSignal): Promise<void> {
		const {clock, list} = this.parts;
		// From a list that may lack some nothing is given up, but what is known to be gone is replaced: a list that was lost for 3 s held up every order for 9.
		const mayGiveUp = isListSettled(list(clock.now()));
		this.hasSettled ||= mayGiveUp;
		if (!this.hasSettled) {
			await this.orderFirst(signal);
			return;
		}

		for (const service of this.parts.routes.current?.services ?? []) {
			if (service.scaling) {
				// eslint-disable-next-line no-await-in-loop -- the platform takes few calls a second.
				await this.orderPool(service, mayGiveUp, signal);
			}
		}
	}

	/**
	 * Orders the fewest reclaimable VMs when the whole system starts for the first time,
	 * before the list is settled: they replace on-demand ones that cost six times as much, and
	 * take seconds to boot. Where there are reclaimable ones already, such an order could give
	 * some up.
	 */
	private async orderFirst(signal: AbortSignal): Promise<void> {
		const {clock, list, isFirstStart, backends, routes} = this.parts;
		const isFirst = isFirstStart && holderOf(this.parts)?.token === firstToken && list(clock.now()).followedForMs >= listBeatMs;
		for (const {name, scaling} of isFirst ? routes.current?.services ?? [] : []) {
			const replicas = backends.listed().filter(({backend}) => backend.service === name);
			if (scaling?.reclaimablePriceRatio === undefined || replicas.length === 0 || replicas.some(({backend}) => backend.isReclaimable)) {
				continue;
			}

			for (const {failureDomain, reclaimable} of planPool(scaling, leastNeed(), new Map())) {
				// eslint-disable-next-line no-await-in-loop -- the platform takes few calls a second.
				await this.give({
					service: name, failureDomain, isReclaimable: true, count: reclaimable,
				}, {bootMs: scaling.bootMs, mayGiveUp: true}, signal);
			}
		}
	}

	private async orderPool(service: Service, mayGiveUp: boolean, signal: AbortSignal): Promise<void> {
		const scaling = service.scaling!;
		const states = new Map([...scaling.prices.keys()].map(failureDomain => [failureDomain, this.stateOf(service.name, failureDomain, scaling.bootMs)]));
		const wanted = planPool(scaling, this.parts.need(service), states).flatMap(pool => [
			// Reclaimable ones first, so that nothing is given up before its replacement is ordered.
			...(scaling.reclaimablePriceRatio === undefined ? [] : [{failureDomain: pool.failureDomain, isReclaimable: true, count: pool.reclaimable}]),
			{failureDomain: pool.failureDomain, isReclaimable: false, count: pool.onDemand},
		]);
		for (const order of wanted.toSorted((a, b) => Number(b.isReclaimable) - Number(a.isReclaimable))) {
			// eslint-disable-next-line no-await-in-loop
			await this.give({service: service.name, ...order}, {bootMs: scaling.bootMs, mayGiveUp}, signal);
		}
	}

	/** What a failure domain has, and has been promised. */
	private stateOf(service: string, failureDomain: string, bootMs: number): DomainState {
		const kind = {service, failureDomain, isReclaimable: true};
		const serving = this.present(kind);
		const last = this.orders.get(orderKey(kind));
		const isBooting = last?.result === DutyResult.Accepted && this.parts.clock.now() - last.atMs < bootMs + orderSettleMs;
		const arriving = isBooting ? Math.max(0, last.count - last.present - this.arrivedSince(kind, last.atMs)) : 0;
		const onDemandKind = {...kind, isReclaimable: false};
		return {
			serving,
			// What left after the order is not coming back by it: counting the whole order hid a reclaim for six seconds.
			expected: serving + arriving,
			// A new holder starts from what there is.
			onDemand: this.orders.get(orderKey(onDemandKind))?.count ?? this.present(onDemandKind),
		};
	}

	private present(kind: PoolKind): number {
		return this.listed(kind).filter(({leavingSinceMs}) => leavingSinceMs === undefined).length;
	}

	private arrivedSince(kind: PoolKind, atMs: number): number {
		return this.listed(kind).filter(({seenAtMs}) => seenAtMs > atMs).length;
	}

	private listed(kind: PoolKind): BackendEntry[] {
		return this.parts.backends.listed().filter(({backend}) => backend.service === kind.service && backend.failureDomain === kind.failureDomain && backend.isReclaimable === kind.isReclaimable);
	}

	private async give(order: PoolOrder, {bootMs, mayGiveUp}: {bootMs: number; mayGiveUp: boolean}, signal: AbortSignal): Promise<void> {
		const {clock, cloud} = this.parts;
		const holder = holderOf(this.parts);
		const key = orderKey(order);
		const last = this.orders.get(key);
		const nowMs = clock.now();
		const present = this.present(order);
		const isRaise = last !== undefined && order.count > last.count;
		if (!mayGiveUp && !isRaise) {
			return;
		}

		if (!holder || !isOrderDue(order.count, present, last, {bootMs, nowMs, token: holder.token})) {
			return;
		}

		const result = await cloud.orderPool(holder, order, signal);
		this.orders.set(key, {
			count: order.count, present, atMs: clock.now(), result, token: holder.token,
		});
		log.info('pool ordered.', {
			...order, present, result, token: holder.token,
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

function orderKey(kind: PoolKind): string {
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
