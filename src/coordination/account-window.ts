/** What was admitted to one client account in the window of its limit, by age. */
import {CostMeter} from './cost-meter.js';
import {LimitHistory} from './limit-history.js';

/** The window is counted in this many steps. */
const steps = 32;
/** What daemons tell each other of a window has this many parts of equal length. */
export const profileParts = 8;
const partSteps = steps / profileParts;

/** What was admitted in a window, in cost units by age: an equal part of the window each, the newest first. */
export type UseProfile = number[];

/** What an account was admitted and refused, in cost units. */
export type AccountUse = {admitted: number; refused: number};

type Use = {
	step: number;
	cost: number;
	/** Whether it is a guess that a peer's word takes the place of. */
	isGuess?: boolean;
};

/** What was admitted to one account in the window. */
export class AccountWindow {
	/** Admitted and refused by this daemon since its start. */
	readonly own: AccountUse = {admitted: 0, refused: 0};
	/** What was asked of this daemon of late. */
	readonly ownAsked = new CostMeter();
	/** What peers admitted of late. */
	readonly peersAdmitted = new CostMeter();
	/** What was asked of peers of late. */
	readonly peersAsked = new CostMeter();
	readonly limits: LimitHistory;
	/** In the order of their steps. */
	private uses: Use[] = [];
	/** The part of them that this daemon admitted. */
	private readonly ownUses: Use[] = [];

	constructor(private readonly windowMs: number) {
		this.limits = new LimitHistory(windowMs);
	}

	/** Counts what any daemon was admitted. */
	add(cost: number, nowMs: number): void {
		addAt(this.uses, cost, this.stepAt(nowMs));
	}

	/** Counts what this daemon admitted; less than nothing for what it takes back. */
	addOwn(cost: number, nowMs: number): void {
		this.own.admitted += cost;
		this.add(cost, nowMs);
		addAt(this.ownUses, cost, this.stepAt(nowMs));
	}

	/** Takes over what another daemon knows of the window beyond what this one does, in place of what was guessed. It leaves the window by and by, as it did there. */
	adopt(told: UseProfile, nowMs: number): void {
		this.uses = this.uses.filter(use => !use.isGuess);
		this.addBeyondKnown(told, false, nowMs);
	}

	/** Guesses what was admitted, until a daemon that knows says so. */
	guess(profile: UseProfile, nowMs: number): void {
		this.addBeyondKnown(profile, true, nowMs);
	}

	/** What was admitted in the window, by age. */
	profile(nowMs: number): UseProfile {
		this.forget(nowMs);
		const step = this.stepAt(nowMs);
		const profile: UseProfile = Array.from({length: profileParts}, () => 0);
		for (const use of this.uses) {
			profile[Math.min(profileParts - 1, Math.floor((step - use.step) / partSteps))] += use.cost;
		}

		return profile;
	}

	/** Cost units admitted in the window. */
	sum(nowMs: number): number {
		this.forget(nowMs);
		return costOf(this.uses);
	}

	/** Cost units that this daemon admitted in the window. */
	ownSum(nowMs: number): number {
		this.forget(nowMs);
		return costOf(this.ownUses);
	}

	/** Milliseconds until the oldest use leaves the window. */
	untilFreeMs(nowMs: number): number {
		const oldest = this.uses.at(0);
		return oldest ? Math.max(1, ((oldest.step + steps + 1) / steps * this.windowMs) - nowMs) : 0;
	}

	private addBeyondKnown(profile: UseProfile, isGuess: boolean, nowMs: number): void {
		const known = this.profile(nowMs);
		const step = this.stepAt(nowMs);
		for (const [part, cost] of profile.slice(0, profileParts).entries()) {
			if (cost > known[part]) {
				this.uses.push({step: step - (part * partSteps) - (partSteps / 2), cost: cost - known[part], isGuess});
			}
		}

		this.uses.sort((a, b) => a.step - b.step);
	}

	private stepAt(nowMs: number): number {
		return Math.floor(nowMs / this.windowMs * steps);
	}

	private forget(nowMs: number): void {
		const oldest = this.stepAt(nowMs) - steps;
		for (const uses of [this.uses, this.ownUses]) {
			while (uses.length > 0 && uses[0].step < oldest) {
				uses.shift();
			}
		}
	}
}

function addAt(uses: Use[], cost: number, step: number): void {
	const last = uses.at(-1);
	if (last?.step === step) {
		last.cost += cost;
	} else {
		uses.push({step, cost});
	}
}

function costOf(uses: Use[]): number {
	let sum = 0;
	for (const use of uses) {
		sum += use.cost;
	}

	return sum;
}

/** Cost units of a whole profile. */
export function sumOfProfile(profile: UseProfile): number {
	let sum = 0;
	for (const cost of profile) {
		sum += cost;
	}

	return sum;
}
