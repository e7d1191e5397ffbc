/**
 * Admission control per client account: a token bucket for the sustained rate and the burst,
 * and a cap on requests in flight, both from the preset in force. A preset's limits hold for
 * the whole fleet. The load balancer spreads callers evenly, so each gateway enforces an equal
 * share among the gateways that it knows to be alive. A request is refused before dispatch,
 * so it was not run, and the refusal says when to retry.
 */
import {type AccountLimit, type Preset} from '../protocol/config-records.js';

/** The limit that applies while no preset is active. */
export const defaultLimit: AccountLimit = {requestsPerSecond: 1000, burst: 2000, maxConcurrent: 1000};

/** Why a request was refused. */
export enum Refusal {
	Rate = 'rate',
	Concurrency = 'concurrency',
}

/** The decision on one request; a refusal carries the time in milliseconds after which to retry. */
export type Admission = {admitted: true; release: () => void} | {admitted: false; refusal: Refusal; retryAfterMs: number};

/** The token bucket and the requests in flight of one account; part of state dumps. */
type Bucket = {tokens: number; lastMs: number; inFlight: number};

/** Returns one gateway's share of a limit among `gateways` that are alive, itself included. */
export function shareOfLimit(limit: AccountLimit, gateways: number): AccountLimit {
	return {
		requestsPerSecond: limit.requestsPerSecond / gateways,
		// A burst or cap below one would admit no request at all.
		burst: Math.max(1, limit.burst / gateways),
		maxConcurrent: Math.max(1, Math.floor(limit.maxConcurrent / gateways)),
	};
}

/** Admits requests by the limits of each client account. */
export class AccountLimiter {
	/** Returns the limit of an account under a preset: its own, else the preset's default, else {@link defaultLimit}. */
	static limitOf(preset: Preset | undefined, account: string): AccountLimit {
		return preset?.limits.accounts?.[account] ?? preset?.limits.default ?? defaultLimit;
	}

	private readonly buckets = new Map<string, Bucket>();

	/**
	 * Decides on one request of `account` at `nowMs`.
	 *
	 * @returns On admission, a `release` function to call once the request ends.
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
		let isReleased = false;
		return {
			admitted: true,
			release() {
				if (!isReleased) {
					isReleased = true;
					bucket.inFlight--;
				}
			},
		};
	}

	/** Returns a plain copy for state dumps. */
	toJson(): Record<string, Bucket> {
		return Object.fromEntries(this.buckets);
	}
}
