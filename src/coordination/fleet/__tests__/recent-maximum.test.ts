import {describe, expect, it} from 'vitest';
import {RecentMaximum} from '../recent-maximum.js';

describe('RecentMaximum', () => {
	it.each([
		{name: 'a rise at once', values: [[0, 5], [10, 8]], expected: 8},
		{name: 'a fall not before its time', values: [[0, 8], [90, 5]], expected: 8},
		{name: 'a fall after it', values: [[0, 8], [60, 5], [110, 4]], expected: 5},
		{name: 'the last value where nothing else is left', values: [[0, 8], [500, 1]], expected: 1},
	])('shows $name', ({values, expected}) => {
		const maximum = new RecentMaximum(100);
		const shown = values.map(([atMs, value]) => maximum.note(value, atMs));
		expect(shown.at(-1)).toBe(expected);
	});
});
