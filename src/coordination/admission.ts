/**
 * Admission per client account: a token bucket for the sustained rate and burst,
 * and a cap on requests in flight, both from the preset in force. A preset's limits are
 * for the whole fleet; the balancer spreads callers evenly, so each gateway enforces its
 * even share among the gateways it knows to be alive. A refusal comes before dispatch,
 * so the request was not run, and says when to come back.
 */
import {type AccountLimit, type Preset} from '../protocol/config-records.js';

/** The limit in force before any preset is active. */
export const defaultLimit: AccountLimit = {requestsPerSecond: 1000, burst: 2000, maxConcurrent: 1000};

/** Why a request was refused. */
export enum Refusal {
	Rate = 'rate',
	Concurrency = 'concurrency',
}

/** The decision on one request. */
export type Admission = {admitted: true; release: () => void} | {admitted: false; refusal: Refusal; retryAfterMs: number};

type Bucket = {tokens: number; lastMs: number; inFlight: number};

/** One gateway's share of a limit among `gateways` that are alive, itself included. */
export function shareOfLimit(limit: AccountLimit, gateways: number): AccountLimit {
	return {
		requestsPerSecond: limit.requestsPerSecond / gateways,
		// A share below one would admit nothing at all.
		burst: Math.max(1, limit.burst / gateways),
		maxConcurrent: Math.max(1, Math.floor(limit.maxConcurrent / gateways)),
	};
}

/** The limits of each client account and their live buckets. */
export class Limits {
	/** Returns the limit of an account under a preset. */
	static limitOf(preset: Preset | undefined, account: string): AccountLimit {
		return preset?.limits.accounts?.[account] ?? preset?.limits.default ?? defaultLimit;
	}

	private readonly buckets = new Map<string, Bucket>();

	/**
	 * Decides on one request of `account` at `nowMs`.
	 *
	 * @returns On admission, a `release` to call once the request ends.
	 */
	admit(account: string, limit: AccountLimit, nowMs: number): Admission {
		const bucket = this.buckets.get(account) ?? {tokens: limit.burst, lastMs: nowMs, inFlight: 0};
		this.buckets.set(account, bucket);
		bucket.tokens = Math.min(limit.burst, bucket.tokens + (((nowMs - bucket.lastMs) / 1000) * limit.requestsPerSecond));
		bucket.lastMs = nowMs;
		if (bucket.inFlight >= limit.maxConcurrent) {
			return {admitted: false, refusal: Refusal.Concurrency, retryAfterMs: 1000};
		}

		if (bucket.tokens < 1) {
			return {admitted: false, refusal: Refusal.Rate, retryAfterMs: Math.ceil(((1 - bucket.tokens) / limit.requestsPerSecond) * 1000)};
		}

		bucket.tokens--;
		bucket.inFlight++;
		let released = false;
		return {
			admitted: true,
			release() {
				if (!released) {
					released = true;
					bucket.inFlight--;
				}
			},
		};
	}

	/** A plain copy for state dumps. */
	toJson(): Record<string, Bucket> {
		return Object.fromEntries(this.buckets);
	}
}
