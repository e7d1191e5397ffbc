/**
 * Client accounts' limits over all daemons. Every daemon keeps what was admitted to an
 * account in the window of the limit: by itself, and by the others as they say. It answers
 * an account that sends many times its usual through daemons that serve uneven shares of it.
 *
 * What peers admitted arrives late. Until it does, each is taken to admit as much as this
 * daemon, which matters only near a limit: an account at eight times its usual passed it by
 * 220,000 tokens without. Part of the slack that operators grant stays unused besides.
 * A peer that fell silent is taken to admit its equal share, since it may be cut off and
 * serving. A daemon that has just started adopts the sums of its peers; where none can be
 * heard, all may have started anew, and it grants the limit only as its own window fills.
 */
import {type Account} from '../protocol/serving.js';

/** Share of the operators' slack and tolerance that is granted; the rest covers what peers admitted and have not said yet: 0.3 s of an account at eight times its usual. */
const grantedShare = 0.4;
/** The window is counted in this many steps. */
const steps = 32;

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
	/** How long ago what peers admitted may not have been heard yet, in milliseconds. */
	unheardMs: number;
};

type Use = {step: number; cost: number};

/** What was admitted to one account in the window. */
class AccountWindow {
	/** Admitted by this daemon since its start. */
	spent = 0;
	private readonly uses: Use[] = [];
	/** What this daemon admitted of late, in the order of time. */
	private readonly own: Array<{atMs: number; cost: number}> = [];
	/** Sum that a peer knew of when this daemon started, and until when it counts. */
	private adopted = {cost: 0, untilMs: 0};

	constructor(private readonly windowMs: number) {}

	add(cost: number, nowMs: number): void {
		const step = Math.floor(nowMs / this.windowMs * steps);
		const last = this.uses.at(-1);
		if (last?.step === step) {
			last.cost += cost;
		} else {
			this.uses.push({step, cost});
		}
	}

	/** Notes what this daemon admitted. */
	noteOwn(cost: number, nowMs: number): void {
		this.spent += cost;
		this.own.push({atMs: nowMs, cost});
	}

	/** What this daemon admitted in the last `forMs`. */
	recent(forMs: number, nowMs: number): number {
		while (this.own.length > 0 && nowMs - this.own[0].atMs >= forMs) {
			this.own.shift();
		}

		let sum = 0;
		for (const {cost} of this.own) {
			sum += cost;
		}

		return sum;
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

/** What was admitted to all accounts. */
export class QuotaLedger {
	private readonly windows = new Map<string, AccountWindow>();
	/** Whether the history of the window is known: from a peer, or because the whole system has just been set up. */
	private isHistoryKnown: boolean;

	/** @param isFirstStart Whether the whole system starts for the first time, so that nothing was admitted before. */
	constructor(
		private readonly bounds: QuotaBounds,
		private readonly startedAtMs: number,
		isFirstStart: boolean,
	) {
		this.isHistoryKnown = isFirstStart;
	}

	/** Admits a request, or says in how many milliseconds it may be. */
	admit(account: Account, cost: number, peers: QuotaPeers, nowMs: number): {waitMs: number} | undefined {
		if (account.ratePerSecond === undefined) {
			return undefined;
		}

		const window = this.window(account.name);
		const unheard = window.recent(peers.unheardMs, nowMs) * (peers.daemons - 1);
		if (window.sum(nowMs) + unheard + cost > this.limit(account, peers, nowMs)) {
			return {waitMs: Math.ceil(window.untilFreeMs(nowMs))};
		}

		window.add(cost, nowMs);
		window.noteOwn(cost, nowMs);
		return undefined;
	}

	/** Gives back the cost of a request that was certainly not run. */
	refund(account: Account, cost: number, nowMs: number): void {
		if (account.ratePerSecond !== undefined) {
			const window = this.window(account.name);
			window.add(-cost, nowMs);
			window.spent -= cost;
		}
	}

	/** Takes what a peer admitted since it last said so. */
	notePeerSpent(accountName: string, cost: number, nowMs: number): void {
		if (cost !== 0) {
			this.window(accountName).add(cost, nowMs);
		}
	}

	/** Takes a peer's sums, while this daemon's own window does not reach back to its start. */
	adopt(sums: Record<string, number>, nowMs: number): void {
		if (nowMs - this.startedAtMs > this.bounds.windowMs) {
			return;
		}

		this.isHistoryKnown = true;
		for (const [account, sum] of Object.entries(sums)) {
			this.window(account).adopt(sum, nowMs);
		}
	}

	/** Everything this daemon admitted since its start, by account. */
	spent(): Record<string, number> {
		return Object.fromEntries([...this.windows].map(([name, window]) => [name, window.spent]));
	}

	/** What all daemons admitted in the window, by account, for peers that have just started; none while this daemon does not know. */
	sums(nowMs: number): Record<string, number> | undefined {
		const isComplete = this.isHistoryKnown || nowMs - this.startedAtMs > this.bounds.windowMs;
		return isComplete ? Object.fromEntries([...this.windows].map(([name, window]) => [name, window.sum(nowMs)])) : undefined;
	}

	private limit(account: Account, peers: QuotaPeers, nowMs: number): number {
		const {windowMs, tolerance, slack} = this.bounds;
		const full = (((account.ratePerSecond! * windowMs / 1000) + account.burst) * (1 + (tolerance * grantedShare))) + (slack * grantedShare);
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
