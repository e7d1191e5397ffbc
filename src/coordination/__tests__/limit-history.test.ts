import {describe, expect, it} from 'vitest';
import {type Limit, LimitHistory} from '../limit-history.js';

const windowMs = 8000;
const high: Limit = {ratePerSecond: 1000, burst: 2000};
const low: Limit = {ratePerSecond: 250, burst: 0};
const changeAtMs = 100_000;

describe('LimitHistory', () => {
	it.each([
		{
			name: 'an unchanged limit in full', before: high, after: high, afterMs: 0, expected: 10_000,
		},
		{
			name: 'the old limit when it has just been lowered', before: high, after: low, afterMs: 0, expected: 10_000,
		},
		{
			name: 'the mean of both limits half a window after it was lowered', before: high, after: low, afterMs: 4000, expected: 6000,
		},
		{
			name: 'the new limit a window after it was lowered', before: high, after: low, afterMs: 8000, expected: 2000,
		},
		{
			name: 'a raised limit at once', before: low, after: high, afterMs: 0, expected: 10_000,
		},
	])('grants $name', ({before, after, afterMs, expected}) => {
		const history = new LimitHistory(windowMs);
		history.grantedInWindow(before, changeAtMs - 1000);
		history.grantedInWindow(after, changeAtMs);
		expect(history.grantedInWindow(after, changeAtMs + afterMs)).toBeCloseTo(expected, 3);
	});

	it('weights each limit by the time that it was in force after two changes', () => {
		const history = new LimitHistory(windowMs);
		history.grantedInWindow(high, 0);
		history.grantedInWindow({ratePerSecond: 500, burst: 0}, 10_000);
		history.grantedInWindow(low, 14_000);
		expect(history.grantedInWindow(low, 16_000)).toBeCloseTo((10_000 / 4) + (4000 / 2) + (2000 / 4), 3);
	});
});
