/**
 * Decides when a roll-out enters its next phase. The test lasts as long as the order's time
 * allows, since some versions only turn bad after a while or under load. A version without a
 * verdict is rolled back before the order is due.
 */
import {RolloutPhase} from './rollout.js';
import {Verdict} from './version-verdict.js';

/** Share of an order's time that is kept for moving all traffic, and its lower bound in milliseconds: an update reaches all daemons within a second, and short streams end within three. */
const shiftShare = 0.25;
const minShiftMs = 4000;
/** Largest share of an order's time that the lower bound may take. */
const maxShiftShare = 0.6;
/** Least time for moving all traffic, in milliseconds; with less, a version is rolled back instead. */
const leastShiftMs = 2500;
/** Interval between two decisions, in milliseconds: a verdict waits no longer than a round of reports. */
export const rolloutStepIntervalMs = 250;
/** Decisions by which a verdict may be late, since the last answers are counted with the next decision. */
const lateDecisions = 2;
/** Time after which every daemon sends its requests to the new version, in milliseconds. */
const propagationMs = 1200;
/** How long after the order is due streams may keep their old engine from being stopped, in milliseconds. */
const maxOverrunMs = 10_000;
/** Share of the current version's backend servers that the new version needs at least as many of to take all traffic. */
const minCapacityShare = 0.9;

/** How far a roll-out has come. */
export type RolloutProgress = {
	phase: RolloutPhase;
	/** Time since the order, and since the present phase began, in milliseconds. */
	elapsedMs: number;
	inPhaseMs: number;
	durationMs: number;
	verdict: Verdict;
	/** Backend servers of each version that accept work. */
	readyCurrent: number;
	readyNext: number;
	/** Requests that all daemons have in flight at the current version. */
	inFlightCurrent: number;
};

/** A change of phase, and its reason for logs. */
export type PhaseChange = {phase: RolloutPhase; reason: string};

/** Returns the next phase of a roll-out, or undefined while it stays in the present one. */
export function decidePhase(progress: RolloutProgress): PhaseChange | undefined {
	const {phase, verdict} = progress;
	if (verdict === Verdict.Bad && (phase === RolloutPhase.Canary || phase === RolloutPhase.Shift)) {
		return {phase: RolloutPhase.RolledBack, reason: 'the new version answers worse than the current one'};
	}

	switch (phase) {
		case RolloutPhase.Canary: {
			return decideCanary(progress);
		}

		case RolloutPhase.Shift: {
			return decideShift(progress);
		}

		case RolloutPhase.Completed:
		case RolloutPhase.RolledBack: {
			return undefined;
		}
	}
}

/** Time before an order is due at which traffic starts to move, in milliseconds. */
export function shiftLeadMs(durationMs: number): number {
	return Math.min(durationMs * maxShiftShare, Math.max(minShiftMs, durationMs * shiftShare));
}

function decideCanary({elapsedMs, durationMs, verdict, readyCurrent, readyNext}: RolloutProgress): PhaseChange | undefined {
	const remainingMs = durationMs - elapsedMs;
	const hasCapacity = readyNext > 0 && readyNext >= readyCurrent * minCapacityShare;
	const canShiftInTime = remainingMs >= Math.min(leastShiftMs - (lateDecisions * rolloutStepIntervalMs), durationMs * maxShiftShare);
	if (canShiftInTime && remainingMs <= shiftLeadMs(durationMs) && verdict === Verdict.Good && hasCapacity) {
		return {phase: RolloutPhase.Shift, reason: 'the new version answers as well as the current one'};
	}

	return remainingMs < Math.min(leastShiftMs, durationMs * maxShiftShare) ? {phase: RolloutPhase.RolledBack, reason: 'no verdict in time'} : undefined;
}

function decideShift({elapsedMs, inPhaseMs, durationMs, inFlightCurrent, readyNext}: RolloutProgress): PhaseChange | undefined {
	if (readyNext === 0) {
		return {phase: RolloutPhase.RolledBack, reason: 'no backend server of the new version is left'};
	}

	const isDrained = inFlightCurrent === 0 && inPhaseMs >= propagationMs;
	if (isDrained || elapsedMs >= durationMs + maxOverrunMs) {
		return {phase: RolloutPhase.Completed, reason: isDrained ? 'no request is left on the current version' : 'streams did not leave the current version in time'};
	}

	return undefined;
}
