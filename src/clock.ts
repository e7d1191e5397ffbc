/**
 * The clocks that decisions about leases read. A process that was stopped or whose VM was
 * suspended finds out from whichever of the two moved on.
 */
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
