/**
 * Decides which requests of an account a daemon admits while other daemons admit requests of the
 * same account that it has not heard of yet. It answers the load of an account that requests
 * several times what its limit allows, for many seconds.
 *
 * An account that goes on requesting more than its limit would fill its window at once, and all
 * its requests would be refused until the oldest part of the window expires. So only that part
 * of its demand is admitted for which the rest of the limit, and what expires, lasts for some
 * time.
 */
import {type AccountWindow} from './account-window.js';
import {type QuotaPeers} from './quota-ledger.js';

/** Time for which the rest of a limit must suffice so that all requests are admitted, as a factor on the delay plus the interval of peers' reports. Below one, every daemon may admit the whole rest before it hears from the others; a higher factor leaves more of the limit unused by an account that requests more than it. */
const reserveFactor = 1.2;

/** A limit over a sliding window. */
export type WindowLimit = {
	/** Cost units that may be admitted in a window. */
	units: number;
	/** Time for which the rest of the limit must last while more is requested, in milliseconds; 0 to admit all requests until it is used up. */
	lastsMs: number;
};

/** Returns the part of the demand to admit: 1 far from the limit, 0 when nothing is left of it for a request of this cost. */
export function partWithinLimit(window: AccountWindow, cost: number, limit: WindowLimit, peers: QuotaPeers, nowMs: number): number {
	const {reportDelayMs, reportIntervalMs, unreportedDaemons} = peers;
	const unreported = (window.peersAdmitted.peakRatePerMs(reportIntervalMs, nowMs) * reportDelayMs) + (window.own.admitted * unreportedDaemons);
	const remaining = limit.units - window.sum(nowMs) - unreported;
	if (remaining < cost) {
		return 0;
	}

	const requestedPerMs = window.peersRequested.peakRatePerMs(reportIntervalMs, nowMs) + (window.ownRequested.ratePerMs(reportIntervalMs, nowMs) * unreportedDaemons);
	const reserve = requestedPerMs * (reportDelayMs + reportIntervalMs) * reserveFactor;
	const partUntilReports = remaining >= reserve ? 1 : remaining / reserve;
	return Math.min(partUntilReports, lastingPart(window, {units: remaining, lastsMs: limit.lastsMs}, peers, nowMs));
}

/**
 * Returns the part of the present demand that can be admitted for as long as the rest of a
 * limit must last. A clump of requests is admitted whole: only sustained demand counts as more
 * than the rest.
 */
function lastingPart(window: AccountWindow, {units: remaining, lastsMs}: WindowLimit, {reportIntervalMs, unreportedDaemons}: QuotaPeers, nowMs: number): number {
	if (lastsMs === 0) {
		return 1;
	}

	const {peersRequested, ownRequested} = window;
	const ownFactor = 1 + unreportedDaemons;
	const requestedPerMs = peersRequested.latestRatePerMs(reportIntervalMs, nowMs) + (ownRequested.latestRatePerMs(reportIntervalMs, nowMs) * ownFactor);
	const sustainablePerMs = window.sustainableRatePerMs(remaining, lastsMs, nowMs);
	if (requestedPerMs <= sustainablePerMs) {
		return 1;
	}

	const sustainedPerMs = peersRequested.sustainedRatePerMs(reportIntervalMs, nowMs) + (ownRequested.sustainedRatePerMs(reportIntervalMs, nowMs) * ownFactor);
	return sustainedPerMs <= sustainablePerMs ? 1 : sustainablePerMs / requestedPerMs;
}
