/**
 * Decides which daemons may use the slots of backend servers that fail under overload. For each
 * such backend server one daemon, its coordinator, leases the slots to all others, so that
 * together they never have more requests there than it has slots. Shares that each daemon
 * computes for itself don't bound that in a fleet with more daemons than slots, and counts that
 * daemons report to each other are older than a short request lasts.
 *
 * Each claim of a daemon states all of its use, so a lost or late message is repaired by the next
 * one, and a standby that receives the same claims can take over.
 */
import {type SlotClaim, type SlotDecision} from '../../protocol/fleet-messages.js';
import {createLogger} from '../../log.js';

const log = createLogger('slots');

/** Time for which a new coordinator leases nothing, in milliseconds: two rounds of claims, which tell it what its predecessor has leased. */
export const takeoverMs = 600;
/** Time without any activity after which a coordinator may have been replaced and counts as new, in milliseconds. */
const maxPauseMs = 700;
/** Time after a refusal in which no slots of the backend server are leased, in milliseconds: that over which it counts refusals. */
const refusalPauseMs = 1000;
/** Time in which the number of leases grows back to the number of slots after a refusal, in milliseconds. */
const recoveryMs = 10_000;
/** Time for which requests of a daemon that has restarted may still run, in milliseconds: backend servers drop them when their connections close. */
const restartLingerMs = 500;
/** Time beyond the deadlines of a silent daemon's requests after which they must have ended, in milliseconds. */
const endMarginMs = 250;
/** Time for which a claim is kept at least, in milliseconds. */
const idleClaimMs = 5000;
/** Time over which grants, denials and the loads that a backend server reports are compared, in milliseconds. */
const observationMs = 1000;
/** Reports of load within that time that are needed to find requests that no daemon claims. */
const minLoadReports = 3;
/** Bounds of the time after which a daemon may ask again for a slot that it was denied, in milliseconds. */
const minRetryMs = 20;
const maxRetryMs = 1000;

/** What one start of a daemon uses at a backend server. */
type Use = {
	incarnation: string;
	sequence: number;
	running: number;
	/** Until when each request counts that the daemon gave up. */
	lingering: number[];
	/** Requests for slots that were granted and that its latest claim lists as undecided. */
	granted: Set<number>;
	refusals: number;
	/** When what it runs and was granted must have ended, unless it claims again. */
	endsAtMs: number;
	/** When it is dropped, so that an older claim that arrives late is recognized until then. */
	expiresAtMs: number;
};

/** A backend server whose slots daemons use. */
type LedgerEntry = {
	slots: number;
	/** The uses by name of the daemon; those of earlier starts until they expire. */
	uses: Map<string, Use>;
	refusedAtMs: number;
	/** Number of leases at which it refused a request. */
	refusedAtLeases: number;
	grantTimes: number[];
	denialTimes: number[];
	/** By how much the loads that it reported exceeded the leases. */
	excesses: Array<{atMs: number; excess: number}>;
};

/** The decision on a claim. */
export type LedgerDecision = Pick<SlotDecision, 'granted' | 'denied' | 'retryAfterMs'>;

/** The leases that one daemon knows of: those that it has granted, and as a standby those that others have. */
export class SlotLedger {
	private readonly entries = new Map<number, LedgerEntry>();
	/** Since when this daemon has been the coordinator of each backend server. */
	private coordinatedSinceMs = new Map<number, number>();
	private activeAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * Drops claims that have expired; called in each round.
	 *
	 * @param coordinated The backend servers of which this daemon is the coordinator.
	 */
	update(coordinated: number[], nowMs: number): void {
		this.noteActive(nowMs);
		this.coordinatedSinceMs = new Map(coordinated.map(backend => [backend, this.coordinatedSinceMs.get(backend) ?? nowMs]));
		for (const [backend, entry] of this.entries) {
			dropExpired(entry, nowMs);
			if (entry.uses.size === 0) {
				this.entries.delete(backend);
			}
		}
	}

	/** Records the claim of a daemon, and decides on the slots that it asks for; a daemon that is not the coordinator denies them. */
	receive(claim: SlotClaim, isCoordinator: boolean, nowMs: number): LedgerDecision {
		this.noteActive(nowMs);
		const entry = this.entryOf(claim);
		if (!isCoordinator) {
			this.coordinatedSinceMs.delete(claim.backend);
		}

		const use = this.updateUse(entry, claim, nowMs);
		const decision: LedgerDecision = {granted: [], denied: [], retryAfterMs: 0};
		if (!use) {
			// A newer claim has arrived before, and lists what is still undecided.
			return decision;
		}

		for (const id of claim.pending) {
			if (use.granted.has(id) || (this.isSettled(claim.backend, nowMs) && tryGrant(entry, use, id, nowMs))) {
				decision.granted.push(id);
			} else {
				entry.denialTimes.push(nowMs);
				decision.denied.push(id);
			}
		}

		decision.retryAfterMs = decision.denied.length > 0 ? retryAfterMs(entry, nowMs) : 0;
		return decision;
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.entries].map(([backend, entry]) => ({
			backend, slots: entry.slots, leased: leasedSlots(entry, nowMs), unclaimed: unclaimedRequests(entry), limit: leaseLimit(entry, nowMs), isCoordinator: this.coordinatedSinceMs.has(backend),
		}));
	}

	/** Records that this daemon runs: after a pause, another one may have leased in its place. */
	private noteActive(nowMs: number): void {
		if (nowMs - this.activeAtMs > maxPauseMs) {
			this.coordinatedSinceMs.clear();
		}

		this.activeAtMs = nowMs;
	}

	/** Whether this daemon has been the coordinator for long enough to know what its predecessor has leased. */
	private isSettled(backend: number, nowMs: number): boolean {
		return nowMs - (this.coordinatedSinceMs.get(backend) ?? nowMs) >= takeoverMs;
	}

	/** Replaces what is known of a daemon's use; returns undefined if a newer claim of it is known. */
	private updateUse(entry: LedgerEntry, claim: SlotClaim, nowMs: number): Use | undefined {
		const {sender: {name, incarnation}, sequence, running, lingeringMs, untilMs, pending, refusals, load} = claim;
		let known = entry.uses.get(name);
		if (known && known.incarnation !== incarnation) {
			entry.uses.set(`${name} ${known.incarnation}`, {...known, endsAtMs: Math.min(known.endsAtMs, nowMs + restartLingerMs), expiresAtMs: nowMs + restartLingerMs});
			known = undefined;
		}

		if (known && sequence <= known.sequence) {
			return undefined;
		}

		const use: Use = {
			incarnation, sequence, running, lingering: lingeringMs.map(ms => nowMs + ms), refusals, granted: new Set(pending.filter(id => known?.granted.has(id))), endsAtMs: nowMs + untilMs + endMarginMs, expiresAtMs: nowMs + Math.max(untilMs + endMarginMs, idleClaimMs),
		};
		entry.uses.set(name, use);
		if (refusals > (known?.refusals ?? 0)) {
			entry.refusedAtMs = nowMs;
			entry.refusedAtLeases = leasedSlots(entry, nowMs);
			log.info('backend server refused a request within its slots.', {
				backend: claim.backend, slots: entry.slots, leased: entry.refusedAtLeases, unclaimed: unclaimedRequests(entry), daemons: entry.uses.size, by: name,
			});
		}

		if (load !== undefined) {
			// It may still count the request whose answer stated it.
			entry.excesses.push({atMs: nowMs, excess: load - 1 - leasedSlots(entry, nowMs)});
		}

		return use;
	}

	private entryOf({backend, slots}: SlotClaim): LedgerEntry {
		const entry = this.entries.get(backend) ?? {
			slots, uses: new Map(), refusedAtMs: Number.NEGATIVE_INFINITY, refusedAtLeases: slots, grantTimes: [], denialTimes: [], excesses: [],
		};
		entry.slots = slots;
		this.entries.set(backend, entry);
		return entry;
	}
}

function tryGrant(entry: LedgerEntry, use: Use, id: number, nowMs: number): boolean {
	const isPaused = nowMs - entry.refusedAtMs < refusalPauseMs;
	if (isPaused || leasedSlots(entry, nowMs) + unclaimedRequests(entry) + 1 > leaseLimit(entry, nowMs)) {
		return false;
	}

	use.granted.add(id);
	entry.grantTimes.push(nowMs);
	return true;
}

function dropExpired(entry: LedgerEntry, nowMs: number): void {
	for (const [name, {expiresAtMs}] of entry.uses) {
		if (expiresAtMs <= nowMs) {
			entry.uses.delete(name);
		}
	}

	entry.grantTimes = entry.grantTimes.filter(atMs => nowMs - atMs < observationMs);
	entry.denialTimes = entry.denialTimes.filter(atMs => nowMs - atMs < observationMs);
	entry.excesses = entry.excesses.filter(({atMs}) => nowMs - atMs < observationMs);
}

/** Counts the slots that daemons use or have been granted. */
function leasedSlots({uses}: LedgerEntry, nowMs: number): number {
	let leased = 0;
	for (const {running, lingering, granted, endsAtMs} of uses.values()) {
		leased += (nowMs < endsAtMs ? running + granted.size : 0) + lingering.filter(untilMs => untilMs > nowMs).length;
	}

	return leased;
}

/** Estimates the requests that a backend server holds and no daemon claims, such as those of clients that have left. Single reports are older or newer than the claims; the lowest excess of several is certain. */
function unclaimedRequests({excesses}: LedgerEntry): number {
	return excesses.length < minLoadReports ? 0 : Math.max(0, Math.min(...excesses.map(({excess}) => excess)));
}

/** Returns the most leases of a backend server: its slots, or fewer for a while after it refused a request with fewer leased, since memory or requests of others occupied it. */
function leaseLimit({slots, refusedAtMs, refusedAtLeases}: LedgerEntry, nowMs: number): number {
	const recovered = slots * Math.max(0, nowMs - refusedAtMs - refusalPauseMs) / recoveryMs;
	return Math.min(slots, Math.max(1, refusedAtLeases) + recovered);
}

/** Returns when a daemon may ask again: later the more requests are denied beyond one for each that is granted, so that the denials don't grow with the fleet. */
function retryAfterMs({grantTimes, denialTimes}: LedgerEntry, nowMs: number): number {
	const count = (times: number[]) => times.filter(atMs => nowMs - atMs < observationMs).length;
	const grants = Math.max(1, count(grantTimes));
	return Math.min(maxRetryMs, Math.max(minRetryMs, observationMs * (count(denialTimes) - grants) / (2 * grants)));
}
