/**
 * Computes the sums that a relay reports: over its failure domain, and over all daemons except
 * the receiver of an answer. Dozens of daemons ask several times a second, so the sums are
 * cached and the receiver's part is subtracted from them: the cost of an answer does not depend
 * on the size of the failure domain.
 */
import {type Digest} from '../../protocol/fleet-messages.js';
import {packCounts, sumPackedCounts} from './digest-codec.js';
import {addUse, subtractUse, type UseTotals} from './merged-counters.js';
import {type DaemonCounts, type FleetPart, sumDaemonCounts} from './reported-group.js';

/** Age at which the sums of requests in flight and daemon counts are recomputed, in milliseconds: a fifth of a round. */
const cacheMs = 50;

/** Running totals of what daemons and failure domains admitted and refused. */
export class UsageSums {
	private readonly byDaemon = new Map<string, UseTotals>();
	private readonly domain: UseTotals = new Map();
	private readonly otherDomains: UseTotals = new Map();

	/** Adds an increase in a daemon's totals. */
	addDaemon(name: string, isOwnDomain: boolean, growth: UseTotals): void {
		const totals = this.byDaemon.get(name) ?? new Map() as UseTotals;
		this.byDaemon.set(name, totals);
		addTotals(totals, growth);
		if (isOwnDomain) {
			addTotals(this.domain, growth);
		}
	}

	/** Adds an increase in the totals of another failure domain. */
	addDomain(growth: UseTotals): void {
		addTotals(this.otherDomains, growth);
	}

	/** Returns the totals of this failure domain, including the relay's own. */
	domainTotals(own: UseTotals): UseTotals {
		const totals = new Map(this.domain);
		addTotals(totals, own);
		return totals;
	}

	/** Returns the totals of all daemons except the receiver, a daemon of this failure domain; the relay's own are included. */
	restTotals(own: UseTotals, receiver: string): UseTotals {
		const totals = this.domainTotals(own);
		addTotals(totals, this.otherDomains);
		for (const [account, use] of this.byDaemon.get(receiver) ?? []) {
			subtractUse(totals, account, use);
		}

		return totals;
	}
}

/** What one or more daemons contribute to the sums. */
export type DaemonLoad = DaemonCounts & {inFlight: number[]};

/** Daemon counts and requests in flight at the time of the summation. */
type LoadSums = {
	atMs: number;
	byDaemon: ReadonlyMap<string, DaemonLoad>;
	domain: DaemonLoad;
	rest: DaemonLoad;
};

/** The daemon counts and requests in flight of a digest. */
export type LoadDigest = Pick<Digest, 'daemons' | 'silent' | 'inFlight'>;

/** Caches the sums of daemon counts and requests in flight for {@link cacheMs}. */
export class LoadCache {
	private cached: LoadSums | undefined;

	/** Returns the sums over this failure domain, including the relay itself. */
	domain(own: Digest, sources: LoadSources, nowMs: number): LoadDigest {
		return combineLoads(own, this.sums(sources, nowMs).domain, undefined);
	}

	/** Returns the sums over all daemons except the receiver, a daemon of this failure domain; the relay itself is included. */
	rest(own: Digest, receiver: string, sources: LoadSources, nowMs: number): LoadDigest {
		const sums = this.sums(sources, nowMs);
		return combineLoads(own, sums.rest, sums.byDaemon.get(receiver));
	}

	private sums(sources: LoadSources, nowMs: number): LoadSums {
		if (!this.cached || nowMs - this.cached.atMs >= cacheMs) {
			const byDaemon = sources.daemons();
			const domain = sumLoads([...byDaemon.values()]);
			const others = sources.otherDomains().map(part => ({...part.count(), inFlight: part.inFlight().flat()}));
			this.cached = {
				atMs: nowMs, byDaemon, domain, rest: sumLoads([domain, ...others]),
			};
		}

		return this.cached;
	}
}

/** The inputs of the sums. */
export type LoadSources = {
	/** The daemons of this failure domain except the relay, by name. */
	daemons: () => ReadonlyMap<string, DaemonLoad>;
	otherDomains: () => FleetPart[];
};

function sumLoads(contributions: DaemonLoad[]): DaemonLoad {
	return {...sumDaemonCounts(contributions), inFlight: packCounts(sumPackedCounts(contributions.map(({inFlight}) => inFlight)))};
}

/** Adds the relay's own load to sums, and subtracts the part of one daemon. */
function combineLoads(own: Digest, sums: DaemonLoad, excluded: DaemonLoad | undefined): LoadDigest {
	const counts = sumPackedCounts([own.inFlight, sums.inFlight]);
	for (const [key, count] of sumPackedCounts(excluded ? [excluded.inFlight] : [])) {
		counts.set(key, (counts.get(key) ?? 0) - count);
	}

	return {
		daemons: own.daemons + sums.daemons - (excluded?.daemons ?? 0),
		silent: sums.silent - (excluded?.silent ?? 0),
		inFlight: packCounts(new Map([...counts].filter(([, count]) => count > 0))),
	};
}

function addTotals(totals: UseTotals, growth: UseTotals): void {
	for (const [account, use] of growth) {
		addUse(totals, account, use);
	}
}
