/** A mean that follows recent values. */

/** Weight that a value keeps with each later one: the mean is that of some fifty values. */
const retainedWeight = 0.98;

/** The mean of recent values, weighted towards the latest. */
export class RunningMean {
	private sum = 0;
	private weight = 0;

	add(value: number): void {
		this.sum = (this.sum * retainedWeight) + value;
		this.weight = (this.weight * retainedWeight) + 1;
	}

	/** The mean; 0 before the first value. */
	get value(): number {
		return this.weight === 0 ? 0 : this.sum / this.weight;
	}
}
