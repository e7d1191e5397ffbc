/**
 * Counts how the answers of both versions of a roll-out turned out, over all daemons. Daemons
 * exchange these counts with the totals of the accounts' limits: pairs of totals by key, which
 * relays add up.
 */
import {type AnswerMetadata} from '../../protocol/serving.js';
import {type AccountUse} from '../account-window.js';
import {type OutcomeMetric, type Stratum} from './version-verdict.js';

/** Multiple of the usual time of a route from which on an answer counts as slow. */
const slowFactor = 2.5;
/** Step by which the usual time follows the answers, as a factor; it settles at their median. */
const usualTimeStep = 1.08;
/** The status of an answer that turns a request away. */
const unavailableStatus = 503;
/** First character of the keys; no account has such a name. */
const keyMark = '#';

/** Where an answer came from. */
export type OutcomeSource = {orderId: number; isNext: boolean; failureDomain: string; route: string};

type KeyFields = [orderId: number, isNext: number, failureDomain: string, route: string, metric: OutcomeMetric];

/**
 * Whether an answer turns its request away for load: it states that the request was not run, or
 * a limit on requests. It tells nothing of the version, since the few backend servers that test
 * one fill up sooner than the others.
 */
export function isLoadRejection(status: number, {isNotRun, limitPerSecond}: Pick<AnswerMetadata, 'isNotRun' | 'limitPerSecond'>): boolean {
	return status === unavailableStatus && (isNotRun || limitPerSecond !== undefined);
}

/** Follows the median time of each route's answers. */
export class UsualTimes {
	private readonly msByRoute = new Map<string, number>();

	/** Records the time of an answer, in milliseconds. */
	note(route: string, ms: number): void {
		const usual = this.msByRoute.get(route);
		this.msByRoute.set(route, usual === undefined ? Math.max(1, ms) : Math.max(1, ms > usual ? usual * usualTimeStep : usual / usualTimeStep));
	}

	/** Whether an answer took several times as long as is usual on its route. */
	isSlow(route: string, ms: number): boolean {
		return ms > (this.msByRoute.get(route) ?? Number.POSITIVE_INFINITY) * slowFactor;
	}
}

/** The counts of this daemon and those that others reported. */
export class VersionOutcomes {
	private readonly own = new Map<string, AccountUse>();
	private readonly peers = new Map<string, AccountUse>();

	/** Counts an answer of this daemon's requests. */
	count(source: OutcomeSource, metric: OutcomeMetric, isBad: boolean): void {
		add(this.own, keyOf(source, metric), {admitted: isBad ? 0 : 1, refused: isBad ? 1 : 0});
	}

	/** Returns this daemon's totals by key; the second number of each pair counts the bad answers. */
	ownTotals(): ReadonlyMap<string, AccountUse> {
		return this.own;
	}

	/** Adds an increase in the totals of other daemons; returns false if the key is not one of these counts. */
	addPeerTotals(key: string, growth: AccountUse): boolean {
		if (!key.startsWith(keyMark)) {
			return false;
		}

		add(this.peers, key, growth);
		return true;
	}

	/** Drops the counts of all orders but those given. */
	retain(orderIds: ReadonlySet<number>): void {
		for (const counts of [this.own, this.peers]) {
			for (const key of counts.keys()) {
				if (!orderIds.has(readKey(key)?.[0] ?? Number.NaN)) {
					counts.delete(key);
				}
			}
		}
	}

	/** Returns the counts of an order over all daemons. */
	strata(orderId: number): Stratum[] {
		const strata = new Map<string, Stratum>();
		for (const [key, {admitted, refused}] of [...this.own, ...this.peers]) {
			const fields = readKey(key);
			if (fields?.[0] !== orderId) {
				continue;
			}

			const [, isNext, failureDomain, route, metric] = fields;
			const name = JSON.stringify([failureDomain, route, metric]);
			const stratum = strata.get(name) ?? {
				metric, failureDomain, route, current: {answers: 0, bad: 0}, next: {answers: 0, bad: 0},
			};
			strata.set(name, stratum);
			const counts = isNext ? stratum.next : stratum.current;
			counts.answers += admitted + refused;
			counts.bad += refused;
		}

		return [...strata.values()];
	}
}

function keyOf({orderId, isNext, failureDomain, route}: OutcomeSource, metric: OutcomeMetric): string {
	const fields: KeyFields = [orderId, isNext ? 1 : 0, failureDomain, route, metric];
	return keyMark + JSON.stringify(fields);
}

function readKey(key: string): KeyFields | undefined {
	try {
		return JSON.parse(key.slice(keyMark.length)) as KeyFields;
	} catch {
		// Another daemon's version may use other keys; its counts are of no use here.
		return undefined;
	}
}

function add(counts: Map<string, AccountUse>, key: string, {admitted, refused}: AccountUse): void {
	const known = counts.get(key) ?? {admitted: 0, refused: 0};
	counts.set(key, {admitted: known.admitted + admitted, refused: known.refused + refused});
}
