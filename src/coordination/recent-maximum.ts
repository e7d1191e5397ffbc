/** A value and when it was recorded. */
type Sample = {atMs: number; value: number};

/** Tracks the maximum of the values within a sliding window. */
export class RecentMaximum {
	/** The values that are higher than all later ones, in order of time. */
	private readonly samples: Sample[] = [];

	constructor(private readonly windowMs: number) {}

	/** Records a value, and returns the maximum of the window including it. */
	note(value: number, nowMs: number): number {
		while (this.samples.length > 0 && this.samples.at(-1)!.value <= value) {
			this.samples.pop();
		}

		this.samples.push({atMs: nowMs, value});
		while (nowMs - this.samples[0].atMs > this.windowMs) {
			this.samples.shift();
		}

		return this.samples[0].value;
	}
}
