/**
 * Client accounts' limits over all daemons. Every daemon keeps what was admitted to an
 * account in the window of the limit: by itself, and by the others as they say. It answers
 * an account that sends many times its usual through daemons that serve uneven shares of it.
 *
 * What peers admitted arrives late. Until it does, they are taken to go on at the rate that
 * was heard of them. When less is left of a limit than is asked for until news come, all
 * daemons admit the same share of what they are asked, so that together they do not take
 * what is left many times over: in simulated plays over 86 daemons, an account that asks for
 * four to eight times its limit stays within its bound, and passes it without; one within
 * its limit is refused less than one request in a hundred.
 * A peer that fell silent is taken to admit its equal share, since it may be cut off and
 * serving. A daemon that hears few of the others keeps to that share itself, in a large fleet
 * for a window after: what was admitted while no relay answered is told by nobody.
 *
 * A daemon that has just started adopts what its peers know of the window, or what the store
 * does: the latter with what may have been admitted after it was written, since all daemons
 * may have been killed at once. Peers that it knows of and has not heard yet are taken to be
 * asked as much as it is: otherwise each of many daemons that start together would admit all
 * that is left. Where nothing is known, it grants the limit only as its own window fills.
 */
import {type Account} from '../protocol/serving.js';
import {
	type AccountUse, AccountWindow, profileParts, sumOfProfile, type UseProfile,
} from './account-window.js';

/** Share of the operators' slack and tolerance that is granted; the rest covers the error of what peers are taken to admit. */
const grantedShare = 0.4;
/** Time for which what is left of a limit must suffice before all that is asked is admitted, as a factor on the time that news take and are apart. Less than one lets every daemon take the rest before it hears of the others; more leaves that much of the limit unused by an account that asks for more than it. */
const reserveFactor = 1.2;
/** Time for which a written bound is meant to last, in milliseconds: until the next one is written and can be read, with the time that news take to the writer. */
const aheadMs = 2500;
/** Factor on what an account is expected to ask for in that time, since it may ask for more than just now. */
const aheadFactor = 1.5;

/** How the operators bound an account's use. */
export type QuotaBounds = {
	windowMs: number;
	/** Share of the limit by which a window may pass it. */
	tolerance: number;
	/** Cost units by which a window may pass it. */
	slack: number;
};

/** Cost of a request for an account. */
export function requestCost(account: Account, promptTokens: number | undefined, maxOutputTokens: number | undefined): number {
	if (!account.countsTokens) {
		return 1;
	}

	return promptTokens === undefined ? account.plainTokens : promptTokens + (maxOutputTokens ?? 0);
}

/** What is known of the other daemons when a request is admitted. */
export type QuotaPeers = {
	daemons: number;
	silent: number;
	/** How long news of what peers admitted take to come, in milliseconds. */
	unheardMs: number;
	/** Time between news, in milliseconds. */
	roundMs: number;
	/** Daemons that may have started with this one and were not heard yet. */
	unheardOf: number;
	/** Whether this daemon does not know what most of the others admitted in the window. */
	isAlone: boolean;
};

/** What all daemons admitted to an account in the window, and what they may admit beyond it until that is said anew, in cost units. */
export type WindowBound = {uses: UseProfile; ahead: number};

/** Share of an account's requests to admit by what is known of the window: 1 far from its limit, 0 where nothing is left of it. */
function shareOf(window: AccountWindow, cost: number, limit: number, peers: QuotaPeers, nowMs: number): number {
	const unheard = (window.peersAdmitted.perMs(peers.roundMs, nowMs) * peers.unheardMs) + (window.own.admitted * peers.unheardOf);
	const left = limit - window.sum(nowMs) - unheard;
	if (left < cost) {
		return 0;
	}

	const askedPerMs = window.peersAsked.perMs(peers.roundMs, nowMs) + (window.ownAsked.perMs(peers.roundMs, nowMs) * peers.unheardOf);
	const reserve = askedPerMs * (peers.unheardMs + peers.roundMs) * reserveFactor;
	return left >= reserve ? 1 : left / reserve;
}

/** What was admitted to all accounts. */
export class QuotaLedger {
	private readonly windows = new Map<string, AccountWindow>();
	/** Whether the history of the window is known: from a peer, or because the whole system has just been set up. */
	private isHistoryKnown: boolean;
	/** Whether the next sums of a peer are taken over. */
	private needsSums: boolean;

	/** @param isFirstStart Whether the whole system starts for the first time, so that nothing was admitted before. */
	constructor(
		private readonly bounds: QuotaBounds,
		private readonly startedAtMs: number,
		private readonly isFirstStart: boolean,
	) {
		this.isHistoryKnown = isFirstStart;
		this.needsSums = !isFirstStart;
	}

	/**
	 * Admits a request, or says in how many milliseconds it may be.
	 *
	 * @param draw Drawn evenly from 0 to 1, decides which requests are admitted when not all are.
	 */
	admit(account: Account, cost: number, peers: QuotaPeers, draw: number, nowMs: number): {waitMs: number} | undefined {
		if (account.ratePerSecond === undefined) {
			return undefined;
		}

		const window = this.window(account.name);
		window.ownAsked.add(cost, nowMs);
		if (draw >= this.admittedShare(account, cost, peers, nowMs)) {
			window.own.refused += cost;
			return {waitMs: Math.ceil(window.untilFreeMs(nowMs))};
		}

		window.addOwn(cost, nowMs);
		return undefined;
	}

	/** Notes the limits of a configuration as it comes into force, so that a lowered one counts from then on, also for an account that asks for nothing here for a while. */
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

	/** Takes what peers admitted and refused since they last said so. */
	notePeers(accountName: string, use: AccountUse, nowMs: number): void {
		if (use.admitted === 0 && use.refused === 0) {
			return;
		}

		const window = this.window(accountName);
		window.add(use.admitted, nowMs);
		window.peersAdmitted.add(use.admitted, nowMs);
		window.peersAsked.add(use.admitted + use.refused, nowMs);
	}

	/** Notes that peers may have admitted what this daemon will never hear of; the next sums of one that knows make up for it. */
	doubtHistory(): void {
		this.needsSums = true;
	}

	/** Whether the sums of a peer are still to be taken over. */
	get lacksSums(): boolean {
		return this.needsSums;
	}

	/** Takes over what a peer knows of the window, once after a start or a doubt: what is admitted later the peers say themselves. */
	adopt(profiles: Record<string, UseProfile>, nowMs: number): void {
		if (!this.needsSums) {
			return;
		}

		this.needsSums = false;
		this.isHistoryKnown = true;
		for (const account of new Set([...this.windows.keys(), ...Object.keys(profiles)])) {
			this.window(account).adopt(profiles[account] ?? [], nowMs);
		}
	}

	/** Takes over what was written before this daemon started, as if it had been written just now: nobody can say for how long all daemons were away. A peer's word takes its place. */
	adoptWritten(bounds: Record<string, WindowBound>, nowMs: number): void {
		if (!this.needsSums || this.isHistoryKnown) {
			return;
		}

		this.isHistoryKnown = true;
		for (const [account, {uses, ahead}] of Object.entries(bounds)) {
			const [newest = 0, ...older] = uses;
			this.window(account).guess([newest + ahead, ...older], nowMs);
		}
	}

	/** Everything this daemon admitted and refused since its start, by account. */
	own(): Map<string, AccountUse> {
		return new Map([...this.windows].map(([name, window]) => [name, {...window.own}]));
	}

	/** What all daemons admitted in the window, by account, for peers that have just started; none while this daemon does not know. */
	profiles(nowMs: number): Record<string, UseProfile> | undefined {
		return this.isCompleteAt(nowMs) ? Object.fromEntries([...this.windows].map(([name, window]) => [name, window.profile(nowMs).map(cost => Math.round(cost))])) : undefined;
	}

	/** What all daemons admitted in the window and may admit until this is said anew, for daemons that start after all were lost; none while this daemon does not know. */
	writtenBounds(roundMs: number, nowMs: number): Record<string, WindowBound> | undefined {
		const profiles = this.profiles(nowMs);
		return profiles && Object.fromEntries(Object.entries(profiles).map(([name, uses]) => [name, {uses, ahead: this.aheadOf(name, uses, roundMs, nowMs)}]));
	}

	/** Whether more was admitted to an account than a bound says, so that a daemon that went by it would grant too much. */
	passes(bounds: Record<string, WindowBound>, nowMs: number): boolean {
		return [...this.windows].some(([name, window]) => {
			const bound = bounds[name];
			return window.sum(nowMs) > (bound ? sumOfProfile(bound.uses) + bound.ahead : 0);
		});
	}

	private isCompleteAt(nowMs: number): boolean {
		return this.isHistoryKnown || nowMs - this.startedAtMs > this.bounds.windowMs;
	}

	/** Cost units that an account may be admitted while a written bound is to last: what it is expected to ask for, as far as its limit allows. */
	private aheadOf(accountName: string, uses: UseProfile, roundMs: number, nowMs: number): number {
		const window = this.window(accountName);
		const {latest} = window.limits;
		const expected = (window.peersAsked.perMs(roundMs, nowMs) + window.ownAsked.perMs(roundMs, nowMs)) * aheadMs * aheadFactor;
		if (!latest) {
			return Math.round(expected);
		}

		const stays = sumOfProfile(uses.slice(0, Math.floor(profileParts * (1 - (aheadMs / this.bounds.windowMs)))));
		return Math.round(Math.max(0, Math.min(expected, this.full(window.limits.granted(latest, nowMs)) - stays)));
	}

	/** Share of an account's requests to admit now. */
	private admittedShare(account: Account, cost: number, peers: QuotaPeers, nowMs: number): number {
		const window = this.window(account.name);
		const isUninformed = peers.isAlone || peers.unheardOf > 0;
		if (isUninformed && window.ownSum(nowMs) + cost > this.equalShare(account, peers, nowMs)) {
			return 0;
		}

		return peers.isAlone ? 1 : shareOf(window, cost, this.limit(account, peers, nowMs), peers, nowMs);
	}

	private limit(account: Account, peers: QuotaPeers, nowMs: number): number {
		const {windowMs} = this.bounds;
		const heard = 1 - (Math.min(peers.silent, peers.daemons - 1) / Math.max(1, peers.daemons));
		const known = this.isHistoryKnown ? 1 : Math.min(1, (nowMs - this.startedAtMs) / windowMs) / 2;
		return this.full(this.granted(account, nowMs)) * heard * known;
	}

	/**
	 * This daemon's equal share of a limit. Tolerance and slack are left out, since they cover
	 * what the others admit before they notice that this one is silent; one that restarted
	 * gets half, since it may have admitted the rest before.
	 */
	private equalShare(account: Account, {daemons, unheardOf}: QuotaPeers, nowMs: number): number {
		const hasRestarted = !this.isFirstStart && nowMs - this.startedAtMs < this.bounds.windowMs;
		return this.granted(account, nowMs) / (daemons + unheardOf) / (hasRestarted ? 2 : 1);
	}

	private granted(account: Account, nowMs: number): number {
		return this.window(account.name).limits.granted({ratePerSecond: account.ratePerSecond!, burst: account.burst}, nowMs);
	}

	/** A limit with the part of the operators' tolerance and slack that is granted. */
	private full(granted: number): number {
		const {tolerance, slack} = this.bounds;
		return (granted * (1 + (tolerance * grantedShare))) + (slack * grantedShare);
	}

	private window(accountName: string): AccountWindow {
		let window = this.windows.get(accountName);
		if (!window) {
			window = new AccountWindow(this.bounds.windowMs);
			this.windows.set(accountName, window);
		}

		return window;
	}
}
