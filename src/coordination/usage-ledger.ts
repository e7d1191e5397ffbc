/**
 * How many requests of each client account began to run in each window of true time, over
 * all daemons. Every daemon counts its own and repeats its latest counts, and relays repeat
 * the sums of their failure domains, so that little is lost with one that dies. A failure
 * domain's count is the higher of what its daemons said themselves and what relays said of
 * it: both are at most the truth.
 */
import {type WindowCounts} from '../protocol/fleet-messages.js';

/** Windows kept: those that may still have to be reported. */
const keptWindows = 6;
/** Windows repeated to others: the current one and those that may still be counted. */
const toldWindows = 3;

/** Counts by window. */
type Windows = Map<number, WindowCounts>;

/** What is known of one failure domain. */
type DomainUsage = {
	/** By start of a daemon. */
	daemons: Map<string, Windows>;
	/** As relays said. */
	told: Windows;
};

/** The counts of this daemon and those heard from others. */
export class UsageLedger {
	private readonly domains = new Map<string, DomainUsage>();
	/** What relays said of all daemons but this one. */
	private readonly rest: Windows = new Map();

	/**
	 * @param failureDomain This daemon's.
	 * @param incarnation This start of this daemon.
	 */
	constructor(
		private readonly failureDomain: string,
		private readonly incarnation: string,
		private readonly windowMs: number,
	) {}

	windowAt(wallMs: number): number {
		return Math.floor(wallMs / this.windowMs);
	}

	/** Counts a request that began to run. */
	count(account: string, wallMs: number): void {
		const counts = countsOf(this.ownWindows(), this.windowAt(wallMs));
		counts[account] = (counts[account] ?? 0) + 1;
	}

	/** Takes what another daemon counted; its counts of a window only grow. */
	note(failureDomain: string, incarnation: string, window: number, counts: WindowCounts): void {
		raise(countsOf(this.daemonWindows(failureDomain, incarnation), window), counts);
	}

	/** Takes what a relay said of its failure domain. */
	noteDomain(failureDomain: string, window: number, counts: WindowCounts): void {
		raise(countsOf(this.usageOf(failureDomain).told, window), counts);
	}

	/** Takes what a relay said of all daemons but this one. */
	noteRest(window: number, counts: WindowCounts): void {
		raise(countsOf(this.rest, window), counts);
	}

	/** The counts of the latest windows of all daemons but one. */
	restOf(failureDomain: string, incarnation: string): Array<[number, WindowCounts]> {
		const known = [...this.domains.values()].flatMap(usage => [...usage.daemons.values(), usage.told]).flatMap(windows => [...windows.keys()]);
		const windows = [...new Set(known)].toSorted((a, b) => a - b).slice(-toldWindows);
		return windows.map(window => {
			const total = this.domainsTotal(window);
			subtractCounts(total, this.usageOf(failureDomain).daemons.get(incarnation)?.get(window) ?? {});
			return [window, total];
		});
	}

	/** This daemon's counts of its latest windows. */
	own(): Array<[number, WindowCounts]> {
		return latest(this.ownWindows());
	}

	/** The counts of a failure domain's latest windows. */
	domain(failureDomain: string): Array<[number, WindowCounts]> {
		const usage = this.usageOf(failureDomain);
		const windows = new Set([...usage.daemons.values(), usage.told].flatMap(counts => [...counts.keys()]));
		return latest(new Map([...windows].toSorted((a, b) => a - b).map(window => [window, domainTotal(usage, window)])));
	}

	/** The counts of a window over all daemons; undefined when none counted anything. */
	total(window: number): WindowCounts | undefined {
		const total = this.domainsTotal(window);
		// One that is no relay hears of most daemons only through the relays.
		const told = {...this.ownWindows().get(window)};
		addCounts(told, this.rest.get(window) ?? {});
		raise(total, told);
		return Object.keys(total).length === 0 ? undefined : total;
	}

	private domainsTotal(window: number): WindowCounts {
		const total: WindowCounts = {};
		for (const usage of this.domains.values()) {
			addCounts(total, domainTotal(usage, window));
		}

		return total;
	}

	private ownWindows(): Windows {
		return this.daemonWindows(this.failureDomain, this.incarnation);
	}

	private daemonWindows(failureDomain: string, incarnation: string): Windows {
		const {daemons} = this.usageOf(failureDomain);
		let windows = daemons.get(incarnation);
		if (!windows) {
			windows = new Map();
			forgetEmpty(daemons);
			daemons.set(incarnation, windows);
		}

		return windows;
	}

	private usageOf(failureDomain: string): DomainUsage {
		let usage = this.domains.get(failureDomain);
		if (!usage) {
			usage = {daemons: new Map(), told: new Map()};
			this.domains.set(failureDomain, usage);
		}

		return usage;
	}
}

function domainTotal(usage: DomainUsage, window: number): WindowCounts {
	const total: WindowCounts = {};
	for (const windows of usage.daemons.values()) {
		addCounts(total, windows.get(window) ?? {});
	}

	raise(total, usage.told.get(window) ?? {});
	return total;
}

function countsOf(windows: Windows, window: number): WindowCounts {
	let counts = windows.get(window);
	if (!counts) {
		counts = {};
		windows.set(window, counts);
		for (const old of windows.keys()) {
			if (old <= window - keptWindows) {
				windows.delete(old);
			}
		}
	}

	return counts;
}

/** Forgets starts of daemons whose counts are too old to be reported. */
function forgetEmpty(daemons: Map<string, Windows>): void {
	const newest = Math.max(...[...daemons.values()].flatMap(windows => [...windows.keys()]));
	for (const [incarnation, windows] of daemons) {
		if ([...windows.keys()].every(window => window <= newest - keptWindows)) {
			daemons.delete(incarnation);
		}
	}
}

function latest(windows: Windows): Array<[number, WindowCounts]> {
	return [...windows].slice(-toldWindows);
}

function addCounts(total: WindowCounts, counts: WindowCounts): void {
	for (const [account, count] of Object.entries(counts)) {
		total[account] = (total[account] ?? 0) + count;
	}
}

function subtractCounts(total: WindowCounts, counts: WindowCounts): void {
	for (const [account, count] of Object.entries(counts)) {
		total[account] = (total[account] ?? 0) - count;
	}
}

/** Raises counts to others where these are higher. */
function raise(known: WindowCounts, counts: WindowCounts): void {
	for (const [account, count] of Object.entries(counts)) {
		known[account] = Math.max(known[account] ?? 0, count);
	}
}
