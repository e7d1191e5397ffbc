import {describe, expect, it} from 'vitest';
import {RolloutPhase} from '../rollout.js';
import {decidePhase, type RolloutProgress, shiftLeadMs} from '../rollout-decision.js';
import {Verdict} from '../version-verdict.js';

const canary: RolloutProgress = {
	phase: RolloutPhase.Canary, elapsedMs: 5000, inPhaseMs: 5000, durationMs: 12_000, verdict: Verdict.Undecided, readyCurrent: 10, readyNext: 10, inFlightCurrent: 40,
};
const shift: RolloutProgress = {
	...canary, phase: RolloutPhase.Shift, elapsedMs: 9500, inPhaseMs: 1500, verdict: Verdict.Good,
};

describe('decidePhase', () => {
	it.each([
		{name: 'stays in the test without a verdict', progress: canary, expected: undefined},
		{name: 'stays in the test of a good version while time remains, since it may turn bad', progress: {...canary, verdict: Verdict.Good}, expected: undefined},
		{name: 'moves traffic to a good version in time', progress: {...canary, verdict: Verdict.Good, elapsedMs: 8000}, expected: RolloutPhase.Shift},
		{
			name: 'does not move traffic to too few backend servers', progress: {
				...canary, verdict: Verdict.Good, elapsedMs: 8000, readyNext: 8,
			}, expected: undefined,
		},
		{name: 'rolls a bad version back at once', progress: {...canary, verdict: Verdict.Bad, elapsedMs: 900}, expected: RolloutPhase.RolledBack},
		{name: 'rolls an undecided version back before the order is due', progress: {...canary, elapsedMs: 9600}, expected: RolloutPhase.RolledBack},
		{name: 'moves traffic to a version whose verdict came with the last answers in time', progress: {...canary, verdict: Verdict.Good, elapsedMs: 9700}, expected: RolloutPhase.Shift},
		{name: 'rolls a good version back whose verdict came too late to move traffic', progress: {...canary, verdict: Verdict.Good, elapsedMs: 10_200}, expected: RolloutPhase.RolledBack},
		{
			name: 'rolls a good version back that has too few backend servers for too long', progress: {
				...canary, verdict: Verdict.Good, elapsedMs: 9600, readyNext: 8,
			}, expected: RolloutPhase.RolledBack,
		},
		{name: 'keeps the old version while requests run on it', progress: shift, expected: undefined},
		{name: 'completes once no request is left on the old version', progress: {...shift, inFlightCurrent: 0}, expected: RolloutPhase.Completed},
		{name: 'does not complete before all daemons know that traffic moves', progress: {...shift, inFlightCurrent: 0, inPhaseMs: 500}, expected: undefined},
		{name: 'waits for streams for a while after the order was due', progress: {...shift, elapsedMs: 14_000}, expected: undefined},
		{name: 'completes in the end although streams did not leave', progress: {...shift, elapsedMs: 22_500}, expected: RolloutPhase.Completed},
		{name: 'rolls a version back that turns bad under all traffic', progress: {...shift, verdict: Verdict.Bad}, expected: RolloutPhase.RolledBack},
		{name: 'rolls a version back whose backend servers are all gone', progress: {...shift, readyNext: 0}, expected: RolloutPhase.RolledBack},
		{name: 'never leaves the completed phase', progress: {...shift, phase: RolloutPhase.Completed, verdict: Verdict.Bad}, expected: undefined},
		{name: 'never leaves the rolled-back phase', progress: {...canary, phase: RolloutPhase.RolledBack, verdict: Verdict.Good}, expected: undefined},
	])('$name', ({progress, expected}) => {
		expect(decidePhase(progress)?.phase).toBe(expected);
	});

	it.each([
		{durationMs: 12_000, expected: 4000},
		{durationMs: 60_000, expected: 15_000},
		{durationMs: 5000, expected: 3000},
	])('begins to move traffic $expected ms before an order of $durationMs ms is due', ({durationMs, expected}) => {
		expect(shiftLeadMs(durationMs)).toBe(expected);
	});
});
