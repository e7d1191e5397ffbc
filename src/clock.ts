/**
 * The clocks that decisions about leases and belief read. A process that was stopped or
 * whose VM was suspended finds out from whichever of them moved on.
 */
import os from 'node:os';
import {performance} from 'node:perf_hooks';

/** One reading of both clocks, in milliseconds. */
export type Instant = {
	/** Never goes back; stands still while the VM is suspended. */
	monotonicMs: number;
	/** The time of day; may jump either way. */
	wallMs: number;
};

/** Reads both clocks. */
export function readClocks(): Instant {
	return {monotonicMs: performance.now(), wallMs: Date.now()};
}

/** A change of the time of day against the monotonic clock beyond this is a jump or a suspension, in milliseconds. */
const driftToleranceMs = 40;
/** The system's uptime is read in hundredths of a second, in milliseconds. */
const uptimeErrorMs = 20;

/** Where a {@link SteadyClock} reads the time; replaced in tests. */
export type TimeSources = {
	monotonicMs(): number;
	wallMs(): number;
	/** Time since the system started, suspensions included. */
	uptimeMs(): number;
};

const systemTime: TimeSources = {
	monotonicMs: () => performance.now(),
	wallMs: () => Date.now(),
	uptimeMs: () => os.uptime() * 1000,
};

/**
 * A clock in milliseconds that never goes back, counts the time a VM was suspended, and
 * ignores jumps of the time of day. The uptime costs a file read, so it is only read when
 * the time of day and the monotonic clock disagree.
 */
export class SteadyClock {
	private suspendedMs = 0;
	private driftMs: number;
	private readonly baselineMs: number;
	private readonly wallOffsetMs: number;

	constructor(private readonly sources: TimeSources = systemTime) {
		this.driftMs = sources.wallMs() - sources.monotonicMs();
		this.wallOffsetMs = this.driftMs;
		this.baselineMs = sources.uptimeMs() - sources.monotonicMs();
	}

	/** Milliseconds since an arbitrary start. */
	now(): number {
		const monotonicMs = this.sources.monotonicMs();
		const driftMs = this.sources.wallMs() - monotonicMs;
		if (Math.abs(driftMs - this.driftMs) > driftToleranceMs) {
			this.driftMs = driftMs;
			const suspendedMs = this.sources.uptimeMs() - monotonicMs - this.baselineMs;
			if (suspendedMs > this.suspendedMs + uptimeErrorMs) {
				this.suspendedMs = suspendedMs;
			}
		}

		return monotonicMs + this.suspendedMs;
	}

	/** The time of day of the process's start carried forward, in milliseconds since 1970; later jumps of the time of day don't show. */
	wallNow(): number {
		return this.now() + this.wallOffsetMs;
	}
}
