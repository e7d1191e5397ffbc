/**
 * Clocks for decisions about leases and the staleness of views. A process that was stopped,
 * or whose VM was suspended, detects that from whichever clock moved on.
 */
import os from 'node:os';
import {performance} from 'node:perf_hooks';

/** One reading of both clocks, in milliseconds. */
export type Instant = {
	/** The monotonic clock, which never goes back and doesn't advance while the VM is suspended. */
	monotonicMs: number;
	/** The wall clock, which may jump in either direction. */
	wallMs: number;
};

/** Reads both clocks. */
export function readClocks(): Instant {
	return {monotonicMs: performance.now(), wallMs: Date.now()};
}

/** A larger drift between the wall clock and the monotonic clock is a clock jump or a suspension, in milliseconds. */
const driftToleranceMs = 40;
/** Largest error of the system uptime, in milliseconds; the system reports it in hundredths of a second. */
const uptimeResolutionMs = 20;

/** The time sources of a {@link SteadyClock}; tests replace them. */
export type TimeSources = {
	monotonicMs(): number;
	wallMs(): number;
	/** Time since the system started, including suspensions. */
	uptimeMs(): number;
};

const systemTime: TimeSources = {
	monotonicMs: () => performance.now(),
	wallMs: () => Date.now(),
	uptimeMs: () => os.uptime() * 1000,
};

/**
 * A clock in milliseconds that never goes back, includes the time for which the VM was
 * suspended, and ignores jumps of the wall clock. Reading the uptime takes a file read, so
 * it is only read when the wall clock and the monotonic clock drift apart.
 */
export class SteadyClock {
	private suspendedMs = 0;
	private driftMs: number;
	private readonly uptimeOffsetMs: number;
	private readonly wallOffsetMs: number;

	constructor(private readonly sources: TimeSources = systemTime) {
		this.driftMs = sources.wallMs() - sources.monotonicMs();
		this.wallOffsetMs = this.driftMs;
		this.uptimeOffsetMs = sources.uptimeMs() - sources.monotonicMs();
	}

	/** Returns the milliseconds since an arbitrary start. */
	now(): number {
		const monotonicMs = this.sources.monotonicMs();
		const driftMs = this.sources.wallMs() - monotonicMs;
		if (Math.abs(driftMs - this.driftMs) > driftToleranceMs) {
			this.driftMs = driftMs;
			const suspendedMs = this.sources.uptimeMs() - monotonicMs - this.uptimeOffsetMs;
			if (suspendedMs > this.suspendedMs + uptimeResolutionMs) {
				this.suspendedMs = suspendedMs;
			}
		}

		return monotonicMs + this.suspendedMs;
	}

	/** Returns the wall-clock time at the process's start plus the time since then, in milliseconds since 1970; later jumps of the wall clock have no effect. */
	wallTimeMs(): number {
		return this.now() + this.wallOffsetMs;
	}
}
