/**
 * The latency histograms of the bench. Values are stored in microseconds and reported in
 * milliseconds.
 */
import * as hdr from 'hdr-histogram-js';

/** The number of values in a histogram, and its percentiles in milliseconds. */
export type Percentiles = {count: number; p50: number; p95: number; p99: number; max: number};

/** A latency histogram with a range from 1 µs to 1 hour and 3 significant digits. */
export class LatencyHistogram {
	private readonly histogram = hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3});

	/** Records a latency in milliseconds. */
	record(ms: number): void {
		this.histogram.recordValue(Math.max(1, Math.round(ms * 1000)));
	}

	/** Returns the percentiles of the latencies recorded so far. */
	readPercentiles(): Percentiles {
		const percentileMs = (percentile: number) => this.histogram.getValueAtPercentile(percentile) / 1000;
		return {
			count: this.histogram.totalCount, p50: percentileMs(50), p95: percentileMs(95), p99: percentileMs(99), max: this.histogram.maxValue / 1000,
		};
	}
}
