/**
 * Sliding windows of what all daemons used of something that is limited over the whole fleet.
 * Each daemon adds its own use and that which its peers report. A daemon that has just started
 * takes over the windows from a peer, or from the record that the duty holder keeps in the
 * store for the case that all daemons are killed at once; otherwise it would grant the same
 * limit once more.
 */
import {type FirstStart} from './first-start.js';
import {
	type AccountUse, AccountWindow, profileParts, sumOfProfile, type UseProfile,
} from './account-window.js';

/** Time for which a stored bound must hold, in milliseconds: until the next one is written and can be read, including the delay of peers' reports to the writer. */
const boundLifetimeMs = 2500;
/** Factor on the cost that is expected to be requested in that time, since its rate may rise. */
const expectedCostFactor = 1.5;

/** What all daemons used in a window, and what they may use in addition until the next record is written, in cost units. */
export type WindowBound = {uses: UseProfile; ahead: number};

/** What daemons exchange and store of their shared use, by key. */
export type SharedUse = {
	/** Whether this daemon still needs the profiles of a peer. */
	readonly isMissingProfiles: boolean;
	/** Returns everything that this daemon used and refused since its start. */
	ownTotals(): Map<string, AccountUse>;
	/** Adds what peers used and refused since their last report. */
	addPeerUse(key: string, use: AccountUse, nowMs: number): void;
	/** Records that peers may have used something whose reports were lost; the next profiles that a peer sends make up for them. */
	noteMissedReports(): void;
	/** Returns what all daemons used in the window, for peers that have just started; undefined while this daemon does not know the whole window. */
	profiles(nowMs: number): Record<string, UseProfile> | undefined;
	/** Takes over the windows as a peer knows them, once after a start or after reports may have been lost; what is used later comes with the peers' reports. */
	adoptProfiles(profiles: Record<string, UseProfile>, nowMs: number): void;
	/** Returns the bounds to store for the case that all daemons are lost at once: what they used in the window and may use until the next write; undefined while this daemon does not know the whole window. */
	boundsToStore(reportIntervalMs: number, nowMs: number): Record<string, WindowBound> | undefined;
	/** Takes over the bounds stored before this daemon started, as if written just now, since the time for which all daemons were down is unknown. The profiles of a peer replace them. */
	adoptStoredBounds(bounds: Record<string, WindowBound>, nowMs: number): void;
	/** Returns whether more was used than the bounds cover, so that a daemon that started from them would grant too much. */
	exceedsBounds(bounds: Record<string, WindowBound>, nowMs: number): boolean;
};

/** The length of the windows, and since when this daemon tracks them. */
export type SharedWindowsOptions = {
	windowMs: number;
	startedAtMs: number;
	firstStart: Pick<FirstStart, 'isConfirmed'>;
};

/** The windows of one kind of limit, by key. */
export class SharedWindows {
	private readonly windows = new Map<string, AccountWindow>();
	private hasAdoptedHistory = false;
	/** Whether reports were missed or made up for since the start; undefined if neither. */
	private hasMissedReports: boolean | undefined;

	constructor(private readonly options: SharedWindowsOptions) {}

	/** Whether the history of the windows is known: from a peer, from the store, or because the whole system starts for the first time. */
	get isHistoryKnown(): boolean {
		return this.hasAdoptedHistory || this.options.firstStart.isConfirmed;
	}

	/** Whether the next profiles that a peer sends are taken over. */
	get isMissingProfiles(): boolean {
		return this.hasMissedReports ?? !this.options.firstStart.isConfirmed;
	}

	/** Returns the window of a key. */
	get(key: string): AccountWindow {
		let window = this.windows.get(key);
		if (!window) {
			window = new AccountWindow(this.options.windowMs);
			this.windows.set(key, window);
		}

		return window;
	}

	/** Returns the share of the window that this daemon has seen itself. */
	seenShare(nowMs: number): number {
		return Math.min(1, (nowMs - this.options.startedAtMs) / this.options.windowMs);
	}

	/** Whether this daemon was started within the last window, after it or others may have used something. */
	isRestarted(nowMs: number): boolean {
		return !this.options.firstStart.isConfirmed && nowMs - this.options.startedAtMs < this.options.windowMs;
	}

	/** Adds what peers used and refused since their last report. */
	addPeerUse(key: string, use: AccountUse, nowMs: number): void {
		if (use.admitted === 0 && use.refused === 0) {
			return;
		}

		const window = this.get(key);
		window.add(use.admitted, nowMs);
		window.peersAdmitted.add(use.admitted, nowMs);
		window.peersRequested.add(use.admitted + use.refused, nowMs);
	}

	noteMissedReports(): void {
		this.hasMissedReports = true;
	}

	adoptProfiles(profiles: Record<string, UseProfile>, nowMs: number): void {
		if (!this.isMissingProfiles) {
			return;
		}

		this.hasMissedReports = false;
		this.hasAdoptedHistory = true;
		for (const key of new Set([...this.windows.keys(), ...Object.keys(profiles)])) {
			this.get(key).adoptProfile(profiles[key] ?? [], nowMs);
		}
	}

	adoptStoredBounds(bounds: Record<string, WindowBound>, nowMs: number): void {
		if (!this.isMissingProfiles || this.isHistoryKnown) {
			return;
		}

		this.hasAdoptedHistory = true;
		for (const [key, {uses, ahead}] of Object.entries(bounds)) {
			const [newest = 0, ...older] = uses;
			this.get(key).adoptEstimate([newest + ahead, ...older], nowMs);
		}
	}

	ownTotals(): Map<string, AccountUse> {
		return new Map([...this.windows].map(([key, window]) => [key, {...window.own}]));
	}

	profiles(nowMs: number): Record<string, UseProfile> | undefined {
		if (!this.isHistoryKnown && this.seenShare(nowMs) < 1) {
			return undefined;
		}

		return Object.fromEntries([...this.windows].map(([key, window]) => [key, window.profile(nowMs).map(cost => Math.round(cost))]));
	}

	/** Returns whether more was used than the bounds cover, under any key that `includes` accepts. */
	exceedsBounds(bounds: Record<string, WindowBound>, nowMs: number, includes: (key: string) => boolean = () => true): boolean {
		return [...this.windows].filter(([key]) => includes(key)).some(([key, window]) => {
			const bound = bounds[key];
			return window.sum(nowMs) > (bound ? sumOfProfile(bound.uses) + bound.ahead : 0);
		});
	}

	/**
	 * Returns the bounds to store.
	 *
	 * @param limitOf Returns the cost units that a key may use in a window; undefined if it has no limit.
	 */
	boundsToStore(limitOf: (key: string, window: AccountWindow) => number | undefined, reportIntervalMs: number, nowMs: number): Record<string, WindowBound> | undefined {
		const profiles = this.profiles(nowMs);
		return profiles && Object.fromEntries(Object.entries(profiles).map(([key, uses]) => {
			const window = this.get(key);
			const expected = (window.peersRequested.ratePerMs(reportIntervalMs, nowMs) + window.ownRequested.ratePerMs(reportIntervalMs, nowMs)) * boundLifetimeMs * expectedCostFactor;
			const limit = limitOf(key, window) ?? Number.POSITIVE_INFINITY;
			return [key, {uses, ahead: Math.round(Math.max(0, Math.min(expected, limit - this.costStillInWindow(uses))))}];
		}));
	}

	/** Returns the cost of a profile that will not have left the window when the bound is replaced. */
	private costStillInWindow(uses: UseProfile): number {
		return sumOfProfile(uses.slice(0, Math.floor(profileParts * (1 - (boundLifetimeMs / this.options.windowMs)))));
	}
}
