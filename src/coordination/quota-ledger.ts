/**
 * Client accounts' limits over all daemons. Every daemon keeps one bucket an account and
 * takes from it what it admits itself and what the others say they admitted. It answers an
 * account that sends many times its usual through daemons that serve uneven shares of it.
 *
 * What peers admitted arrives late, so a bucket may go below zero and refuses until it has
 * recovered. A peer that fell silent is taken to admit its equal share, since it may be
 * cut off and serving.
 */
import {type Account} from '../protocol/serving.js';

/** Share of the slack over all accounts that is given to admit rather than refuse what may be within the limit. */
const usableSlackShare = 0.25;

/** Cost of a request for an account. */
export function requestCost(account: Account, promptTokens: number | undefined, maxOutputTokens: number | undefined): number {
	if (!account.countsTokens) {
		return 1;
	}

	return promptTokens === undefined ? account.plainTokens : promptTokens + (maxOutputTokens ?? 0);
}

type Bucket = {level: number; atMs: number; spent: number; burst: number};

/** The buckets of all accounts. */
export class QuotaLedger {
	private readonly buckets = new Map<string, Bucket>();

	/** @param slack Cost units by which the limit of an account may be passed in a window. */
	constructor(private readonly slack: number) {}

	/**
	 * Admits a request, or says in how many milliseconds it would be.
	 *
	 * @param daemons How many daemons share the limit; a bucket begins with one share of it.
	 * @param silentDaemons How many of those have not been heard of for a while.
	 */
	admit(account: Account, cost: number, daemons: number, silentDaemons: number, nowMs: number): {waitMs: number} | undefined {
		if (account.ratePerSecond === undefined) {
			return undefined;
		}

		const bucket = this.refill(account, daemons, silentDaemons, nowMs);
		if (bucket.level <= 0) {
			return {waitMs: Math.ceil((1 - bucket.level) / account.ratePerSecond * 1000)};
		}

		bucket.level -= cost;
		bucket.spent += cost;
		return undefined;
	}

	/** Gives back the cost of a request that was certainly not run. */
	refund(account: Account, cost: number): void {
		const bucket = this.buckets.get(account.name);
		if (bucket) {
			bucket.level = Math.min(bucket.burst, bucket.level + cost);
			bucket.spent -= cost;
		}
	}

	/** Takes what a peer admitted since it last said so. */
	notePeerSpent(accountName: string, cost: number): void {
		const bucket = this.buckets.get(accountName);
		if (bucket) {
			bucket.level -= cost;
		}
	}

	/** Everything this daemon admitted, by account; only grows, but for refunds. */
	spent(): Record<string, number> {
		return Object.fromEntries([...this.buckets].map(([name, bucket]) => [name, bucket.spent]));
	}

	private refill(account: Account, daemons: number, silentDaemons: number, nowMs: number): Bucket {
		const burst = account.burst + (this.slack * usableSlackShare);
		const share = 1 / Math.max(1, daemons);
		let bucket = this.buckets.get(account.name);
		if (!bucket) {
			bucket = {
				level: burst * share, atMs: nowMs, spent: 0, burst,
			};
			this.buckets.set(account.name, bucket);
		}

		const usableRate = account.ratePerSecond! * (1 - Math.min(0.9, silentDaemons * share));
		bucket.burst = burst;
		bucket.level = Math.min(burst, bucket.level + (usableRate * (nowMs - bucket.atMs) / 1000));
		bucket.atMs = nowMs;
		return bucket;
	}
}
