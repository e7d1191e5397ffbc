import {describe, expect, it} from 'vitest';
import {MergedCounters} from '../merged-counters.js';

/** The admitted total in one report. */
type ReportedTotal = [reporter: string, admitted: number];

describe('MergedCounters', () => {
	it.each<{name: string; reports: ReportedTotal[]; expected: number}>([
		{name: 'a reporter from its first report on', reports: [['r1', 100], ['r1', 130]], expected: 30},
		{name: 'two reporters of the same group once', reports: [['r1', 100], ['r2', 7], ['r1', 130], ['r2', 37]], expected: 30},
		{name: 'on from a lagging reporter once the other dies', reports: [['r1', 100], ['r2', 7], ['r1', 130], ['r2', 12], ['r2', 47]], expected: 40},
		{name: 'on from a reporter that starts over', reports: [['r1', 100], ['r1', 130], ['r1-again', 0], ['r1-again', 5]], expected: 35},
		{name: 'nothing after a refund until the total exceeds its earlier maximum', reports: [['r1', 100], ['r1', 130], ['r1', 120], ['r1', 140]], expected: 40},
	])('counts $name', ({reports, expected}) => {
		const counters = new MergedCounters();
		let grown = 0;
		for (const [reporter, admitted] of reports) {
			grown += counters.note(reporter, new Map([['x', {admitted, refused: 0}]]), 0).get('x')!.admitted;
		}

		expect(grown).toBe(expected);
	});

	it('counts an account from zero when a reporter names it for the first time', () => {
		const counters = new MergedCounters();
		counters.note('r1', new Map([['x', {admitted: 10, refused: 0}]]), 0);
		const growth = counters.note('r1', new Map([['x', {admitted: 10, refused: 0}], ['y', {admitted: 4, refused: 1}]]), 0);
		expect(growth.get('y')).toEqual({admitted: 4, refused: 1});
	});
});
