/**
 * What was admitted to one client account in the window of its limit, by this daemon and, as
 * they said, by its peers, and which share of its requests to admit now.
 */
import {sumOf} from '../sum.js';
import {CostMeter} from './cost-meter.js';
import {LimitHistory} from './limit-history.js';

/** The window is counted in this many steps. */
const steps = 32;
/** Parts of a window told to daemons that start: a sum that counted as admitted just now refused an account everything for a whole window of 8 s after all daemons were killed. */
const toldParts = 4;
/** Time for which what is left of a limit must suffice before all that is asked is admitted, as a factor on the time that news take and are apart. Less than one lets every daemon take the rest before it hears of the others; more leaves that much of the limit unused by an account that asks for more than it. */
const reserveFactor = 1.2;
/** A request that costs at most this share of what the account's requests cost on average is small. */
const smallShare = 0.1;
/** Share of a limit that only small requests may use: calls of 200 tokens beside prompts of 10,000 are a quarter of the requests and a hundredth of the cost, and refusing them saves nothing. */
const smallReserve = 0.02;
/** Weight of the newest request in the average cost. */
const costWeight = 0.02;

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

/** What was admitted to an account in the window, by equal parts of it, the oldest first. */
export type WindowParts = number[];

type Use = {step: number; cost: number};

/** What was admitted to one account in the window. */
export class AccountWindow {
	/** Admitted and refused by this daemon since its start. */
	readonly own: AccountUse = {admitted: 0, refused: 0};
	/** What peers admitted of late. */
	readonly peersAdmitted = new CostMeter();
	readonly limits: LimitHistory;
	/** What the account's requests to this daemon cost on average, and when a small one came last. */
	meanCost: number | undefined;
	smallAtMs = Number.NEGATIVE_INFINITY;
	/** What was asked of peers of late. */
	readonly peersAsked = new CostMeter();
	private readonly uses: Use[] = [];

	constructor(private readonly windowMs: number) {
		this.limits = new LimitHistory(windowMs);
	}

	/** Notes what a request costs. */
	noteCost(cost: number): void {
		this.meanCost = ((this.meanCost ?? cost) * (1 - costWeight)) + (cost * costWeight);
	}

	/** Whether the account sends small requests beside large ones. */
	hasSmall(nowMs: number): boolean {
		return nowMs - this.smallAtMs <= this.windowMs;
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

	/** Takes what a peer knows beyond this window's sum, each part as of the end of its span. */
	adopt(parts: WindowParts, nowMs: number): void {
		const total = sumOf(parts);
		const missing = total - this.sum(nowMs);
		for (const [index, cost] of missing > 0 ? parts.entries() : []) {
			const ageMs = (parts.length - 1 - index) / parts.length * this.windowMs;
			this.insert(cost * missing / total, Math.floor((nowMs - ageMs) / this.windowMs * steps));
		}
	}

	/** What was admitted in the window, by parts of it. */
	parts(nowMs: number): WindowParts {
		const parts = Array.from({length: toldParts}, () => 0);
		const newest = Math.floor(nowMs / this.windowMs * steps);
		for (const {step, cost} of this.usesAt(nowMs)) {
			const index = Math.min(toldParts - 1, Math.floor((newest - step) / steps * toldParts));
			parts[toldParts - 1 - index] += cost;
		}

		return parts;
	}

	sum(nowMs: number): number {
		return sumOf(this.usesAt(nowMs).map(({cost}) => cost));
	}

	/** Milliseconds until the oldest use leaves the window. */
	untilFreeMs(nowMs: number): number {
		const oldest = this.uses.at(0);
		return oldest ? Math.max(1, ((oldest.step + steps + 1) / steps * this.windowMs) - nowMs) : 1;
	}

	private insert(cost: number, step: number): void {
		const index = this.uses.findIndex(use => use.step > step);
		this.uses.splice(index === -1 ? this.uses.length : index, 0, {step, cost});
	}

	private usesAt(nowMs: number): Use[] {
		const oldest = Math.floor(nowMs / this.windowMs * steps) - steps;
		while (this.uses.length > 0 && this.uses[0].step < oldest) {
			this.uses.shift();
		}

		return this.uses;
	}
}

/** Share of an account's requests to admit now: 1 far from its limit, 0 where nothing is left of it. */
export function admittedShare(window: AccountWindow, cost: number, limit: number, peers: QuotaPeers, nowMs: number): number {
	const unheard = window.peersAdmitted.perMs(peers.roundMs, nowMs) * peers.unheardMs;
	const left = limit - window.sum(nowMs) - unheard;
	const isSmall = cost <= (window.meanCost ?? 0) * smallShare;
	if (isSmall) {
		window.smallAtMs = nowMs;
	}

	const reserved = !isSmall && window.hasSmall(nowMs) ? limit * smallReserve : 0;
	if (left < cost + reserved) {
		return 0;
	}

	if (isSmall) {
		return 1;
	}

	const reserve = window.peersAsked.perMs(peers.roundMs, nowMs) * (peers.unheardMs + peers.roundMs) * reserveFactor;
	return left >= reserve ? 1 : left / reserve;
}
