/**
 * Simulates one account that sends requests of several costs through a fleet whose daemons
 * report to each other what they admitted. Arrivals, costs and the daemons that receive the
 * requests are drawn from a seed.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type Account} from '../../protocol/serving.js';
import {type AccountUse} from '../account-window.js';
import {type LimitedRequest, type QuotaBounds, QuotaLedger} from '../quota-ledger.js';

/** Time between two steps of the simulation, in milliseconds. */
const tickMs = 5;
/** Time by which the reports of one daemon follow those of the one before, in milliseconds. */
const reportOffsetMs = 35;

/** The load of an account, and the fleet that receives it. */
export type AccountLoad = {
	account: Account;
	bounds: QuotaBounds;
	daemons: number;
	/** Interval of the daemons' reports, in milliseconds. */
	reportIntervalMs: number;
	/** Delay until all daemons have a report, in milliseconds. */
	reportDelayMs: number;
	/** Its requests, which are sent equally often. */
	requests: LimitedRequest[];
	/** Returns the cost units requested a second. */
	ratePerSecond: (atMs: number) => number;
	durationMs: number;
	seed: number;
};

/** A request, and what all daemons had admitted in the window before it. */
export type PlayedRequest = {
	atMs: number;
	cost: number;
	isAdmitted: boolean;
	admittedBefore: number;
};

/** One play of a load. */
export class AccountPlay {
	readonly requests: PlayedRequest[] = [];
	private readonly generator;
	private readonly ledgers: QuotaLedger[];
	private readonly reported: AccountUse[];
	private readonly reports: Array<{atMs: number; from: QuotaLedger; use: AccountUse}> = [];
	/** Requests that were admitted within the window, and the sum of their costs. */
	private readonly inWindow: PlayedRequest[] = [];
	private admittedInWindow = 0;

	constructor(private readonly load: AccountLoad) {
		this.generator = xoroshiro128plus(load.seed);
		this.ledgers = Array.from({length: load.daemons}, () => new QuotaLedger(load.bounds, 0, {isConfirmed: true}));
		this.reported = this.ledgers.map(() => ({admitted: 0, refused: 0}));
	}

	/** The most that was admitted in any window, in cost units. */
	get mostInWindow(): number {
		return Math.max(...this.requests.map(({isAdmitted, admittedBefore, cost}) => isAdmitted ? admittedBefore + cost : 0));
	}

	run(): this {
		const {requests, ratePerSecond, durationMs} = this.load;
		let meanCost = 0;
		for (const {cost} of requests) {
			meanCost += cost / requests.length;
		}

		for (let atMs = 0; atMs < durationMs; atMs += tickMs) {
			for (let count = this.drawCount(ratePerSecond(atMs) * tickMs / 1000 / meanCost); count > 0; count--) {
				this.sendRequest(atMs);
			}

			this.exchangeReports(atMs);
		}

		return this;
	}

	private sendRequest(atMs: number): void {
		const {account, bounds, requests, daemons, reportIntervalMs, reportDelayMs} = this.load;
		while (this.inWindow.length > 0 && this.inWindow[0].atMs <= atMs - bounds.windowMs) {
			this.admittedInWindow -= this.inWindow.shift()!.cost;
		}

		const peers = {
			daemons, silentDaemons: 0, reportDelayMs: reportDelayMs + (reportIntervalMs / 2), reportIntervalMs, unreportedDaemons: 0, isIsolated: false,
		};
		const {cost, service} = requests[Math.floor(this.random() * requests.length)];
		const ledger = this.ledgers[Math.floor(this.random() * daemons)];
		const isAdmitted = ledger.admit(account, {cost, service}, peers, this.random(), atMs) === undefined;
		const request = {
			atMs, cost, isAdmitted, admittedBefore: this.admittedInWindow,
		};
		this.requests.push(request);
		if (isAdmitted) {
			this.inWindow.push(request);
			this.admittedInWindow += cost;
		}
	}

	private exchangeReports(atMs: number): void {
		const {account, reportIntervalMs, reportDelayMs} = this.load;
		for (const [index, ledger] of this.ledgers.entries()) {
			if ((atMs + (index * reportOffsetMs)) % reportIntervalMs < tickMs) {
				const use = ledger.ownTotals().get(account.name) ?? {admitted: 0, refused: 0};
				const {admitted, refused} = this.reported[index];
				this.reports.push({atMs: atMs + reportDelayMs, from: ledger, use: {admitted: use.admitted - admitted, refused: use.refused - refused}});
				this.reported[index] = use;
			}
		}

		while (this.reports.length > 0 && this.reports[0].atMs <= atMs) {
			const {from, use} = this.reports.shift()!;
			for (const other of this.ledgers) {
				if (other !== from) {
					other.addPeerUse(account.name, use, atMs);
				}
			}
		}
	}

	/** Draws the number of requests in a step from a Poisson distribution. */
	private drawCount(expected: number): number {
		const end = Math.exp(-expected);
		let count = 0;
		for (let product = this.random(); product > end; product *= this.random()) {
			count++;
		}

		return count;
	}

	private random(): number {
		return uniformFloat64(this.generator);
	}
}
