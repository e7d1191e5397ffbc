/** A group of daemons that this one knows by what others, its tellers, say of it. */
import {type Digest, type Sender} from '../../protocol/fleet-messages.js';
import {readUse} from './digest-sums.js';
import {MergedCounters, type UseTotals} from './merged-counters.js';

/** Age after which a message says nothing of the load any more, in milliseconds: four rounds. */
export const freshMs = 1000;
/** A teller heard within this answers every round, in milliseconds: two rounds. */
const answeringMs = 600;
/** A daemon not heard of for this long is silent, in milliseconds. */
export const silentMs = 1500;
/** A silent daemon is taken to be gone after this, in milliseconds. */
export const goneMs = 20_000;
/** A daemon counts for shares of limits this long after it was last heard, in milliseconds. */
export const countedMs = 60_000;

/** How many daemons a part of the fleet has, and how many of them are silent. */
export type Headcount = {daemons: number; silent: number};

/** A part of the fleet: its daemons, and what is in flight from it. */
export type Part = {count: () => Headcount; inFlight: () => number[][]};

/** Adds headcounts. */
export function sumHeadcounts(counts: Headcount[]): Headcount {
	const sum: Headcount = {daemons: 0, silent: 0};
	for (const {daemons, silent} of counts) {
		sum.daemons += daemons;
		sum.silent += silent;
	}

	return sum;
}

/** What one teller said of a group of daemons. */
type Told = {digest: Digest; heardAtMs: number};

/** A group of daemons that is known by the digests of its tellers. */
export class ToldGroup {
	readonly tellers = new Map<string, Told>();
	private readonly counters = new MergedCounters();

	note(sender: Sender, digest: Digest, nowMs: number): UseTotals {
		this.tellers.set(sender.name, {digest, heardAtMs: nowMs});
		for (const [name, told] of this.tellers) {
			if (nowMs - told.heardAtMs > countedMs) {
				this.tellers.delete(name);
			}
		}

		return this.counters.note(`${sender.incarnation}/${digest.epoch}`, readUse(digest), nowMs);
	}

	/** What the teller that hears most says, among those heard within a time; of equals the first by name, which is asked most often, while it answers. */
	best(withinMs: number, nowMs: number): Told | undefined {
		const recent = [...this.tellers].filter(([, told]) => nowMs - told.heardAtMs <= withinMs);
		const answers = ({heardAtMs}: Told) => Number(nowMs - heardAtMs <= answeringMs);
		return recent.toSorted(([nameA, a], [nameB, b]) => audibleIn(b.digest) - audibleIn(a.digest) || answers(b) - answers(a) || (nameA < nameB ? -1 : 1)).at(0)?.[1];
	}
}

/** A group as its teller knows it; all of it is silent while the teller is. */
export function toldPart({digest, heardAtMs}: Told, nowMs: number): Part {
	const ageMs = nowMs - heardAtMs;
	const silent = ageMs <= silentMs ? digest.silent : (ageMs <= goneMs ? digest.daemons : 0);
	return {count: () => ({daemons: digest.daemons, silent}), inFlight: () => ageMs <= freshMs ? [digest.inFlight] : []};
}

function audibleIn(digest: Digest): number {
	return digest.daemons - digest.silent;
}
