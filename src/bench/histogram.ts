/**
 * Latency histograms of the bench, with `hdr-histogram-js`. Values are recorded
 * in microseconds and reported in milliseconds.
 */
import * as hdr from 'hdr-histogram-js';

/** Percentiles of one histogram, in milliseconds. */
export type Percentiles = {count: number; p50: number; p95: number; p99: number; max: number};

/** A latency histogram from 1 µs to 1 hour at 3 significant digits. */
export class LatencyHistogram {
	private readonly histogram = hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3});

	/** Records a latency in milliseconds. */
	record(ms: number): void {
		this.histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
	}

	/** The percentiles recorded so far. */
	percentiles(): Percentiles {
		const ms = (percentile: number) => this.histogram.getValueAtPercentile(percentile) / 1000;
		return {
			count: this.histogram.totalCount, p50: ms(50), p95: ms(95), p99: ms(99), max: this.histogram.maxValue / 1000,
		};
	}
}
