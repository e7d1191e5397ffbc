import {describe, expect, it} from 'vitest';
import {type Limit, LimitHistory} from '../limit-history.js';

const windowMs = 8000;
const high: Limit = {ratePerSecond: 1000, burst: 2000};
const low: Limit = {ratePerSecond: 250, burst: 0};
const changeAtMs = 100_000;

describe('LimitHistory', () => {
	it.each([
		{
			name: 'a limit that never changed', before: high, after: high, afterMs: 0, expected: 10_000,
		},
		{
			name: 'a lowered one at the change', before: high, after: low, afterMs: 0, expected: 10_000,
		},
		{
			name: 'a lowered one half a window later', before: high, after: low, afterMs: 4000, expected: 6000,
		},
		{
			name: 'a lowered one a window later', before: high, after: low, afterMs: 8000, expected: 2000,
		},
		{
			name: 'a raised one at once', before: low, after: high, afterMs: 0, expected: 10_000,
		},
	])('grants $name', ({before, after, afterMs, expected}) => {
		const history = new LimitHistory(windowMs);
		history.granted(before, changeAtMs - 1000);
		history.granted(after, changeAtMs);
		expect(history.granted(after, changeAtMs + afterMs)).toBeCloseTo(expected, 3);
	});

	it('grants a limit that was lowered twice by the time that each held', () => {
		const history = new LimitHistory(windowMs);
		history.granted(high, 0);
		history.granted({ratePerSecond: 500, burst: 0}, 10_000);
		history.granted(low, 14_000);
		expect(history.granted(low, 16_000)).toBeCloseTo((10_000 / 4) + (4000 / 2) + (2000 / 4), 3);
	});
});
