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

/** Length of a clump of requests that does not count as sustained demand, in steps, in addition to a round of reports over which the reports of it arrive. */
const clumpSteps = 2;
/** The span over which sustained demand is measured, as a factor on the clump and round that it leaves out: with 4, demand counts as sustained about a second after it began. */
const sustainedSpanFactor = 4;

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
		const shortSpanSteps = shortSpan(reportIntervalMs);
		return Math.max(this.rateOver(shortSpanSteps, nowMs), this.rateOver(Math.max(shortSpanSteps, longSpanSteps), nowMs));
	}

	/** Returns the highest rate that the latest reports give, in cost units a millisecond: it follows a rise within one round, and is less even than {@link ratePerMs}. */
	peakRatePerMs(reportIntervalMs: number, nowMs: number): number {
		return Math.max(this.rateOver(roundSteps(reportIntervalMs), nowMs), this.ratePerMs(reportIntervalMs, nowMs));
	}

	/** Returns the higher of the rates over one and two rounds of reports, in cost units a millisecond: it follows a fall sooner than {@link ratePerMs}. */
	latestRatePerMs(reportIntervalMs: number, nowMs: number): number {
		return Math.max(this.rateOver(roundSteps(reportIntervalMs), nowMs), this.rateOver(shortSpan(reportIntervalMs), nowMs));
	}

	/** Returns the rate in cost units a millisecond without the heaviest clump of the latest seconds. */
	sustainedRatePerMs(reportIntervalMs: number, nowMs: number): number {
		const leftOutSteps = Math.min(clumpSteps + roundSteps(reportIntervalMs), maxSteps / sustainedSpanFactor);
		const spanSteps = leftOutSteps * sustainedSpanFactor;
		const oldest = Math.floor(nowMs / stepMs) - spanSteps;
		let sum = 0;
		let clump = 0;
		let heaviestClump = 0;
		let clumpStart = this.counts.length - 1;
		for (let index = this.counts.length - 1; index >= 0 && this.counts[index].step > oldest; index--) {
			sum += this.counts[index].cost;
			clump += this.counts[index].cost;
			for (; this.counts[clumpStart].step >= this.counts[index].step + leftOutSteps; clumpStart--) {
				clump -= this.counts[clumpStart].cost;
			}

			heaviestClump = Math.max(heaviestClump, clump);
		}

		return (sum - heaviestClump) / ((spanSteps - leftOutSteps) * stepMs);
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

/** Returns the length of the shorter span in steps. */
function shortSpan(reportIntervalMs: number): number {
	return Math.max(1, Math.ceil(reportIntervalMs * shortSpanRounds / stepMs));
}

/** Returns the length of a round of reports in steps. */
function roundSteps(reportIntervalMs: number): number {
	return Math.max(1, Math.ceil(reportIntervalMs / stepMs));
}
