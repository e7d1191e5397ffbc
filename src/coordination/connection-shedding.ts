/**
 * Decides whether this daemon accepts a new connection. It answers the load of a load balancer
 * that hands most new connections to one daemon, more than its processor can serve: what it
 * reads then waits until it is late. A connection that is closed before anything was read
 * reaches another daemon when the client tries again.
 *
 * Connections are closed only while the event loop is behind and other daemons receive clearly
 * less; otherwise a retry would meet the same load.
 */
import {createLogger} from '../log.js';
import {type DemandShare} from './demand-share.js';

const log = createLogger('connections');

/** Delay of the event loop from which the daemon is overloaded, in milliseconds. */
const overloadDelayMs = 40;
/** Multiple of the mean demand from which the others are expected to have room. */
const unevenMultiple = 1.5;

/** Time after a closed connection for which the delay of a single turn is enough to close another one, in milliseconds. */
const alertMs = 1000;

/** Time after the start in which nothing is closed, in milliseconds: a daemon that starts is slow, and does not know yet what the others receive. */
const warmUpMs = 5000;

/** Measures how late the event loop runs. */
export type DelayMeter = {
	/** Records that there is load, so that the delay is measured for a while. */
	noteLoad(nowMs: number): void;
	/** Returns the delay of the turn in progress, or of the last one, in milliseconds. */
	turnDelayMs(nowMs: number): number;
	/** Returns the delay that has persisted of late, in milliseconds. */
	standingDelayMs(nowMs: number): number;
};

/** The admission of connections. */
export class ConnectionShedding {
	/** Number of connections that were closed. */
	closedCount = 0;
	private closedAtMs = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly delay: DelayMeter,
		private readonly demand: Pick<DemandShare, 'multipleOfMean'>,
		private readonly startedAtMs: number,
	) {}

	/** Whether a connection that has just been opened is accepted. */
	accepts(nowMs: number): boolean {
		this.delay.noteLoad(nowMs);
		const isAlert = nowMs - this.closedAtMs < alertMs;
		const delayMs = isAlert ? this.delay.turnDelayMs(nowMs) : this.delay.standingDelayMs(nowMs);
		if (delayMs < overloadDelayMs || nowMs - this.startedAtMs < warmUpMs || this.demand.multipleOfMean(nowMs) < unevenMultiple) {
			return true;
		}

		if (!isAlert) {
			log.warn('closing new connections unread, since the event loop is behind and other daemons receive less.', {delayMs: Math.round(delayMs), closedBefore: this.closedCount});
		}

		this.closedCount++;
		this.closedAtMs = nowMs;
		return false;
	}
}
