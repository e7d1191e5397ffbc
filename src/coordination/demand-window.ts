/**
 * Remembers the highest demand per subject over a sliding time, so that replicas are
 * added at once when traffic rises and given up only when it has stayed low.
 */

type Sample = {atMs: number; value: number};

/** The demand of a set of subjects over one window. */
export class DemandWindow {
	private readonly samples = new Map<string, Sample[]>();

	constructor(private readonly windowMs: number) {}

	/** Notes a value at `nowMs` and returns the highest within the window. */
	highest(subject: string, value: number, nowMs: number): number {
		// Only samples that a later one does not reach can still become the highest.
		const kept = (this.samples.get(subject) ?? []).filter(sample => sample.atMs > nowMs - this.windowMs && sample.value > value);
		kept.push({atMs: nowMs, value});
		this.samples.set(subject, kept);
		return kept[0].value;
	}
}
