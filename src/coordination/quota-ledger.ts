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
 * serving. A daemon that has just started adopts the sums of its peers; where none can be
 * heard, all may have started anew, and it grants the limit only as its own window fills.
 */
import {type Account} from '../protocol/serving.js';
import {CostMeter} from './cost-meter.js';
import {LimitHistory} from './limit-history.js';

/** Share of the operators' slack and tolerance that is granted; the rest covers the error of what peers are taken to admit. */
const grantedShare = 0.4;
/** The window is counted in this many steps. */
const steps = 32;
/** Time for which what is left of a limit must suffice before all that is asked is admitted, as a factor on the time that news take and are apart. Less than one lets every daemon take the rest before it hears of the others; more leaves that much of the limit unused by an account that asks for more than it. */
const reserveFactor = 1.2;

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
};

/** What an account was admitted and refused, in cost units. */
export type AccountUse = {admitted: number; refused: number};

type Use = {step: number; cost: number};

/** What was admitted to one account in the window. */
class AccountWindow {
	/** Admitted and refused by this daemon since its start. */
	readonly own: AccountUse = {admitted: 0, refused: 0};
	/** What peers admitted of late. */
	readonly peersAdmitted = new CostMeter();
	readonly limits: LimitHistory;
	/** What was asked of peers of late. */
	readonly peersAsked = new CostMeter();
	private readonly uses: Use[] = [];
	/** Sum that a peer knew of when this daemon started, and until when it counts. */
	private adopted = {cost: 0, untilMs: 0};

	constructor(private readonly windowMs: number) {
		this.limits = new LimitHistory(windowMs);
	}

	add(cost: number, nowMs: number): void {
		const step = Math.floor(nowMs / this.windowMs * steps);
		const last = this.uses.at(-1);
		if (last?.step === step) {
			last.cost += cost;
		} else {
			this.uses.push({step, cost});
		}
	}

	adopt(cost: number, nowMs: number): void {
		if (cost > this.sum(nowMs)) {
			this.adopted = {cost: cost - this.sumOfUses(nowMs), untilMs: nowMs + this.windowMs};
		}
	}

	sum(nowMs: number): number {
		return this.sumOfUses(nowMs) + (nowMs < this.adopted.untilMs ? this.adopted.cost : 0);
	}

	/** Milliseconds until the oldest use leaves the window. */
	untilFreeMs(nowMs: number): number {
		const oldest = this.uses.at(0);
		return oldest ? Math.max(1, ((oldest.step + steps + 1) / steps * this.windowMs) - nowMs) : this.adopted.untilMs - nowMs;
	}

	private sumOfUses(nowMs: number): number {
		const oldest = Math.floor(nowMs / this.windowMs * steps) - steps;
		while (this.uses.length > 0 && this.uses[0].step < oldest) {
			this.uses.shift();
		}

		let sum = 0;
		for (const use of this.uses) {
			sum += use.cost;
		}

		return sum;
	}
}

/** Share of an account's requests to admit now: 1 far from its limit, 0 where nothing is left of it. */
function admittedShare(window: AccountWindow, cost: number, limit: number, peers: QuotaPeers, nowMs: number): number {
	const unheard = window.peersAdmitted.perMs(peers.roundMs, nowMs) * peers.unheardMs;
	const left = limit - window.sum(nowMs) - unheard;
	if (left < cost) {
		return 0;
	}

	const reserve = window.peersAsked.perMs(peers.roundMs, nowMs) * (peers.unheardMs + peers.roundMs) * reserveFactor;
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
		isFirstStart: boolean,
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
		const share = admittedShare(window, cost, this.limit(account, peers, nowMs), peers, nowMs);
		if (draw >= share) {
			window.own.refused += cost;
			return {waitMs: Math.ceil(window.untilFreeMs(nowMs))};
		}

		window.add(cost, nowMs);
		window.own.admitted += cost;
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
			const window = this.window(account.name);
			window.add(-cost, nowMs);
			window.own.admitted -= cost;
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

	/** Takes a peer's sums, once after a start or a doubt: what is admitted later the peers say themselves. */
	adopt(sums: Record<string, number>, nowMs: number): void {
		if (!this.needsSums) {
			return;
		}

		this.needsSums = false;
		this.isHistoryKnown = true;
		for (const [account, sum] of Object.entries(sums)) {
			this.window(account).adopt(sum, nowMs);
		}
	}

	/** Everything this daemon admitted and refused since its start, by account. */
	own(): Map<string, AccountUse> {
		return new Map([...this.windows].map(([name, window]) => [name, {...window.own}]));
	}

	/** What all daemons admitted in the window, by account, for peers that have just started; none while this daemon does not know. */
	sums(nowMs: number): Record<string, number> | undefined {
		const isComplete = this.isHistoryKnown || nowMs - this.startedAtMs > this.bounds.windowMs;
		return isComplete ? Object.fromEntries([...this.windows].map(([name, window]) => [name, window.sum(nowMs)])) : undefined;
	}

	private limit(account: Account, peers: QuotaPeers, nowMs: number): number {
		const {windowMs, tolerance, slack} = this.bounds;
		const granted = this.window(account.name).limits.granted({ratePerSecond: account.ratePerSecond!, burst: account.burst}, nowMs);
		const full = (granted * (1 + (tolerance * grantedShare))) + (slack * grantedShare);
		const heard = 1 - Math.min(0.9, peers.silent / Math.max(1, peers.daemons));
		const known = this.isHistoryKnown ? 1 : Math.min(1, (nowMs - this.startedAtMs) / windowMs) / 2;
		return full * heard * known;
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
