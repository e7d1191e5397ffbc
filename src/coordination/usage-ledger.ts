/**
 * How many requests of each client account began to run in each window of true time, over
 * all daemons. Every daemon counts its own and repeats its latest counts to all others, so
 * that any of them can report and little is lost with one that dies.
 */

/** Counts of one window, by account. */
export type WindowCounts = Record<string, number>;

/** Windows kept. */
const keptWindows = 6;

/** The counts of this daemon and those heard from others. */
export class UsageLedger {
	/** By daemon, then by window. */
	private readonly counts = new Map<string, Map<number, WindowCounts>>();

	constructor(
		private readonly self: string,
		private readonly windowMs: number,
	) {}

	windowAt(wallMs: number): number {
		return Math.floor(wallMs / this.windowMs);
	}

	/** Counts a request that began to run. */
	count(account: string, wallMs: number): void {
		const counts = this.countsOf(this.self, this.windowAt(wallMs));
		counts[account] = (counts[account] ?? 0) + 1;
	}

	/** Takes what another daemon counted; its counts of a window only grow. */
	note(daemon: string, window: number, counts: WindowCounts): void {
		const known = this.countsOf(daemon, window);
		for (const [account, count] of Object.entries(counts)) {
			known[account] = Math.max(known[account] ?? 0, count);
		}
	}

	/** This daemon's counts of its latest windows. */
	own(): Array<[number, WindowCounts]> {
		return [...this.counts.get(this.self) ?? []];
	}

	/** The counts of a window over all daemons; undefined when none counted anything. */
	total(window: number): WindowCounts | undefined {
		const total: WindowCounts = {};
		for (const windows of this.counts.values()) {
			for (const [account, count] of Object.entries(windows.get(window) ?? {})) {
				total[account] = (total[account] ?? 0) + count;
			}
		}

		return Object.keys(total).length === 0 ? undefined : total;
	}

	private countsOf(daemon: string, window: number): WindowCounts {
		let windows = this.counts.get(daemon);
		if (!windows) {
			windows = new Map();
			this.counts.set(daemon, windows);
		}

		let counts = windows.get(window);
		if (!counts) {
			counts = {};
			windows.set(window, counts);
			for (const old of windows.keys()) {
				if (old <= window - keptWindows) {
					windows.delete(old);
				}
			}
		}

		return counts;
	}
}
