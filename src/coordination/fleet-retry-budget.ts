/**
 * The retry budget of each service over all daemons. It answers the load of replicas that fail
 * together while daemons restart or are cut off: every daemon wants to retry most of its
 * requests, and a limit that each keeps by itself is granted again with each restart.
 *
 * Daemons report their first and further attempts to each other, so a daemon may use what the
 * others leave of the budget. A daemon that hears from few of the others gets an equal part of
 * what was left when it lost them, and what its own first attempts earn since. What a restarted
 * daemon cannot know counts as used.
 */
import {type FirstStart} from './first-start.js';
import {type AccountUse, type AccountWindow, type UseProfile} from './account-window.js';
import {CostMeter} from './cost-meter.js';
import {type Demand} from './demand-share.js';
import {partWithinLimit} from './limit-sharing.js';
import {silentAfterMs} from './fleet/reported-group.js';
import {type QuotaPeers} from './quota-ledger.js';
import {
	type RetryBudget, type RetryBudgetLimits, type RetryPurpose, usableShares,
} from './retry-budget.js';
import {type SharedUse, SharedWindows, type WindowBound} from './shared-windows.js';

/** Share of what its first attempts earn that a restarted daemon uses while it does not know the window: the retries of before the restart were earned by earlier requests. */
const restartedShare = 0.5;

/** The kinds of attempts that are counted, as they stand in the keys of the windows. */
enum AttemptKind {
	First = 'first',
	Further = 'further',
}

/** What a {@link FleetRetryBudget} depends on. */
export type FleetRetryBudgetParts = {
	limits: RetryBudgetLimits;
	startedAtMs: number;
	firstStart: Pick<FirstStart, 'isConfirmed'>;
	/** Returns what is known of the other daemons. */
	peers: (nowMs: number) => QuotaPeers;
	/** Returns a uniform random number from 0 to 1. */
	random: () => number;
};

/** This daemon's view of the retry budgets of all services. */
export class FleetRetryBudget implements RetryBudget, SharedUse {
	private readonly windows: SharedWindows;
	/** First attempts of this daemon's requests, and of all others. */
	private readonly ownRequests = new CostMeter();
	private readonly otherRequests = new CostMeter();
	/** Since when this daemon has heard from few of the others. */
	private isolatedSinceMs: number | undefined;

	constructor(private readonly parts: FleetRetryBudgetParts) {
		const {limits, startedAtMs, firstStart} = parts;
		this.windows = new SharedWindows({windowMs: limits.windowMs, startedAtMs, firstStart});
	}

	get isMissingProfiles(): boolean {
		return this.windows.isMissingProfiles;
	}

	countRequest(service: string, nowMs: number): void {
		this.window(service, AttemptKind.First).addOwn(1, nowMs);
		this.ownRequests.add(1, nowMs);
	}

	tryTake(service: string, purpose: RetryPurpose, nowMs: number): boolean {
		const further = this.window(service, AttemptKind.Further);
		further.ownRequested.add(1, nowMs);
		if (this.parts.random() >= this.grantedShare(service, purpose, nowMs)) {
			further.own.refused++;
			return false;
		}

		further.addOwn(1, nowMs);
		return true;
	}

	giveBack(service: string, takenAtMs: number, nowMs: number): void {
		this.window(service, AttemptKind.Further).removeOwn(1, takenAtMs, nowMs);
	}

	describe(service: string, nowMs: number): string {
		const {daemons, silentDaemons, unreportedDaemons, isIsolated} = this.parts.peers(nowMs);
		const further = this.window(service, AttemptKind.Further);
		const peers = `${daemons} daemons, ${silentDaemons} silent, ${unreportedDaemons} unreported${isIsolated ? ', isolated' : ''}`;
		return `${further.sum(nowMs)} repeats for ${this.window(service, AttemptKind.First).sum(nowMs)} requests, ${further.ownSum(nowMs)} of this daemon, ${peers}`;
	}

	addPeerUse(key: string, use: AccountUse, nowMs: number): void {
		this.windows.addPeerUse(key, use, nowMs);
		if (readKey(key)[0] === AttemptKind.First) {
			this.otherRequests.add(use.admitted, nowMs);
		}
	}

	/** Returns the requests that this daemon and the others receive, of all services. */
	demand(nowMs: number): Demand {
		const {daemons, reportIntervalMs, silentDaemons, unreportedDaemons, isIsolated} = this.parts.peers(nowMs);
		return {
			ownPerSecond: this.ownRequests.ratePerMs(reportIntervalMs, nowMs) * 1000,
			othersPerSecond: this.otherRequests.ratePerMs(reportIntervalMs, nowMs) * 1000,
			daemons,
			isComplete: silentDaemons === 0 && unreportedDaemons === 0 && !isIsolated,
		};
	}

	noteMissedReports(): void {
		this.windows.noteMissedReports();
	}

	adoptProfiles(profiles: Record<string, UseProfile>, nowMs: number): void {
		this.windows.adoptProfiles(profiles, nowMs);
	}

	adoptStoredBounds(bounds: Record<string, WindowBound>, nowMs: number): void {
		this.windows.adoptStoredBounds(bounds, nowMs);
	}

	ownTotals(): Map<string, AccountUse> {
		return this.windows.ownTotals();
	}

	profiles(nowMs: number): Record<string, UseProfile> | undefined {
		return this.windows.profiles(nowMs);
	}

	boundsToStore(reportIntervalMs: number, nowMs: number): Record<string, WindowBound> | undefined {
		const {ratio, slack} = this.parts.limits;
		const limitOf = (key: string) => {
			const [kind, service] = readKey(key);
			// A bound must not grant what first attempts may earn until the next write.
			return kind === AttemptKind.First ? 0 : (ratio * this.window(service, AttemptKind.First).sum(nowMs)) + slack;
		};

		return this.windows.boundsToStore(limitOf, reportIntervalMs, nowMs);
	}

	exceedsBounds(bounds: Record<string, WindowBound>, nowMs: number): boolean {
		const isFurther = (key: string) => readKey(key)[0] === AttemptKind.Further;
		return this.windows.exceedsBounds(bounds, nowMs, isFurther);
	}

	/** Returns the share of the retries to grant now. */
	private grantedShare(service: string, purpose: RetryPurpose, nowMs: number): number {
		const peers = this.parts.peers(nowMs);
		const isAlone = peers.isIsolated || peers.unreportedDaemons > 0;
		// Peers were last heard from some time before they counted as silent.
		this.isolatedSinceMs = isAlone ? this.isolatedSinceMs ?? nowMs - silentAfterMs : undefined;
		const usableShare = usableShares[purpose];
		if (this.isolatedSinceMs !== undefined) {
			const own = this.window(service, AttemptKind.Further).ownSumSince(this.isolatedSinceMs, nowMs);
			return own + 1 <= this.isolatedLimit(service, peers, this.isolatedSinceMs, nowMs) * usableShare ? 1 : 0;
		}

		const limit = this.limit(service, peers, nowMs) * usableShare;
		return partWithinLimit(this.window(service, AttemptKind.Further), 1, {units: limit, lastsMs: 0}, peers, nowMs);
	}

	/** Returns the further attempts that all daemons may make in the window, less the shares of silent ones. */
	private limit(service: string, {daemons, silentDaemons}: QuotaPeers, nowMs: number): number {
		const {ratio, slack} = this.parts.limits;
		const firstAttempts = this.window(service, AttemptKind.First).sum(nowMs);
		if (!this.windows.isHistoryKnown && this.windows.isRestarted(nowMs)) {
			return ratio * firstAttempts * restartedShare;
		}

		const heardShare = 1 - (Math.min(silentDaemons, daemons - 1) / Math.max(1, daemons));
		return (ratio * firstAttempts) + (slack * heardShare);
	}

	/** Returns the further attempts that this daemon may make while it hears from few of the others. */
	private isolatedLimit(service: string, {daemons, unreportedDaemons}: QuotaPeers, sinceMs: number, nowMs: number): number {
		const {ratio, slack} = this.parts.limits;
		const first = this.window(service, AttemptKind.First);
		const further = this.window(service, AttemptKind.Further);
		const earned = ratio * first.ownSumSince(sinceMs, nowMs);
		const left = (ratio * (first.sum(nowMs) - first.ownSumSince(sinceMs, nowMs))) + slack - (further.sum(nowMs) - further.ownSumSince(sinceMs, nowMs));
		if (this.windows.isRestarted(nowMs)) {
			return earned * restartedShare;
		}

		return earned + (left / Math.max(1, daemons + unreportedDaemons));
	}

	private window(service: string, kind: AttemptKind): AccountWindow {
		return this.windows.get(`${kind} ${service}`);
	}
}

function readKey(key: string): [kind: AttemptKind, service: string] {
	const [kind] = key.split(' ', 1);
	return [kind as AttemptKind, key.slice(kind.length + 1)];
}
