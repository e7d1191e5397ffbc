/**
 * Combines what is limited over all daemons, so that reports and stored bounds carry it
 * together: the limits of accounts, and the retry budgets, whose keys get a prefix.
 */
import {type AccountUse, type UseProfile} from '../account-window.js';
import {type SharedUse, type WindowBound} from '../shared-windows.js';

/** First character of the retry budgets' keys; no account has such a name. */
const retryMark = '@';

/** Splits values by whether their keys belong to the retry budgets; undefined where there is no sign of them. */
function split<T>(values: Record<string, T>): {quota: Record<string, T>; retries: Record<string, T> | undefined} {
	const entries = Object.entries(values);
	const retries = entries.filter(([key]) => key.startsWith(retryMark)).map(([key, value]) => [key.slice(retryMark.length), value]);
	return {
		quota: Object.fromEntries(entries.filter(([key]) => !key.startsWith(retryMark))),
		retries: retries.length > 0 ? Object.fromEntries(retries.filter(([key]) => key !== '')) as Record<string, T> : undefined,
	};
}

/** Joins values under their keys; `empty` stands for retry budgets that are known but unused. */
function join<T>(quota: Record<string, T>, retries: Record<string, T> | undefined, empty: T): Record<string, T> {
	const marked = retries && Object.fromEntries(Object.entries(retries).map(([key, value]) => [retryMark + key, value]));
	return {...quota, ...marked && {[retryMark]: empty, ...marked}};
}

/** The limits of accounts and the retry budgets. */
export class CombinedUse implements SharedUse {
	constructor(
		private readonly quota: SharedUse,
		private readonly retries: SharedUse,
	) {}

	get isMissingProfiles(): boolean {
		return this.quota.isMissingProfiles || this.retries.isMissingProfiles;
	}

	ownTotals(): Map<string, AccountUse> {
		return new Map([...this.quota.ownTotals(), ...[...this.retries.ownTotals()].map(([key, use]): [string, AccountUse] => [retryMark + key, use])]);
	}

	addPeerUse(key: string, use: AccountUse, nowMs: number): void {
		if (key.startsWith(retryMark)) {
			this.retries.addPeerUse(key.slice(retryMark.length), use, nowMs);
		} else {
			this.quota.addPeerUse(key, use, nowMs);
		}
	}

	noteMissedReports(): void {
		this.quota.noteMissedReports();
		this.retries.noteMissedReports();
	}

	profiles(nowMs: number): Record<string, UseProfile> | undefined {
		const quota = this.quota.profiles(nowMs);
		return quota && join(quota, this.retries.profiles(nowMs), []);
	}

	adoptProfiles(profiles: Record<string, UseProfile>, nowMs: number): void {
		const {quota, retries} = split(profiles);
		this.quota.adoptProfiles(quota, nowMs);
		if (retries) {
			this.retries.adoptProfiles(retries, nowMs);
		}
	}

	boundsToStore(reportIntervalMs: number, nowMs: number): Record<string, WindowBound> | undefined {
		const quota = this.quota.boundsToStore(reportIntervalMs, nowMs);
		return quota && join(quota, this.retries.boundsToStore(reportIntervalMs, nowMs), {uses: [], ahead: 0});
	}

	adoptStoredBounds(bounds: Record<string, WindowBound>, nowMs: number): void {
		const {quota, retries} = split(bounds);
		this.quota.adoptStoredBounds(quota, nowMs);
		if (retries) {
			this.retries.adoptStoredBounds(retries, nowMs);
		}
	}

	exceedsBounds(bounds: Record<string, WindowBound>, nowMs: number): boolean {
		const {quota, retries} = split(bounds);
		return this.quota.exceedsBounds(quota, nowMs) || this.retries.exceedsBounds(retries ?? {}, nowMs);
	}
}
