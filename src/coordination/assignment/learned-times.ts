/**
 * Learns how long work takes at the backend servers of a group: the time in which an engine
 * reads a prompt token, its fixed delay until the first event, and the time of a plain call by
 * route. Observed times are divided by the pace of the moment, so that a backend server that is
 * slow for a second does not count as a slow one. An engine that has served little is assumed
 * to be like the others of its group.
 */

/** Time in which an engine reads a prompt token, in milliseconds, until it is learned. */
const priorMsPerToken = 1 / 50;
/** Time until an engine's first event beyond reading the prompt, in milliseconds, until it is learned. */
const priorFixedMs = 60;
/** Time of a plain call, in milliseconds, until it is learned. */
const priorCallMs = 50;
/** Fewest tokens of a prompt from which the prefill time is learned; the fixed delay hides that of shorter ones. */
const minPrefillTokens = 2000;
/** Most tokens of a prompt from which the fixed delay is learned. */
const maxFixedTokens = 1000;
/** Lowest share that a new observation has in an estimate: the estimate follows a change within some twenty observations. */
const minObservationShare = 0.05;
/** Observations that the prior counts for. */
const priorObservations = 2;
/** Largest factor by which one observation may exceed the estimate; a longer time is that of a wait or of a fault. */
const maxExcess = 4;

/** A mean that follows its observations, and forgets them. */
class Estimate {
	private observations = priorObservations;

	constructor(public value: number) {}

	note(observed: number): void {
		this.observations++;
		const share = Math.max(minObservationShare, 1 / this.observations);
		this.value += share * (Math.min(observed, this.value * maxExcess) - this.value);
	}
}

/** The times of one engine, or of all engines of a group. */
type EngineTimes = {msPerToken: Estimate; fixedMs: Estimate};

/** Learns the times of one group of backend servers. */
export class LearnedTimes {
	private readonly group: EngineTimes = {msPerToken: new Estimate(priorMsPerToken), fixedMs: new Estimate(priorFixedMs)};
	private readonly byEngine = new Map<number, EngineTimes>();
	private readonly callMsByRoute = new Map<string, Estimate>();
	private readonly runMs = new Estimate(priorCallMs);

	/** Records the time until the first event of a request that met no wait at an engine. */
	noteFirstEvent(engine: number, uncachedTokens: number, firstEventMs: number, paceFactor: number): void {
		const ms = firstEventMs / paceFactor;
		for (const times of [this.group, this.engine(engine)]) {
			if (uncachedTokens >= minPrefillTokens) {
				times.msPerToken.note(Math.max(0, ms - times.fixedMs.value) / uncachedTokens);
			} else if (uncachedTokens <= maxFixedTokens) {
				times.fixedMs.note(Math.max(0, ms - (uncachedTokens * times.msPerToken.value)));
			}
		}
	}

	/** Records the time in which an engine read a prompt between two first events: while it is never idle, no request meets no wait. */
	notePrefill(engine: number, uncachedTokens: number, prefillMs: number, paceFactor: number): void {
		if (uncachedTokens >= minPrefillTokens) {
			for (const {msPerToken} of [this.group, this.engine(engine)]) {
				msPerToken.note(Math.max(0, prefillMs) / paceFactor / uncachedTokens);
			}
		}
	}

	/** Records the time of a plain call that met no wait. */
	noteCall(route: string, callMs: number, paceFactor: number): void {
		const estimate = this.callMsByRoute.get(route) ?? new Estimate(priorCallMs);
		this.callMsByRoute.set(route, estimate);
		estimate.note(callMs / paceFactor);
	}

	/** Records how long a request occupied its slot. */
	noteRun(ms: number): void {
		this.runMs.note(ms);
	}

	/** Returns the time in which an engine at its usual pace reads a prompt, in milliseconds. */
	prefillMs(engine: number, tokens: number): number {
		return tokens * (this.byEngine.get(engine) ?? this.group).msPerToken.value;
	}

	/** Returns the fixed delay until an engine's first event at its usual pace, in milliseconds. */
	fixedMs(engine: number): number {
		return (this.byEngine.get(engine) ?? this.group).fixedMs.value;
	}

	/** Returns the time of a plain call at the usual pace, in milliseconds. */
	callMs(route: string): number {
		return this.callMsByRoute.get(route)?.value ?? priorCallMs;
	}

	/** Returns the mean time for which a request occupies a slot, in milliseconds. */
	get meanRunMs(): number {
		return this.runMs.value;
	}

	/** Forgets the engines that are not in use any more. */
	retain(engines: ReadonlySet<number>): void {
		for (const engine of this.byEngine.keys()) {
			if (!engines.has(engine)) {
				this.byEngine.delete(engine);
			}
		}
	}

	private engine(engine: number): EngineTimes {
		let times = this.byEngine.get(engine);
		if (!times) {
			times = {msPerToken: new Estimate(this.group.msPerToken.value), fixedMs: new Estimate(this.group.fixedMs.value)};
			this.byEngine.set(engine, times);
		}

		return times;
	}
}
