/**
 * Enforces client accounts' rate limits over all daemons. Every daemon sums what was admitted
 * to an account within the sliding window of its limit, by itself and, as reported, by its
 * peers. The limit so also holds for an account that sends many times its usual load through
 * daemons that serve uneven shares of it.
 *
 * Peers' reports arrive late. Until they do, peers are assumed to go on admitting at the rate
 * last reported. When less is left of a limit than is requested until the next reports, all
 * daemons admit the same share of their requests (`limit-sharing.ts`, `service-mix.ts`), so that
 * they do not together admit several times what is left. In simulations of 86 daemons, an
 * account that requests four to eight times its limit stays within its bound with this rule and
 * exceeds it without, unless it jumps from its limit to eight times that.
 * A silent peer is assumed to admit its equal share, since it may be partitioned and still
 * serving. A daemon that hears from few of the others limits itself to that share; in a large
 * fleet it does so for a further window, since nobody reports what was admitted while no relay
 * answered.
 *
 * A daemon that has just started takes over the window's history from its peers, or from the
 * store. The stored history includes what may have been admitted after it was written, since
 * all daemons may have been killed at once. Known peers that it has not heard from yet are
 * assumed to get as many requests as it does itself: otherwise each of many daemons that start
 * together would admit all that is left. Without any history, a daemon grants the limit only
 * in proportion to the part of the window that it has seen itself.
 */
import {type Account} from '../protocol/serving.js';
import {type FirstStart} from './first-start.js';
import {type AccountUse, type AccountWindow, type UseProfile} from './account-window.js';
import {partWithinLimit} from './limit-sharing.js';
import {type SharedUse, SharedWindows, type WindowBound} from './shared-windows.js';

/** Share of the operators' slack and tolerance that is granted; the rest covers the error in what peers are assumed to admit. */
const grantedSlackShare = 0.4;
/** Part of the window for which the rest of a limit must last while more is requested. A longer one admits less of a short burst; a shorter one leaves little for its later requests until the oldest part of the window expires. */
const lastingShare = 5 / 8;

/** The bounds that operators set on how far an account's use may exceed its limit. */
export type QuotaBounds = {
	/** Length of the sliding window, in milliseconds. */
	windowMs: number;
	/** Share of the limit by which a window may exceed it. */
	tolerance: number;
	/** Cost units by which a window may exceed it. */
	slack: number;
};

/** Returns the cost of a request: 1 for an account that limits requests; for one that limits tokens, those of the prompt and the most of the output, or a fixed number where the request has no prompt. */
export function requestCost(account: Account, promptTokens: number | undefined, maxOutputTokens: number | undefined): number {
	if (!account.countsTokens) {
		return 1;
	}

	return promptTokens === undefined ? account.defaultTokenCost : promptTokens + (maxOutputTokens ?? 0);
}

/** What is known of the other daemons when a request is admitted. */
export type QuotaPeers = {
	/** Daemons that share the limits, this one included. */
	daemons: number;
	/** Daemons among them that have not reported of late. */
	silentDaemons: number;
	/** Delay until a report of what peers admitted arrives, in milliseconds. */
	reportDelayMs: number;
	/** Interval of the reports, in milliseconds. */
	reportIntervalMs: number;
	/** Further daemons that may have started together with this one and have not reported yet. */
	unreportedDaemons: number;
	/** Whether this daemon lacks reports of what most of the others admitted in the window. */
	isIsolated: boolean;
};

/** A request of an account that has a limit. */
export type LimitedRequest = {
	/** Cost units that it is charged. */
	cost: number;
	/** The service that it goes to. */
	service: string;
};

/** Why a request was refused. */
export type QuotaRefusal = {
	/** Time after which the request may be sent again, in milliseconds. */
	waitMs: number;
	/** Share of such requests that was admitted when it was refused. */
	admittedShare: number;
	/** Cost units that all daemons had admitted in the window, as known here. */
	admittedInWindow: number;
};

/** Tracks what was admitted to all accounts and admits their requests. */
export class QuotaLedger implements SharedUse {
	private readonly windows: SharedWindows;

	constructor(
		private readonly bounds: QuotaBounds,
		startedAtMs: number,
		firstStart: Pick<FirstStart, 'isConfirmed'>,
	) {
		this.windows = new SharedWindows({windowMs: bounds.windowMs, startedAtMs, firstStart});
	}

	get isMissingProfiles(): boolean {
		return this.windows.isMissingProfiles;
	}

	/**
	 * Admits or refuses a request.
	 *
	 * @param draw A uniform random number from 0 to 1 that decides which requests are admitted when only a share is.
	 * @returns Undefined on admission.
	 */
	admit(account: Account, request: LimitedRequest, peers: QuotaPeers, draw: number, nowMs: number): QuotaRefusal | undefined {
		if (account.ratePerSecond === undefined) {
			return undefined;
		}

		const {cost, service} = request;
		const window = this.window(account.name);
		window.ownRequested.add(cost, nowMs);
		window.services.add(service, cost);
		const admittedShare = this.admittedShare(account, request, peers, nowMs);
		if (draw >= admittedShare) {
			window.own.refused += cost;
			return {waitMs: Math.ceil(window.nextExpiryMs(nowMs)), admittedShare, admittedInWindow: window.sum(nowMs)};
		}

		window.addOwn(cost, nowMs);
		return undefined;
	}

	/** Records the limits of a configuration that comes into force, so that a lowered limit counts from then on, even for an account that sends no request to this daemon for a while. */
	noteLimits(accounts: Account[], nowMs: number): void {
		for (const {name, ratePerSecond, burst} of accounts) {
			if (ratePerSecond !== undefined) {
				this.window(name).limits.note({ratePerSecond, burst}, nowMs);
			}
		}
	}

	/** Gives back the cost of a request that was certainly not run. */
	refund(account: Account, cost: number, nowMs: number): void {
		if (account.ratePerSecond !== undefined) {
			this.window(account.name).addOwn(-cost, nowMs);
		}
	}

	addPeerUse(accountName: string, use: AccountUse, nowMs: number): void {
		this.windows.addPeerUse(accountName, use, nowMs);
	}

	noteMissedReports(): void {
		this.windows.noteMissedReports();
	}

	adoptProfiles(profiles: Record<string, UseProfile>, nowMs: number): void {
		this.windows.adoptProfiles(profiles, nowMs);
	}

	adoptStoredBounds(bounds: Record<string, WindowBound>, nowMs: number): void {
		this.windows.adoptStoredBounds(bounds, nowMs);
	}

	ownTotals(): Map<string, AccountUse> {
		return this.windows.ownTotals();
	}

	profiles(nowMs: number): Record<string, UseProfile> | undefined {
		return this.windows.profiles(nowMs);
	}

	boundsToStore(reportIntervalMs: number, nowMs: number): Record<string, WindowBound> | undefined {
		const limitOf = (_: string, {limits}: AccountWindow) => limits.current && this.withGrantedSlack(limits.grantedInWindow(limits.current, nowMs));
		return this.windows.boundsToStore(limitOf, reportIntervalMs, nowMs);
	}

	exceedsBounds(bounds: Record<string, WindowBound>, nowMs: number): boolean {
		return this.windows.exceedsBounds(bounds, nowMs);
	}

	/** Returns the share of an account's requests of this kind to admit now. */
	admittedShare(account: Account, {cost, service}: LimitedRequest, peers: QuotaPeers, nowMs: number): number {
		const window = this.window(account.name);
		const hasMissingPeers = peers.isIsolated || peers.unreportedDaemons > 0;
		if (hasMissingPeers && window.ownSum(nowMs) + cost > this.equalShare(account, peers, nowMs)) {
			return 0;
		}

		const limit = {units: this.effectiveLimit(account, peers, nowMs), lastsMs: this.bounds.windowMs * lastingShare};
		return window.services.shareOf(service, peers.isIsolated ? 1 : partWithinLimit(window, cost, limit, peers, nowMs));
	}

	/** Returns the limit less the shares of silent peers, and scaled down while the window's history is unknown. */
	private effectiveLimit(account: Account, peers: QuotaPeers, nowMs: number): number {
		const heardShare = 1 - (Math.min(peers.silentDaemons, peers.daemons - 1) / Math.max(1, peers.daemons));
		const knownShare = this.windows.isHistoryKnown ? 1 : this.windows.seenShare(nowMs) / 2;
		return this.withGrantedSlack(this.granted(account, nowMs)) * heardShare * knownShare;
	}

	/**
	 * Returns this daemon's equal share of a limit. It leaves out tolerance and slack, since they
	 * cover what the others admit before they notice that this daemon is silent. A restarted
	 * daemon gets half, since it may have admitted the other half before.
	 */
	private equalShare(account: Account, {daemons, unreportedDaemons}: QuotaPeers, nowMs: number): number {
		return this.granted(account, nowMs) / (daemons + unreportedDaemons) / (this.windows.isRestarted(nowMs) ? 2 : 1);
	}

	private granted(account: Account, nowMs: number): number {
		return this.window(account.name).limits.grantedInWindow({ratePerSecond: account.ratePerSecond!, burst: account.burst}, nowMs);
	}

	/** Adds the granted part of the operators' tolerance and slack to a limit. */
	private withGrantedSlack(granted: number): number {
		const {tolerance, slack} = this.bounds;
		return (granted * (1 + (tolerance * grantedSlackShare))) + (slack * grantedSlackShare);
	}

	private window(accountName: string): AccountWindow {
		return this.windows.get(accountName);
	}
}
