import {describe, expect, it} from 'vitest';
import {SweepDelays} from '../sweep-delays.js';

describe('SweepDelays', () => {
	it.each([
		{
			name: 'no sweep', sweepsAtMs: [], nowMs: 500, expected: 0,
		},
		{
			name: 'one sweep', sweepsAtMs: [100], nowMs: 150, expected: 0,
		},
		{
			name: 'punctual sweeps', sweepsAtMs: [100, 200, 300], nowMs: 300, expected: 0,
		},
		{
			name: 'a late sweep', sweepsAtMs: [100, 270, 370], nowMs: 370, expected: 70,
		},
		{
			name: 'a sweep that is overdue', sweepsAtMs: [100, 200], nowMs: 390, expected: 90,
		},
		{
			name: 'a late sweep of two seconds ago', sweepsAtMs: [100, 270, 1270, ...Array.from({length: 12}, (_, index) => 1370 + (index * 100))], nowMs: 2470, expected: 900,
		},
		{
			name: 'a late sweep of longer ago', sweepsAtMs: [100, 270, ...Array.from({length: 21}, (_, index) => 370 + (index * 100))], nowMs: 2370, expected: 0,
		},
	])('returns $expected ms after $name', ({sweepsAtMs, nowMs, expected}) => {
		const delays = new SweepDelays(100);
		for (const atMs of sweepsAtMs) {
			delays.note(atMs);
		}

		expect(delays.largestMs(nowMs)).toBe(expected);
	});
});
