/** A group of daemons that this daemon knows only by the digests that other daemons, its reporters, send about it. */
import {type Digest, type Sender} from '../../protocol/fleet-messages.js';
import {readUse} from './digest-codec.js';
import {MergedCounters, type UseTotals} from './merged-counters.js';

/** Age from which the load in a message is out of date and ignored, in milliseconds: four rounds. */
export const loadExpiryMs = 1000;
/** A reporter that was heard within this time is considered to answer every round, in milliseconds: a little over two rounds. */
const answeringWithinMs = 600;
/** Time without a message after which a daemon is silent, in milliseconds. */
export const silentAfterMs = 1500;
/** Time without a message after which a daemon is considered gone, in milliseconds. */
export const goneAfterMs = 20_000;
/** How long a daemon still counts when limits are shared after it was last heard from, in milliseconds. */
export const countedForMs = 60_000;

/** Number of daemons in a part of the fleet, how many of them are silent, and how many were heard from of late. */
export type DaemonCounts = {daemons: number; silent: number; responsive: number};

/** A part of the fleet: its daemon counts, and the packed counts of its requests in flight. */
export type FleetPart = {count: () => DaemonCounts; inFlight: () => number[][]};

/** Adds up daemon counts. */
export function sumDaemonCounts(counts: DaemonCounts[]): DaemonCounts {
	const sum: DaemonCounts = {daemons: 0, silent: 0, responsive: 0};
	for (const {daemons, silent, responsive} of counts) {
		sum.daemons += daemons;
		sum.silent += silent;
		sum.responsive += responsive;
	}

	return sum;
}

/** The latest digest that one reporter sent about a group of daemons. */
type GroupReport = {digest: Digest; heardAtMs: number};

/** Combines what several reporters send about one group of daemons. */
export class ReportedGroup {
	readonly reporters = new Map<string, GroupReport>();
	private readonly counters = new MergedCounters();

	/**
	 * Records the digest of a reporter.
	 *
	 * @returns The increase of the group's merged totals, by account.
	 */
	note(sender: Sender, digest: Digest, nowMs: number): UseTotals {
		this.reporters.set(sender.name, {digest, heardAtMs: nowMs});
		for (const [name, report] of this.reporters) {
			if (nowMs - report.heardAtMs > countedForMs) {
				this.reporters.delete(name);
			}
		}

		return this.counters.note(`${sender.incarnation}/${digest.epoch}`, readUse(digest), nowMs);
	}

	/** The report that covers the most responsive daemons, among those received at most `maxAgeMs` ago. Of equal ones, a reporter that still answers is preferred, then the first by name, since it is asked most often. */
	mostComplete(maxAgeMs: number, nowMs: number): GroupReport | undefined {
		const recent = [...this.reporters].filter(([, report]) => nowMs - report.heardAtMs <= maxAgeMs);
		const answerRank = ({heardAtMs}: GroupReport) => Number(nowMs - heardAtMs <= answeringWithinMs);
		return recent.toSorted(([nameA, a], [nameB, b]) => responsiveDaemons(b.digest) - responsiveDaemons(a.digest) || answerRank(b) - answerRank(a) || (nameA < nameB ? -1 : 1)).at(0)?.[1];
	}
}

/** The part of the fleet that a report covers; all of its daemons count as silent while the reporter is silent. */
export function reportedPart({digest, heardAtMs}: GroupReport, nowMs: number): FleetPart {
	const ageMs = nowMs - heardAtMs;
	const silent = ageMs <= silentAfterMs ? digest.silent : (ageMs <= goneAfterMs ? digest.daemons : 0);
	const responsive = ageMs <= silentAfterMs ? responsiveDaemons(digest) : 0;
	return {count: () => ({daemons: digest.daemons, silent, responsive}), inFlight: () => ageMs <= loadExpiryMs ? [digest.inFlight] : []};
}

function responsiveDaemons(digest: Digest): number {
	return digest.daemons - digest.silent;
}
