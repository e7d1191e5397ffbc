import {describe, expect, it} from 'vitest';
import {type Demand, DemandShare} from '../demand-share.js';

const demand = (ownPerSecond: number, othersPerSecond: number, isComplete = true): Demand => ({
	ownPerSecond, othersPerSecond, daemons: 4, isComplete,
});
/** Time by which a change of the demand counts, in milliseconds. */
const settledMs = 1500;

/** Returns the usable share at a time, asked for regularly from time 0 on while the demand changes. */
function usableShare(demandAt: (nowMs: number) => Demand, untilMs: number): number {
	const share = new DemandShare(demandAt);
	let last = 0;
	for (let nowMs = 0; nowMs <= untilMs; nowMs += 50) {
		last = share.usable(nowMs);
	}

	return last;
}

describe('DemandShare', () => {
	it.each([
		{
			name: 'an equal share without any demand', demandAt: () => demand(0, 0), untilMs: settledMs, expected: 0.25,
		},
		{
			name: 'an equal share of an even demand', demandAt: () => demand(10, 30), untilMs: settledMs, expected: 0.25,
		},
		{
			name: 'most of a demand that it mostly has', demandAt: () => demand(80, 20), untilMs: settledMs, expected: 0.69,
		},
		{
			name: 'something without a demand of its own', demandAt: () => demand(0, 40), untilMs: settledMs, expected: 0.05,
		},
		{
			name: 'an equal share while others are silent', demandAt: () => demand(80, 20, false), untilMs: settledMs, expected: 0.25,
		},
		{
			name: 'its old share just after its demand has risen', demandAt: (nowMs: number) => nowMs < 1000 ? demand(10, 30) : demand(80, 20), untilMs: 2000, expected: 0.25,
		},
		{
			name: 'its new share a while after its demand has risen', demandAt: (nowMs: number) => nowMs < 1000 ? demand(10, 30) : demand(80, 20), untilMs: 1000 + settledMs, expected: 0.69,
		},
		{
			name: 'its new share as soon as its demand has fallen', demandAt: (nowMs: number) => nowMs < 1000 ? demand(80, 20) : demand(10, 30), untilMs: 1100, expected: 0.25,
		},
	])('gives a daemon $name', ({demandAt, untilMs, expected}) => {
		expect(usableShare(demandAt, untilMs)).toBeCloseTo(expected, 5);
	});

	it.each([
		{name: 'no demand', measured: demand(0, 0), expected: 1},
		{name: 'an even demand', measured: demand(10, 30), expected: 1},
		{name: 'most of the demand', measured: demand(75, 25), expected: 3},
	])('compares its demand with the mean: $name', ({measured, expected}) => {
		expect(new DemandShare(() => measured).multipleOfMean(0)).toBe(expected);
	});
});
