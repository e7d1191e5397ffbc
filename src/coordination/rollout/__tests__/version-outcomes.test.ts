import {describe, expect, it} from 'vitest';
import {isLoadRejection} from '../version-outcomes.js';

describe('isLoadRejection', () => {
	it.each([
		{
			name: 'a 503 for a request that was not run', status: 503, isNotRun: true, limitPerSecond: undefined, expected: true,
		},
		{
			name: 'a 503 under a stated limit', status: 503, isNotRun: false, limitPerSecond: 20, expected: true,
		},
		{
			name: 'a 503 under a stated limit of nothing', status: 503, isNotRun: false, limitPerSecond: 0, expected: true,
		},
		{
			name: 'a 503 that states neither', status: 503, isNotRun: false, limitPerSecond: undefined, expected: false,
		},
		{
			name: 'a 500 under a stated limit', status: 500, isNotRun: false, limitPerSecond: 20, expected: false,
		},
		{
			name: 'a 502 for a request that was not run', status: 502, isNotRun: true, limitPerSecond: undefined, expected: false,
		},
		{
			name: 'an answer of a limited backend server', status: 200, isNotRun: false, limitPerSecond: 20, expected: false,
		},
	])('returns $expected for $name, so that only refusals for load are left out of the verdict', ({status, isNotRun, limitPerSecond, expected}) => {
		expect(isLoadRejection(status, {isNotRun, limitPerSecond})).toBe(expected);
	});
});
