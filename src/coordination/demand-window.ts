/**
 * Tracks the highest demand for each key over a sliding window, so that replicas are added at
 * once when traffic rises and removed only after it has stayed low.
 */

type Sample = {atMs: number; value: number};

/** Tracks the maximum demand of a set of keys over a window. */
export class DemandWindow {
	private readonly samples = new Map<string, Sample[]>();

	constructor(private readonly windowMs: number) {}

	/** Records a value at `nowMs` and returns the highest one within the window. */
	highest(key: string, value: number, nowMs: number): number {
		// A sample below a later one can never be the highest again.
		const kept = (this.samples.get(key) ?? []).filter(sample => sample.atMs > nowMs - this.windowMs && sample.value > value);
		kept.push({atMs: nowMs, value});
		this.samples.set(key, kept);
		return kept[0].value;
	}
}
