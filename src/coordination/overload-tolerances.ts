/**
 * Protects backend servers that fail under overload: they state how many requests a second they
 * can refuse for want of room, and crash when they have to refuse more, from all daemons
 * together. Reports of what others have in flight arrive too late for that, and trying costs a
 * refusal a daemon. So the daemons divide the slots of such a backend server, and each keeps to
 * its share without coordination. One that has no share sends only while little is in use.
 *
 * Daemons gossip the statements and the refusals. After a refusal by anyone, all daemons pause,
 * and their shares fall, since the backend server has less room than slots, such as memory that
 * long prompts have filled. The shares grow back as time passes without a refusal.
 */
import {createHash} from 'node:crypto';
import {type ToleranceUpdate} from '../protocol/fleet-messages.js';
import {createLogger} from '../log.js';
import {backendKey} from './fleet/backend-key.js';

const log = createLogger('overload');

/** Share of a backend server's slots up to which a daemon without a share of its own sends a request, as long as the last refusal is long ago. */
const lendableSlotsShare = 0.35;
/** Time after a refusal in which no daemon sends to the backend server, in milliseconds: the time over which refusals are counted, and that in which all daemons hear of it. */
const pauseMs = 1500;
/** Factor on the shares after a refusal, and the lowest one. */
const refusalFactor = 0.6;
const minFactor = 0.2;
/** Time in which the factor grows back from nothing, in milliseconds. */
const recoveryMs = 20_000;
/** Age at which a statement that was not repeated is dropped, in milliseconds. */
const statementMaxAgeMs = 60_000;
/** Time for which a change is gossiped, in milliseconds: eight rounds, since datagrams may be lost. */
const gossipAfterChangeMs = 2000;

/** What is known of one backend server. */
type Tolerance = {
	/** Requests a second that it can refuse; undefined once it answers without a statement. */
	refusalsPerSecond: number | undefined;
	/** When it last answered, to any daemon. */
	statedAtMs: number;
	/** When it last refused a request of any daemon. */
	refusedAtMs: number;
	changedAtMs: number;
	/** The factor on the shares after the last refusal. */
	factor: number;
};

/** The load that a daemon expects at a backend server. */
export type ExpectedLoad = {
	/** Requests that this daemon has in flight there. */
	ownInFlight: number;
	/** Requests that all daemons have in flight there, as far as this one has heard. */
	inFlight: number;
	/** Requests that it recently reported to be waiting. */
	waiting: number;
	slots: number;
};

/** The backend servers that fail under overload, as far as one daemon knows them. */
export class OverloadTolerances {
	private readonly byKey = new Map<number, Tolerance>();

	/**
	 * @param name The name of this daemon.
	 * @param usableShare Returns the part of a backend server's slots that this daemon may use.
	 */
	constructor(
		private readonly name: string,
		private readonly usableShare: (nowMs: number) => number,
	) {}

	/** Whether no backend server has stated a tolerance of late. */
	get isEmpty(): boolean {
		return this.byKey.size === 0;
	}

	/** Records what an answer states, undefined for nothing, and whether it refuses the request. */
	noteAnswer(backendId: string, refusalsPerSecond: number | undefined, isRefusal: boolean, nowMs: number): void {
		const key = backendKey(backendId);
		const known = this.byKey.get(key);
		if (refusalsPerSecond === undefined && !known) {
			return;
		}

		if (known?.refusalsPerSecond !== refusalsPerSecond) {
			log.info('overload tolerance stated by a backend server changed.', {backend: backendId, refusalsPerSecond, before: known?.refusalsPerSecond});
		}

		const isRefused = isRefusal && refusalsPerSecond !== undefined;
		const isChanged = known?.refusalsPerSecond !== refusalsPerSecond || isRefused;
		this.byKey.set(key, {
			refusalsPerSecond,
			statedAtMs: nowMs,
			refusedAtMs: isRefused ? nowMs : known?.refusedAtMs ?? Number.NEGATIVE_INFINITY,
			changedAtMs: isChanged ? nowMs : known?.changedAtMs ?? nowMs,
			factor: isRefused ? reduceFactor(known, nowMs) : known?.factor ?? 1,
		});
	}

	/** Whether this daemon may send a request to a backend server now. */
	mayReceive(backendId: string, load: () => ExpectedLoad, nowMs: number): boolean {
		const key = backendKey(backendId);
		const known = this.byKey.get(key);
		if (known?.refusalsPerSecond === undefined || nowMs - known.statedAtMs > statementMaxAgeMs) {
			return true;
		}

		if (nowMs - known.refusedAtMs < pauseMs) {
			return false;
		}

		const {ownInFlight, inFlight, waiting, slots} = load();
		const factor = currentFactor(known, nowMs);
		const share = this.share(key, slots * factor, nowMs);
		if (share > 0 || factor < 1) {
			return waiting === 0 && ownInFlight < share;
		}

		// In a large fleet, most daemons have no share of a small backend server.
		return waiting === 0 && inFlight + 1 <= slots * lendableSlotsShare;
	}

	/** Returns the time until one of these backend servers may receive a request again, in milliseconds; undefined when none of them pauses. */
	retryAfterMs(backendIds: string[], nowMs: number): number | undefined {
		const waits = backendIds.map(id => this.byKey.get(backendKey(id))).filter(known => known?.refusalsPerSecond !== undefined && nowMs - known.refusedAtMs < pauseMs).map(known => known!.refusedAtMs + pauseMs - nowMs);
		return waits.length > 0 ? Math.min(...waits) : undefined;
	}

	/** Returns the updates for other daemons: recent changes, and with `shouldListAll` every statement in force. Drops outdated ones. */
	updates(shouldListAll: boolean, nowMs: number): ToleranceUpdate[] {
		const updates: ToleranceUpdate[] = [];
		for (const [backend, {refusalsPerSecond, statedAtMs, refusedAtMs, changedAtMs}] of this.byKey) {
			if (nowMs - statedAtMs > statementMaxAgeMs) {
				this.byKey.delete(backend);
			} else if (nowMs - changedAtMs <= gossipAfterChangeMs || (shouldListAll && refusalsPerSecond !== undefined)) {
				const refusedAgeMs = Number.isFinite(refusedAtMs) ? Math.round(nowMs - refusedAtMs) : undefined;
				updates.push({
					backend, refusalsPerSecond, ageMs: Math.round(nowMs - statedAtMs), refusedAgeMs,
				});
			}
		}

		return updates;
	}

	/** Applies what other daemons know. With `shouldForward` this daemon gossips the changes on. */
	applyUpdates(updates: ToleranceUpdate[], shouldForward: boolean, nowMs: number): void {
		for (const update of updates) {
			const known = this.byKey.get(update.backend);
			const merged = known ? mergeUpdate(known, update, nowMs) : createTolerance(update, nowMs);
			if (merged !== known) {
				this.byKey.set(update.backend, {...merged, changedAtMs: shouldForward ? merged.changedAtMs : known?.changedAtMs ?? Number.NEGATIVE_INFINITY});
			}
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.byKey].map(([backend, {refusalsPerSecond, statedAtMs, refusedAtMs}]) => ({
			backend, refusalsPerSecond, statedMsAgo: Math.round(nowMs - statedAtMs), refusedMsAgo: Number.isFinite(refusedAtMs) ? Math.round(nowMs - refusedAtMs) : undefined,
		}));
	}

	/** Returns this daemon's share of slots: a hash decides which daemons get one more where they don't divide evenly. */
	private share(key: number, slots: number, nowMs: number): number {
		const exact = slots * this.usableShare(nowMs);
		const draw = createHash('md5').update(`${key} ${this.name}`).digest().readUInt32BE(0) / (2 ** 32);
		return Math.floor(exact) + (draw < exact % 1 ? 1 : 0);
	}
}

/** Returns the factor on the shares of a backend server now. */
function currentFactor({factor, refusedAtMs}: Tolerance, nowMs: number): number {
	return Math.min(1, factor + ((nowMs - refusedAtMs) / recoveryMs));
}

/** Returns the factor after a refusal; several refusals within a pause count as one. */
function reduceFactor(known: Tolerance | undefined, nowMs: number): number {
	if (!known) {
		return refusalFactor;
	}

	return nowMs - known.refusedAtMs < pauseMs ? known.factor : Math.max(minFactor, currentFactor(known, nowMs) * refusalFactor);
}

/** Returns what an update says of a backend server of which nothing was known. */
function createTolerance({refusalsPerSecond, ageMs, refusedAgeMs}: ToleranceUpdate, nowMs: number): Tolerance {
	return {
		refusalsPerSecond,
		statedAtMs: nowMs - ageMs,
		refusedAtMs: refusedAgeMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - refusedAgeMs,
		changedAtMs: nowMs,
		factor: refusedAgeMs === undefined ? 1 : refusalFactor,
	};
}

/** Returns what is known of a backend server after an update; the same object if it says nothing new. */
function mergeUpdate(known: Tolerance, update: ToleranceUpdate, nowMs: number): Tolerance {
	const received = createTolerance(update, nowMs);
	const isNewer = received.statedAtMs > known.statedAtMs;
	const isRefusalNewer = received.refusedAtMs > known.refusedAtMs;
	if (!isNewer && !isRefusalNewer) {
		return known;
	}

	const refusalsPerSecond = isNewer ? received.refusalsPerSecond : known.refusalsPerSecond;
	return {
		refusalsPerSecond,
		statedAtMs: Math.max(received.statedAtMs, known.statedAtMs),
		refusedAtMs: Math.max(received.refusedAtMs, known.refusedAtMs),
		changedAtMs: isRefusalNewer || refusalsPerSecond !== known.refusalsPerSecond ? nowMs : known.changedAtMs,
		factor: isRefusalNewer ? reduceFactor(known, received.refusedAtMs) : known.factor,
	};
}
