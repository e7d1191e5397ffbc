/**
 * Estimates this daemon's share of the requests that all daemons receive, by which they divide
 * what a backend server allows them together. It answers the load of a load balancer that hands
 * most new connections to one daemon: with equal shares that one would refuse what the others
 * leave unused.
 *
 * A share that rises counts only after the other daemons have heard of the rise and given up
 * theirs; one that falls counts at once. While other daemons are silent, their requests are not
 * known, and the shares are equal. Part of the whole is always divided equally, so that a
 * daemon that had no requests can serve its first ones.
 */

/** Part of the whole that is divided equally. */
const equalPart = 0.2;
/** Time in which all daemons hear of a rise, in milliseconds. */
const settlingMs = 1250;
/** Time between two samples of the share, in milliseconds. */
const sampleIntervalMs = 100;

/** Requests that daemons receive. */
export type Demand = {
	ownPerSecond: number;
	/** Requests that all other daemons receive together. */
	othersPerSecond: number;
	/** Number of daemons, including this one. */
	daemons: number;
	/** Whether all of the others report what they receive. */
	isComplete: boolean;
};

/** This daemon's share of the requests. */
export class DemandShare {
	private samples: Array<{atMs: number; share: number}> = [];

	/** @param measure Returns what the daemons receive now. */
	constructor(private readonly measure: (nowMs: number) => Demand) {}

	/** Returns the part that this daemon may use of what all daemons may use together, from 0 to 1. */
	usable(nowMs: number): number {
		const last = this.samples.at(-1);
		if (!last || nowMs - last.atMs >= sampleIntervalMs) {
			this.samples = [...this.samples.filter(({atMs}) => nowMs - atMs <= settlingMs), {atMs: nowMs, share: shareOf(this.measure(nowMs))}];
		}

		return Math.min(...this.samples.map(({share}) => share));
	}

	/** Returns how many times as many requests this daemon receives as the others on average; 1 without any requests. */
	multipleOfMean(nowMs: number): number {
		const {ownPerSecond, othersPerSecond, daemons} = this.measure(nowMs);
		const total = ownPerSecond + othersPerSecond;
		return total === 0 ? 1 : ownPerSecond / total * daemons;
	}
}

function shareOf({ownPerSecond, othersPerSecond, daemons, isComplete}: Demand): number {
	const total = ownPerSecond + othersPerSecond;
	const equal = 1 / Math.max(1, daemons);
	return total === 0 || !isComplete ? equal : (equalPart * equal) + ((1 - equalPart) * ownPerSecond / total);
}
