/**
 * The sums that a relay tells: over its failure domain, and over all daemons but the one
 * that asks. Dozens of daemons ask several times a second, so the sums are kept instead of
 * being made for each answer, and the asker's part is taken off: an answer costs the same in
 * a failure domain of any size.
 */
import {type Digest} from '../../protocol/fleet-messages.js';
import {packCounts, sumCounts} from './digest-sums.js';
import {addUse, subtractUse, type UseTotals} from './merged-counters.js';
import {type Headcount, type Part, sumHeadcounts} from './told-group.js';

/** Requests in flight and headcounts are summed anew after this, in milliseconds: a fifth of a round. */
const keptMs = 50;

/** Totals of what daemons and failure domains admitted and refused; they only grow. */
export class CountedUse {
	private readonly byDaemon = new Map<string, UseTotals>();
	private readonly domain: UseTotals = new Map();
	private readonly otherDomains: UseTotals = new Map();

	/** Counts what a daemon was found to have used. */
	addDaemon(name: string, isOwnDomain: boolean, growth: UseTotals): void {
		const totals = this.byDaemon.get(name) ?? new Map() as UseTotals;
		this.byDaemon.set(name, totals);
		addAll(totals, growth);
		if (isOwnDomain) {
			addAll(this.domain, growth);
		}
	}

	/** Counts what another failure domain was found to have used. */
	addDomain(growth: UseTotals): void {
		addAll(this.otherDomains, growth);
	}

	/** Totals of this failure domain, with the relay's own added. */
	domainTotals(own: UseTotals): UseTotals {
		const totals = new Map(this.domain);
		addAll(totals, own);
		return totals;
	}

	/** Totals of all daemons but one of this failure domain, with the relay's own added. */
	restTotals(own: UseTotals, receiver: string): UseTotals {
		const totals = this.domainTotals(own);
		addAll(totals, this.otherDomains);
		for (const [account, use] of this.byDaemon.get(receiver) ?? []) {
			subtractUse(totals, account, use);
		}

		return totals;
	}
}

/** What a daemon of this failure domain contributes to the sums. */
export type Contribution = Headcount & {inFlight: number[]};

/** Headcounts and requests in flight, as they were when the sums were made. */
type LoadSums = {
	atMs: number;
	byDaemon: ReadonlyMap<string, Contribution>;
	domain: Contribution;
	rest: Contribution;
};

/** What a digest says of headcounts and requests in flight. */
export type LoadDigest = Pick<Digest, 'daemons' | 'silent' | 'inFlight'>;

/** Keeps the sums of headcounts and requests in flight for a moment. */
export class KeptLoad {
	private kept: LoadSums | undefined;

	/** Sums over this failure domain, the relay itself included. */
	domain(own: Digest, sources: LoadSources, nowMs: number): LoadDigest {
		return join(own, this.sums(sources, nowMs).domain, undefined);
	}

	/** Sums over all daemons but one of this failure domain, the relay itself included. */
	rest(own: Digest, receiver: string, sources: LoadSources, nowMs: number): LoadDigest {
		const sums = this.sums(sources, nowMs);
		return join(own, sums.rest, sums.byDaemon.get(receiver));
	}

	private sums(sources: LoadSources, nowMs: number): LoadSums {
		if (!this.kept || nowMs - this.kept.atMs >= keptMs) {
			const byDaemon = sources.daemons();
			const domain = sum([...byDaemon.values()]);
			const others = sources.otherDomains().map(part => ({...part.count(), inFlight: part.inFlight().flat()}));
			this.kept = {
				atMs: nowMs, byDaemon, domain, rest: sum([domain, ...others]),
			};
		}

		return this.kept;
	}
}

/** Where the sums come from. */
export type LoadSources = {
	/** The daemons of this failure domain but the relay, by name. */
	daemons: () => ReadonlyMap<string, Contribution>;
	otherDomains: () => Part[];
};

function sum(contributions: Contribution[]): Contribution {
	return {...sumHeadcounts(contributions), inFlight: packCounts(sumCounts(contributions.map(({inFlight}) => inFlight)))};
}

/** Adds the relay's own load to sums, and takes one daemon's part off. */
function join(own: Digest, sums: Contribution, without: Contribution | undefined): LoadDigest {
	const counts = sumCounts([own.inFlight, sums.inFlight]);
	for (const [key, count] of sumCounts(without ? [without.inFlight] : [])) {
		counts.set(key, (counts.get(key) ?? 0) - count);
	}

	return {
		daemons: own.daemons + sums.daemons - (without?.daemons ?? 0),
		silent: sums.silent - (without?.silent ?? 0),
		inFlight: packCounts(new Map([...counts].filter(([, count]) => count > 0))),
	};
}

function addAll(totals: UseTotals, growth: UseTotals): void {
	for (const [account, use] of growth) {
		addUse(totals, account, use);
	}
}
