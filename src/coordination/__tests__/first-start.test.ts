import {describe, expect, it} from 'vitest';
import {FirstStart} from '../first-start.js';

describe('FirstStart', () => {
	it.each([
		{
			name: 'nobody claims it', isClaimed: false, records: [], isConfirmed: false, isUncertain: false,
		},
		{
			name: 'nobody claims it and the store is empty', isClaimed: false, records: [false], isConfirmed: false, isUncertain: false,
		},
		{
			name: 'the store was not read', isClaimed: true, records: [], isConfirmed: false, isUncertain: true,
		},
		{
			name: 'the store is empty', isClaimed: true, records: [false], isConfirmed: true, isUncertain: false,
		},
		{
			name: 'the store has earlier records', isClaimed: true, records: [true], isConfirmed: false, isUncertain: false,
		},
		{
			name: 'the store has records after the first read', isClaimed: true, records: [false, true], isConfirmed: true, isUncertain: false,
		},
	])('is confirmed: $isConfirmed, if $name', ({isClaimed, records, isConfirmed, isUncertain}) => {
		const firstStart = new FirstStart(isClaimed);
		for (const hasEarlierRecords of records) {
			firstStart.settle(hasEarlierRecords);
		}

		expect(firstStart.isConfirmed).toBe(isConfirmed);
		expect(firstStart.isUncertain).toBe(isUncertain);
	});
});
