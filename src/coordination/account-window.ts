/** Tracks what was admitted to one client account within the sliding window of its limit. */
import {CostMeter} from './cost-meter.js';
import {LimitHistory} from './limit-history.js';
import {ServiceMix} from './service-mix.js';

/** Steps that the window is counted in. */
const windowSteps = 32;
/** Parts of equal length in the profile of a window that daemons exchange. */
export const profileParts = 8;
const stepsPerPart = windowSteps / profileParts;

/** What was admitted in a window, in cost units for each equal part of the window, the newest first. */
export type UseProfile = number[];

/** What was admitted to an account and what it was refused, in cost units. */
export type AccountUse = {admitted: number; refused: number};

/** The cost units admitted in one step. */
type UseEntry = {
	step: number;
	cost: number;
	/** Whether it is an estimate that the profile of a peer replaces. */
	isEstimate?: boolean;
};

/** The sliding window of one account. */
export class AccountWindow {
	/** What this daemon admitted and refused since its start. */
	readonly own: AccountUse = {admitted: 0, refused: 0};
	/** Rate of the cost requested from this daemon. */
	readonly ownRequested = new CostMeter();
	/** Services of the requests that this daemon received. */
	readonly services = new ServiceMix();
	/** Rate of the cost admitted by peers. */
	readonly peersAdmitted = new CostMeter();
	/** Rate of the cost requested from peers. */
	readonly peersRequested = new CostMeter();
	/** The account's limits that were in force within the window. */
	readonly limits: LimitHistory;
	/** What all daemons admitted, ordered by step. */
	private uses: UseEntry[] = [];
	/** What this daemon admitted, ordered by step. */
	private readonly ownUses: UseEntry[] = [];

	constructor(private readonly windowMs: number) {
		this.limits = new LimitHistory(windowMs);
	}

	/** Adds a cost that any daemon admitted. */
	add(cost: number, nowMs: number): void {
		addAt(this.uses, cost, this.stepAt(nowMs));
	}

	/** Adds a cost that this daemon admitted; negative for a refund. */
	addOwn(cost: number, nowMs: number): void {
		this.own.admitted += cost;
		this.add(cost, nowMs);
		addAt(this.ownUses, cost, this.stepAt(nowMs));
	}

	/** Takes back what this daemon added at a time, if that is still in the window. */
	removeOwn(cost: number, addedAtMs: number, nowMs: number): void {
		this.dropExpired(nowMs);
		const step = this.stepAt(addedAtMs);
		const ownUse = this.ownUses.find(use => use.step === step);
		const use = this.uses.find(other => other.step === step && !other.isEstimate);
		if (ownUse && use) {
			ownUse.cost -= cost;
			use.cost -= cost;
			this.own.admitted -= cost;
		}
	}

	/** Replaces estimates by what another daemon knows of the window beyond what this one does. The added cost leaves the window part by part, according to its age. */
	adoptProfile(profile: UseProfile, nowMs: number): void {
		this.uses = this.uses.filter(use => !use.isEstimate);
		this.addMissing(profile, false, nowMs);
	}

	/** Adds an estimate of what was admitted, until the profile of a peer replaces it. */
	adoptEstimate(profile: UseProfile, nowMs: number): void {
		this.addMissing(profile, true, nowMs);
	}

	/** Returns what all daemons admitted in the window, by age. */
	profile(nowMs: number): UseProfile {
		this.dropExpired(nowMs);
		const step = this.stepAt(nowMs);
		const profile: UseProfile = Array.from({length: profileParts}, () => 0);
		for (const use of this.uses) {
			profile[Math.min(profileParts - 1, Math.floor((step - use.step) / stepsPerPart))] += use.cost;
		}

		return profile;
	}

	/** Returns the cost units that all daemons admitted in the window. */
	sum(nowMs: number): number {
		this.dropExpired(nowMs);
		return costOf(this.uses);
	}

	/** Returns the cost units that this daemon admitted in the window. */
	ownSum(nowMs: number): number {
		this.dropExpired(nowMs);
		return costOf(this.ownUses);
	}

	/** Returns the cost units that this daemon admitted in the window from a time on. */
	ownSumSince(sinceMs: number, nowMs: number): number {
		this.dropExpired(nowMs);
		const step = this.stepAt(sinceMs);
		return costOf(this.ownUses.filter(use => use.step >= step));
	}

	/** Returns the time until the oldest entry leaves the window, in milliseconds. */
	nextExpiryMs(nowMs: number): number {
		const oldest = this.uses.at(0);
		return oldest ? Math.max(1, this.expiryMs(oldest, nowMs)) : 0;
	}

	/**
	 * Returns the highest rate, in cost units a millisecond, at which cost can be admitted until
	 * `untilMs` from now without running out before older entries leave the window.
	 *
	 * @param remaining Cost units that may be admitted now.
	 */
	sustainableRatePerMs(remaining: number, untilMs: number, nowMs: number): number {
		this.dropExpired(nowMs);
		let available = remaining;
		let rate = Number.POSITIVE_INFINITY;
		for (const use of this.uses) {
			const expiryMs = this.expiryMs(use, nowMs);
			if (expiryMs >= untilMs) {
				break;
			}

			rate = Math.min(rate, available / Math.max(1, expiryMs));
			available += use.cost;
		}

		return Math.min(rate, available / untilMs);
	}

	/** Adds what a profile holds beyond what is known, for each part of the window. */
	private addMissing(profile: UseProfile, isEstimate: boolean, nowMs: number): void {
		const known = this.profile(nowMs);
		const step = this.stepAt(nowMs);
		for (const [part, cost] of profile.slice(0, profileParts).entries()) {
			if (cost > known[part]) {
				this.uses.push({step: step - (part * stepsPerPart) - (stepsPerPart / 2), cost: cost - known[part], isEstimate});
			}
		}

		this.uses.sort((a, b) => a.step - b.step);
	}

	/** Returns the time until an entry leaves the window, in milliseconds. */
	private expiryMs({step}: UseEntry, nowMs: number): number {
		return ((step + windowSteps + 1) / windowSteps * this.windowMs) - nowMs;
	}

	private stepAt(nowMs: number): number {
		return Math.floor(nowMs / this.windowMs * windowSteps);
	}

	private dropExpired(nowMs: number): void {
		const oldest = this.stepAt(nowMs) - windowSteps;
		for (const uses of [this.uses, this.ownUses]) {
			while (uses.length > 0 && uses[0].step < oldest) {
				uses.shift();
			}
		}
	}
}

function addAt(uses: UseEntry[], cost: number, step: number): void {
	const last = uses.at(-1);
	if (last?.step === step) {
		last.cost += cost;
	} else {
		uses.push({step, cost});
	}
}

function costOf(uses: UseEntry[]): number {
	let sum = 0;
	for (const use of uses) {
		sum += use.cost;
	}

	return sum;
}

/** Returns the cost units of a whole profile. */
export function sumOfProfile(profile: UseProfile): number {
	let sum = 0;
	for (const cost of profile) {
		sum += cost;
	}

	return sum;
}
