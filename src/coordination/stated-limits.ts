/**
 * Enforces the rate limits that overloaded backend servers state in their answers: requests a
 * second from all daemons together. Dividing such a limit by the number of daemons would leave
 * each a share below one request in any useful time, while one request from each of hundreds
 * of daemons already exceeds the limit. So a few daemons, on which all daemons agree, send to a
 * limited backend server at an even pace; the others send nothing. Daemons gossip the limits,
 * since a daemon that sends no requests gets no answers that state them.
 */
import {type LimitUpdate} from '../protocol/fleet-messages.js';
import {createLogger} from '../log.js';
import {backendKey} from './fleet/backend-key.js';

const log = createLogger('limits');

/** Number of daemons beyond the limit's requests a second that send to a limited backend server, so that the failure of one leaves no gap. Each may be one request ahead of the pace. */
const extraSenders = 2;
/** Share of a stated limit that is used; the rest covers moments in which daemons disagree on who sends. */
const usedLimitShare = 0.9;
/** Lowest pace in requests a second, also for lower limits, so that the end of a limit is noticed. */
const minPacedPerSecond = 0.1;
/** Time without a statement from a limited backend server after which the next request that its limit allows is sent to it as a probe of whether the limit still holds, in milliseconds. It doubles with each probe that brings no statement, since the backend server may be dead. */
const probeAfterMs = 3000;
/** Age at which a limit that was not stated again is dropped, in milliseconds. */
const limitMaxAgeMs = 5 * 60_000;
/** Time for which a selection of senders is cached, in milliseconds: it changes when daemons join or leave. */
const senderSelectionMaxAgeMs = 100;
/** Time for which a change is gossiped, in milliseconds: eight rounds, since datagrams may be lost. */
const gossipAfterChangeMs = 2000;

/** Whether this daemon may send to a limited backend server, and the share of the limit that it may use. */
export type SenderSelection = {isSender: boolean; share: number};

/** Whether this daemon may send a request to a backend server now. */
export enum SendPermission {
	/** The backend server has no limit, or its limit allows a request. */
	Allowed = 'free',
	/** The limit allows no request now, or only other daemons send to the backend server. */
	Withheld = 'withheld',
	/** The limit allows a request, and one should be sent as a probe, since the backend server has not stated its limit for a while. */
	ProbeDue = 'due',
}

/** What is known of one backend server's limit. */
type LimitEntry = {
	/** Requests a second; undefined once the backend server answers without a limit. */
	perSecond: number | undefined;
	/** When the backend server last stated it, to any daemon. */
	statedAtMs: number;
	/** When the limit last changed, if this daemon gossips the change. */
	changedAtMs: number;
	/** From when on the wait until this daemon's next request counts. */
	pacedFromMs: number;
	/** Number of probes since the last statement. */
	probes: number;
	/** When the last probe was sent. */
	probedAtMs: number;
	/** The cached selection of senders, and when it was made. */
	selection: (SenderSelection & {atMs: number}) | undefined;
};

/** The limits stated by backend servers, as far as one daemon knows them. */
export class StatedLimits {
	/** Entries by the numeric key of the backend server. */
	private readonly entries = new Map<number, LimitEntry>();

	/** @param selectSenders Selects at most `maxSenders` daemons that send to a backend server, given its key. */
	constructor(private readonly selectSenders: (query: {backend: number; maxSenders: number}, nowMs: number) => SenderSelection) {}

	/** Whether no backend server has stated a limit of late. */
	get isEmpty(): boolean {
		return this.entries.size === 0;
	}

	/** Records the limit stated in an answer of a backend server; undefined when the answer states none. */
	noteStated(backendId: string, perSecond: number | undefined, nowMs: number): void {
		const key = backendKey(backendId);
		if (perSecond !== undefined || this.entries.has(key)) {
			const previous = this.entries.get(key);
			this.setEntry(key, perSecond, nowMs, nowMs);
			if (previous?.perSecond !== perSecond) {
				log.info('request limit stated by a backend server changed.', {backend: backendId, perSecond, before: previous?.perSecond});
			}
		}
	}

	/** Returns whether this daemon may send a request to a backend server now. */
	permission(backendId: string, nowMs: number): SendPermission {
		const key = backendKey(backendId);
		const entry = this.entries.get(key);
		if (entry?.perSecond === undefined) {
			return SendPermission.Allowed;
		}

		if (nowMs < this.nextAtMs(key, entry, nowMs) || !this.senderSelection(key, entry, nowMs).isSender) {
			return SendPermission.Withheld;
		}

		return isProbeDue(entry, nowMs) ? SendPermission.ProbeDue : SendPermission.Allowed;
	}

	/** Records a request sent to a backend server, which delays this daemon's next one. */
	noteSent(backendId: string, nowMs: number): void {
		const key = backendKey(backendId);
		const entry = this.entries.get(key);
		if (entry?.perSecond !== undefined) {
			if (isProbeDue(entry, nowMs)) {
				entry.probes++;
				entry.probedAtMs = nowMs;
			}

			entry.pacedFromMs = Math.max(nowMs, this.nextAtMs(key, entry, nowMs));
		}
	}

	/** Returns the time until any daemon may send a request to one of these backend servers, in milliseconds; undefined when none is limited. */
	retryAfterMs(backendIds: string[], nowMs: number): number | undefined {
		const waits: number[] = [];
		for (const key of backendIds.map(id => backendKey(id))) {
			const entry = this.entries.get(key);
			if (entry?.perSecond !== undefined) {
				waits.push(Math.max(requestIntervalMs(entry.perSecond), this.nextAtMs(key, entry, nowMs) - nowMs));
			}
		}

		return waits.length > 0 ? Math.min(...waits) : undefined;
	}

	/** Returns whether a backend server has a limit now. */
	isLimited(backendId: string): boolean {
		return this.entries.get(backendKey(backendId))?.perSecond !== undefined;
	}

	/** Returns the updates for other daemons: recent changes, and with `shouldListAll` every limit in force. Drops outdated entries. */
	updates(shouldListAll: boolean, nowMs: number): LimitUpdate[] {
		const updates: LimitUpdate[] = [];
		for (const [backend, {perSecond, statedAtMs, changedAtMs}] of this.entries) {
			if (nowMs - statedAtMs > limitMaxAgeMs) {
				this.entries.delete(backend);
			} else if (nowMs - changedAtMs <= gossipAfterChangeMs || (shouldListAll && perSecond !== undefined)) {
				updates.push({backend, perSecond, ageMs: Math.round(nowMs - statedAtMs)});
			}
		}

		return updates;
	}

	/** Applies the updates of another daemon that are newer than what is known. With `shouldForward` this daemon gossips the changes on. */
	applyUpdates(updates: LimitUpdate[], shouldForward: boolean, nowMs: number): void {
		for (const {backend, perSecond, ageMs} of updates) {
			const known = this.entries.get(backend);
			const statedAtMs = nowMs - ageMs;
			if (!known || statedAtMs > known.statedAtMs) {
				this.setEntry(backend, perSecond, statedAtMs, shouldForward ? nowMs : Number.NEGATIVE_INFINITY);
			}
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.entries].map(([backend, entry]) => ({
			backend, perSecond: entry.perSecond, statedMsAgo: Math.round(nowMs - entry.statedAtMs), nextInMs: Math.round(this.nextAtMs(backend, entry, nowMs) - nowMs),
		}));
	}

	private setEntry(backend: number, perSecond: number | undefined, statedAtMs: number, newChangedAtMs: number): void {
		const known = this.entries.get(backend);
		this.entries.set(backend, {
			perSecond,
			statedAtMs,
			changedAtMs: known && known.perSecond === perSecond ? known.changedAtMs : newChangedAtMs,
			pacedFromMs: known?.pacedFromMs ?? Number.NEGATIVE_INFINITY,
			probes: 0,
			probedAtMs: Number.NEGATIVE_INFINITY,
			selection: known?.perSecond === perSecond ? known?.selection : undefined,
		});
	}

	/** Returns when this daemon may send the next request: sooner if its share of the limit has grown since the last one. */
	private nextAtMs(backend: number, entry: LimitEntry, nowMs: number): number {
		return entry.perSecond === undefined ? Number.NEGATIVE_INFINITY : entry.pacedFromMs + (requestIntervalMs(entry.perSecond) / this.senderSelection(backend, entry, nowMs).share);
	}

	private senderSelection(backend: number, entry: LimitEntry, nowMs: number): SenderSelection {
		if (!entry.selection || nowMs - entry.selection.atMs > senderSelectionMaxAgeMs) {
			entry.selection = {...this.selectSenders({backend, maxSenders: Math.floor(entry.perSecond ?? 0) + extraSenders}, nowMs), atMs: nowMs};
		}

		return entry.selection;
	}
}

/** Returns whether a limited backend server should get the next request that its limit allows. */
function isProbeDue({statedAtMs, probedAtMs, probes}: LimitEntry, nowMs: number): boolean {
	return nowMs - Math.max(statedAtMs, probedAtMs) > probeAfterMs * (2 ** probes);
}

/** Returns the time between two requests of all daemons together, in milliseconds. */
function requestIntervalMs(perSecond: number): number {
	return 1000 / (Math.max(minPacedPerSecond, perSecond) * usedLimitShare);
}
