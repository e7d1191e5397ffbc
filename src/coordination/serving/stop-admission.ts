/**
 * Decides which requests a stopping daemon still takes. It answers a planned stop under load: a
 * request that is still open at the end of the grace period is lost, and one that is refused
 * unrun is served by another daemon. How long a request takes is known from earlier ones of its
 * route; one of a route without any is taken.
 */
import {RecentMaximum} from '../recent-maximum.js';

/** Time for which the duration of a request counts, in milliseconds. */
const durationMemoryMs = 60_000;

/** Tracks how long requests take, and refuses those that would outlast the daemon. */
export class StopAdmission {
	private endsAtMs = Number.POSITIVE_INFINITY;
	private readonly longestDurations = new Map<string, RecentMaximum>();

	/** Refuses from now on requests that would not have ended by a time. */
	beginStop(endsAtMs: number): void {
		this.endsAtMs = endsAtMs;
	}

	/** Records how long a request of a route took, in milliseconds. */
	noteServed(route: string, durationMs: number, nowMs: number): void {
		const longest = this.longestDurations.get(route) ?? new RecentMaximum(durationMemoryMs);
		this.longestDurations.set(route, longest);
		longest.note(durationMs, nowMs);
	}

	/** Returns whether a request of a route that arrives now is expected to end in time. */
	accepts(route: string, nowMs: number): boolean {
		if (this.endsAtMs === Number.POSITIVE_INFINITY) {
			return true;
		}

		return nowMs + (this.longestDurations.get(route)?.note(0, nowMs) ?? 0) < this.endsAtMs;
	}
}
