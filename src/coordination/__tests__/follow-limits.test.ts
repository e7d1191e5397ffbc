import {describe, expect, it} from 'vitest';
import {
	answerMs, carriedStepMs, type FollowLimits, limitsFor, retryPauseMs,
} from '../follow-limits.js';

const tellingMs = 500;
const most: FollowLimits = {waitMs: 1100, relayWaitMs: 1100, carriedMs: 2750};

describe('limitsFor', () => {
	it.each([
		{boundMs: 1500}, {boundMs: 2000}, {boundMs: 3000}, {boundMs: 4000}, {boundMs: 17_000},
	])('leaves time for a read within $boundMs ms, after a silent connection and after relays that cannot read', ({boundMs}) => {
		const {waitMs, relayWaitMs, carriedMs} = limitsFor(boundMs, tellingMs, most);
		expect(waitMs + answerMs + retryPauseMs).toBeLessThan(boundMs);
		expect(carriedMs + carriedStepMs).toBeLessThan(boundMs);
		expect(relayWaitMs).toBeLessThanOrEqual(waitMs);
	});

	it.each([
		{boundMs: 1500}, {boundMs: 2000}, {boundMs: 3000}, {boundMs: 17_000},
	])('keeps a view within $boundMs ms on a calm day', ({boundMs}) => {
		expect(2 * limitsFor(boundMs, tellingMs, most).waitMs).toBeLessThan(boundMs);
	});

	it.each([
		{boundMs: 2000}, {boundMs: 3000}, {boundMs: 4000}, {boundMs: 17_000},
	])('lets nobody read but relays on a calm day, with a bound of $boundMs ms', ({boundMs}) => {
		const {relayWaitMs, carriedMs} = limitsFor(boundMs, tellingMs, most);
		expect((2 * relayWaitMs) + tellingMs).toBeLessThanOrEqual(carriedMs);
	});

	it.each([
		{boundMs: 17_000, expected: most},
		{boundMs: 500, expected: {waitMs: 100, relayWaitMs: 100, carriedMs: 100}},
		{boundMs: 0, expected: {waitMs: 100, relayWaitMs: 100, carriedMs: 0}},
	])('stays within what other needs allow and what can be done, with a bound of $boundMs ms', ({boundMs, expected}) => {
		expect(limitsFor(boundMs, tellingMs, most)).toEqual(expected);
	});
});
