/** The highest of the values that were seen within a time. */
type Seen = {atMs: number; value: number};

/** Remembers the highest value of late. */
export class RecentMaximum {
	/** Values that no later one exceeds, in the order of time. */
	private readonly seen: Seen[] = [];

	constructor(private readonly withinMs: number) {}

	/** Takes a value, and returns the highest of late, this one included. */
	note(value: number, nowMs: number): number {
		while (this.seen.length > 0 && this.seen.at(-1)!.value <= value) {
			this.seen.pop();
		}

		this.seen.push({atMs: nowMs, value});
		while (nowMs - this.seen[0].atMs > this.withinMs) {
			this.seen.shift();
		}

		return this.seen[0].value;
	}
}
