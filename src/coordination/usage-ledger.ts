/**
 * Counts the requests of each client account that began to run in each window of wall-clock
 * time, over all daemons. Every daemon counts its own and resends its latest counts, and relays
 * resend the sums of their failure domains, so that little is lost when a daemon dies. The
 * count of a failure domain is the higher of the sum of its daemons' reports and the sum that
 * relays reported: neither exceeds the true count.
 */
import {type WindowCounts} from '../protocol/fleet-messages.js';

/** Number of windows kept, enough for all that may still have to be reported. */
const maxWindows = 6;
/** Number of windows resent to peers: the current one and those whose counts may still change. */
const sharedWindows = 3;

/** Counts by index of the window. */
type Windows = Map<number, WindowCounts>;

/** The counts known of one failure domain. */
type DomainUsage = {
	/** Counts that daemons reported themselves, by incarnation of the daemon. */
	daemons: Map<string, Windows>;
	/** Sums that relays reported. */
	relayed: Windows;
};

/** Tracks the counts of this daemon and those reported by its peers. */
export class UsageLedger {
	private readonly domains = new Map<string, DomainUsage>();
	/** Sums that relays reported of all daemons but this one. */
	private readonly relayedOthers: Windows = new Map();

	/**
	 * @param failureDomain Failure domain of this daemon.
	 * @param incarnation Identifies this start of this daemon.
	 */
	constructor(
		private readonly failureDomain: string,
		private readonly incarnation: string,
		private readonly windowMs: number,
	) {}

	/** Returns the index of the window at a wall-clock time. */
	windowAt(wallMs: number): number {
		return Math.floor(wallMs / this.windowMs);
	}

	/** Counts a request that began to run. */
	count(account: string, wallMs: number): void {
		const counts = countsOf(this.ownWindows(), this.windowAt(wallMs));
		counts[account] = (counts[account] ?? 0) + 1;
	}

	/** Merges the counts that another daemon reported; its counts of a window only grow. */
	mergeDaemonCounts(failureDomain: string, incarnation: string, window: number, counts: WindowCounts): void {
		raiseTo(countsOf(this.daemonWindows(failureDomain, incarnation), window), counts);
	}

	/** Merges the sums that a relay reported of its failure domain. */
	mergeDomainCounts(failureDomain: string, window: number, counts: WindowCounts): void {
		raiseTo(countsOf(this.usageOf(failureDomain).relayed, window), counts);
	}

	/** Merges the sums that a relay reported of all daemons but this one. */
	mergeOtherCounts(window: number, counts: WindowCounts): void {
		raiseTo(countsOf(this.relayedOthers, window), counts);
	}

	/** Returns the sums of the latest windows over all daemons but one. */
	countsExcept(failureDomain: string, incarnation: string): Array<[number, WindowCounts]> {
		const known = [...this.domains.values()].flatMap(usage => [...usage.daemons.values(), usage.relayed]).flatMap(windows => [...windows.keys()]);
		const windows = [...new Set(known)].toSorted((a, b) => a - b).slice(-sharedWindows);
		return windows.map(window => {
			const total = this.domainsTotal(window);
			subtractCounts(total, this.usageOf(failureDomain).daemons.get(incarnation)?.get(window) ?? {});
			return [window, total];
		});
	}

	/** Returns this daemon's counts of its latest windows. */
	ownCounts(): Array<[number, WindowCounts]> {
		return latestWindows(this.ownWindows());
	}

	/** Returns the sums of a failure domain's latest windows. */
	domainCounts(failureDomain: string): Array<[number, WindowCounts]> {
		const usage = this.usageOf(failureDomain);
		const windows = new Set([...usage.daemons.values(), usage.relayed].flatMap(counts => [...counts.keys()]));
		return latestWindows(new Map([...windows].toSorted((a, b) => a - b).map(window => [window, domainTotal(usage, window)])));
	}

	/** Returns the sums of a window over all daemons; undefined when no daemon counted a request. */
	total(window: number): WindowCounts | undefined {
		const total = this.domainsTotal(window);
		// A daemon that is not a relay gets the counts of most daemons only through the relays.
		const relayed = {...this.ownWindows().get(window)};
		addCounts(relayed, this.relayedOthers.get(window) ?? {});
		raiseTo(total, relayed);
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
			dropExpired(daemons);
			daemons.set(incarnation, windows);
		}

		return windows;
	}

	private usageOf(failureDomain: string): DomainUsage {
		let usage = this.domains.get(failureDomain);
		if (!usage) {
			usage = {daemons: new Map(), relayed: new Map()};
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

	raiseTo(total, usage.relayed.get(window) ?? {});
	return total;
}

function countsOf(windows: Windows, window: number): WindowCounts {
	let counts = windows.get(window);
	if (!counts) {
		counts = {};
		windows.set(window, counts);
		for (const old of windows.keys()) {
			if (old <= window - maxWindows) {
				windows.delete(old);
			}
		}
	}

	return counts;
}

/** Drops incarnations of daemons whose counts are too old to be reported. */
function dropExpired(daemons: Map<string, Windows>): void {
	const newest = Math.max(...[...daemons.values()].flatMap(windows => [...windows.keys()]));
	for (const [incarnation, windows] of daemons) {
		if ([...windows.keys()].every(window => window <= newest - maxWindows)) {
			daemons.delete(incarnation);
		}
	}
}

function latestWindows(windows: Windows): Array<[number, WindowCounts]> {
	return [...windows].slice(-sharedWindows);
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

/** Raises known counts to reported ones where these are higher. */
function raiseTo(known: WindowCounts, counts: WindowCounts): void {
	for (const [account, count] of Object.entries(counts)) {
		known[account] = Math.max(known[account] ?? 0, count);
	}
}
