import {describe, expect, it} from 'vitest';
import {AccountLimiter, Refusal, shareOfLimit} from '../admission.js';

const limit = {requestsPerSecond: 10, burst: 2, maxConcurrent: 3};

describe('AccountLimiter', () => {
	it.each([
		{
			name: 'admits a burst within the limit', at: [0, 0], releaseEach: true, expected: [true, true],
		},
		{
			name: 'refuses a request beyond the burst because of the rate', at: [0, 0, 0], releaseEach: true, expected: [true, true, Refusal.Rate],
		},
		{
			name: 'refills the bucket over time', at: [0, 0, 100], releaseEach: true, expected: [true, true, true],
		},
		{
			name: 'caps the requests in flight', at: [0, 200, 400, 600], releaseEach: false, expected: [true, true, true, Refusal.Concurrency],
		},
	])('$name', ({at, releaseEach, expected}) => {
		const limits = new AccountLimiter();
		const outcomes = at.map(nowMs => {
			const admission = limits.admit('desk', limit, nowMs);
			if (!admission.admitted) {
				return admission.refusal;
			}

			if (releaseEach) {
				admission.release();
			}

			return true;
		});
		expect(outcomes).toEqual(expected);
	});

	it('returns the time to retry after when it refuses a request because of the rate', () => {
		const limits = new AccountLimiter();
		limits.admit('desk', limit, 0);
		limits.admit('desk', limit, 0);
		const refused = limits.admit('desk', limit, 0);
		expect(refused).toEqual({admitted: false, refusal: Refusal.Rate, retryAfterMs: 100});
	});
});

describe('shareOfLimit', () => {
	it.each([
		{name: 'gives a single gateway the whole limit', gateways: 1, expected: {requestsPerSecond: 12, burst: 6, maxConcurrent: 8}},
		{name: 'divides the limit equally among the gateways alive', gateways: 3, expected: {requestsPerSecond: 4, burst: 2, maxConcurrent: 2}},
		{name: 'admits at least one request at a time', gateways: 24, expected: {requestsPerSecond: 0.5, burst: 1, maxConcurrent: 1}},
	])('$name', ({gateways, expected}) => {
		expect(shareOfLimit({requestsPerSecond: 12, burst: 6, maxConcurrent: 8}, gateways)).toEqual(expected);
	});
});
