import {describe, expect, it} from 'vitest';
import {Limits, Refusal, shareOfLimit} from '../admission.js';

const limit = {requestsPerSecond: 10, burst: 2, maxConcurrent: 3};

describe('Limits', () => {
	it.each([
		{
			name: 'a burst within the limit is admitted', at: [0, 0], releaseEach: true, expected: [true, true],
		},
		{
			name: 'beyond the burst is refused for rate', at: [0, 0, 0], releaseEach: true, expected: [true, true, Refusal.Rate],
		},
		{
			name: 'the bucket refills with time', at: [0, 0, 100], releaseEach: true, expected: [true, true, true],
		},
		{
			name: 'requests in flight are capped', at: [0, 200, 400, 600], releaseEach: false, expected: [true, true, true, Refusal.Concurrency],
		},
	])('$name', ({at, releaseEach, expected}) => {
		const limits = new Limits();
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

	it('tells when to come back after a rate refusal', () => {
		const limits = new Limits();
		limits.admit('desk', limit, 0);
		limits.admit('desk', limit, 0);
		const refused = limits.admit('desk', limit, 0);
		expect(refused).toEqual({admitted: false, refusal: Refusal.Rate, retryAfterMs: 100});
	});
});

describe('a gateway\'s share of a limit', () => {
	it.each([
		{name: 'is all of it alone', gateways: 1, expected: {requestsPerSecond: 12, burst: 6, maxConcurrent: 8}},
		{name: 'is even among those alive', gateways: 3, expected: {requestsPerSecond: 4, burst: 2, maxConcurrent: 2}},
		{name: 'admits one request at a time at least', gateways: 24, expected: {requestsPerSecond: 0.5, burst: 1, maxConcurrent: 1}},
	])('$name', ({gateways, expected}) => {
		expect(shareOfLimit({requestsPerSecond: 12, burst: 6, maxConcurrent: 8}, gateways)).toEqual(expected);
	});
});
