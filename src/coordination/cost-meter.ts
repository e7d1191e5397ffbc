/**
 * Measures the rate at which cost units arrive. For bursts, the rate follows a rise within
 * two rounds of reports, and falls only as the longer span passes.
 */

/** Length of a step, in milliseconds: half of the shortest round of reports. */
const stepMs = 125;
/** The longer span, in steps: a second, which evens out reports that arrive once a round. */
const longSpanSteps = 8;
/** The shorter span, in rounds of reports. */
const shortSpanRounds = 2;
/** Steps kept, enough for two rounds of four seconds. */
const maxSteps = 64;

/** The cost units that arrived in one step. */
type Step = {step: number; cost: number};

/** Counts the cost units that arrived recently. */
export class CostMeter {
	private readonly counts: Step[] = [];

	/** Adds cost units that arrive at `nowMs`. */
	add(cost: number, nowMs: number): void {
		const step = Math.floor(nowMs / stepMs);
		const last = this.counts.at(-1);
		if (last?.step === step) {
			last.cost += cost;
			return;
		}

		this.counts.push({step, cost});
		while (this.counts[0].step <= step - maxSteps) {
			this.counts.shift();
		}
	}

	/** Returns the rate in cost units a millisecond: the higher of the rates over two rounds of reports and over a second or two rounds, whichever is longer. */
	ratePerMs(reportIntervalMs: number, nowMs: number): number {
		const shortSpanSteps = Math.max(1, Math.ceil(reportIntervalMs * shortSpanRounds / stepMs));
		return Math.max(this.rateOver(shortSpanSteps, nowMs), this.rateOver(Math.max(shortSpanSteps, longSpanSteps), nowMs));
	}

	private rateOver(spanSteps: number, nowMs: number): number {
		const newest = Math.floor(nowMs / stepMs);
		let sum = 0;
		for (let index = this.counts.length - 1; index >= 0 && this.counts[index].step > newest - spanSteps; index--) {
			sum += this.counts[index].cost;
		}

		return sum / (spanSteps * stepMs);
	}
}
