/**
 * Knows which backend servers fail under overload: they state how many requests a second they can
 * refuse for want of room, and crash when they have to refuse more, from all daemons together.
 * Daemons gossip the statements, so that all of them ask for slots before they send (`slots/`).
 */
import {type ToleranceUpdate} from '../protocol/fleet-messages.js';
import {createLogger} from '../log.js';
import {backendKey} from './fleet/backend-key.js';

const log = createLogger('overload');

/** Time from the first statement until requests need a slot, in milliseconds: all daemons have heard of it, and have claimed what they have in flight. */
const noticeMs = 1500;
/** Age at which a statement that was not repeated is dropped, in milliseconds. */
const statementMaxAgeMs = 60_000;
/** Time for which a change is gossiped, in milliseconds: eight rounds, since datagrams may be lost. */
const gossipAfterChangeMs = 2000;

/** What is known of one backend server. */
type Tolerance = {
	/** Requests a second that it can refuse; undefined once it answers without a statement. */
	refusalsPerSecond: number | undefined;
	/** Since when it is known to fail under overload. */
	sinceMs: number;
	/** When it last answered, to any daemon. */
	statedAtMs: number;
	changedAtMs: number;
};

/** The backend servers that fail under overload, as far as one daemon knows them. */
export class OverloadTolerances {
	private readonly byKey = new Map<number, Tolerance>();

	/** Whether no backend server has stated a tolerance of late. */
	get isEmpty(): boolean {
		return this.byKey.size === 0;
	}

	/** Records what an answer states, undefined for nothing. */
	noteAnswer(backendId: string, refusalsPerSecond: number | undefined, nowMs: number): void {
		const key = backendKey(backendId);
		const known = this.byKey.get(key);
		if (refusalsPerSecond === undefined && !known) {
			return;
		}

		const isChanged = known?.refusalsPerSecond !== refusalsPerSecond;
		if (isChanged) {
			log.info('overload tolerance stated by a backend server changed.', {backend: backendId, refusalsPerSecond, before: known?.refusalsPerSecond});
		}

		this.set(key, refusalsPerSecond, nowMs, isChanged ? nowMs : known!.changedAtMs, nowMs);
	}

	/** Returns the requests a second that a backend server can refuse without failing; undefined if it doesn't fail under overload. */
	tolerance(backendId: string, nowMs: number): number | undefined {
		return this.isEmpty ? undefined : this.current(backendId, nowMs)?.refusalsPerSecond;
	}

	/** Returns the keys of the backend servers that fail under overload. */
	stated(nowMs: number): number[] {
		return [...this.byKey].filter(([, {refusalsPerSecond, statedAtMs}]) => refusalsPerSecond !== undefined && nowMs - statedAtMs <= statementMaxAgeMs).map(([key]) => key);
	}

	/** Whether requests to a backend server need a slot. */
	isBinding(backendId: string, nowMs: number): boolean {
		const known = this.isEmpty ? undefined : this.current(backendId, nowMs);
		return known?.refusalsPerSecond !== undefined && nowMs - known.sinceMs >= noticeMs;
	}

	/** Returns the updates for other daemons: recent changes, and with `shouldListAll` every statement in force. Drops outdated ones. */
	updates(shouldListAll: boolean, nowMs: number): ToleranceUpdate[] {
		const updates: ToleranceUpdate[] = [];
		for (const [backend, {refusalsPerSecond, statedAtMs, changedAtMs}] of this.byKey) {
			if (nowMs - statedAtMs > statementMaxAgeMs) {
				this.byKey.delete(backend);
			} else if (nowMs - changedAtMs <= gossipAfterChangeMs || (shouldListAll && refusalsPerSecond !== undefined)) {
				updates.push({backend, refusalsPerSecond, ageMs: Math.round(nowMs - statedAtMs)});
			}
		}

		return updates;
	}

	/** Applies what other daemons know. With `shouldForward` this daemon gossips the changes on. */
	applyUpdates(updates: ToleranceUpdate[], shouldForward: boolean, nowMs: number): void {
		for (const {backend, refusalsPerSecond, ageMs} of updates) {
			const known = this.byKey.get(backend);
			const statedAtMs = nowMs - ageMs;
			if (!known || statedAtMs > known.statedAtMs) {
				const isChanged = known?.refusalsPerSecond !== refusalsPerSecond;
				this.set(backend, refusalsPerSecond, statedAtMs, isChanged && shouldForward ? nowMs : known?.changedAtMs ?? Number.NEGATIVE_INFINITY, nowMs);
			}
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.byKey].map(([backend, {refusalsPerSecond, statedAtMs}]) => ({backend, refusalsPerSecond, statedMsAgo: Math.round(nowMs - statedAtMs)}));
	}

	private set(key: number, refusalsPerSecond: number | undefined, statedAtMs: number, changedAtMs: number, nowMs: number): void { // eslint-disable-line max-params
		const known = this.byKey.get(key);
		const sinceMs = known?.refusalsPerSecond === undefined ? nowMs : known.sinceMs;
		this.byKey.set(key, {
			refusalsPerSecond, sinceMs, statedAtMs, changedAtMs,
		});
	}

	private current(backendId: string, nowMs: number): Tolerance | undefined {
		const known = this.byKey.get(backendKey(backendId));
		return known && nowMs - known.statedAtMs <= statementMaxAgeMs ? known : undefined;
	}
}
