/**
 * Decides which requests of an account a daemon admits while other daemons admit requests of the
 * same account that it has not heard of yet. It answers the load of an account that requests
 * several times what its limit allows, for many seconds.
 *
 * When not all can be admitted, small requests go first: an account that sends long prompts as
 * well as short calls would otherwise have most of its calls refused for prompts that cost as
 * much as fifty of them.
 */
import {type AccountWindow} from './account-window.js';
import {type QuotaPeers} from './quota-ledger.js';

/** Time for which the rest of a limit must suffice so that all requests are admitted, as a factor on the delay plus the interval of peers' reports. Below one, every daemon may admit the whole rest before it hears from the others; a higher factor leaves more of the limit unused by an account that requests more than it. */
const reserveFactor = 1.2;
/** Exponent by which the admitted share falls with the cost of a request against the account's mean: with one, each kind of request gets the same part of the limit; a higher one favours small requests more. */
const costExponent = 2;

/** Returns the share of an account's requests of this cost to admit: 1 far from its limit, 0 when nothing is left of it. */
export function shareWithinLimit(window: AccountWindow, cost: number, limit: number, peers: QuotaPeers, nowMs: number): number {
	const {reportDelayMs, reportIntervalMs, unreportedDaemons} = peers;
	const unreported = (window.peersAdmitted.ratePerMs(reportIntervalMs, nowMs) * reportDelayMs) + (window.own.admitted * unreportedDaemons);
	const remaining = limit - window.sum(nowMs) - unreported;
	if (remaining < cost) {
		return 0;
	}

	const requestedPerMs = window.peersRequested.ratePerMs(reportIntervalMs, nowMs) + (window.ownRequested.ratePerMs(reportIntervalMs, nowMs) * unreportedDaemons);
	const reserve = requestedPerMs * (reportDelayMs + reportIntervalMs) * reserveFactor;
	return remaining >= reserve ? 1 : Math.min(1, remaining / reserve * ((window.meanCost.value / cost) ** costExponent));
}
