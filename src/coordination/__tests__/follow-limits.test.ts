import {describe, expect, it} from 'vitest';
import {
	answerMs, carriedStepMs, type TopicReadLimits, limitsFor, firstRetryDelayMs,
} from '../follow-limits.js';

const relayIntervalMs = 500;
const maximums: TopicReadLimits = {waitMs: 1100, relayWaitMs: 1100, carriedMs: 2750};

describe('limitsFor', () => {
	it.each([
		{boundMs: 1500}, {boundMs: 2000}, {boundMs: 3000}, {boundMs: 4000}, {boundMs: 17_000},
	])('leaves time for another read within $boundMs ms when a connection stalls or the relays cannot read', ({boundMs}) => {
		const {waitMs, relayWaitMs, carriedMs} = limitsFor(boundMs, relayIntervalMs, maximums);
		expect(waitMs + answerMs + firstRetryDelayMs).toBeLessThan(boundMs);
		expect(carriedMs + carriedStepMs).toBeLessThan(boundMs);
		expect(relayWaitMs).toBeLessThanOrEqual(waitMs);
	});

	it.each([
		{boundMs: 1500}, {boundMs: 2000}, {boundMs: 3000}, {boundMs: 17_000},
	])('keeps the view younger than $boundMs ms while all reads are answered', ({boundMs}) => {
		expect(2 * limitsFor(boundMs, relayIntervalMs, maximums).waitMs).toBeLessThan(boundMs);
	});

	it.each([
		{boundMs: 2000}, {boundMs: 3000}, {boundMs: 4000}, {boundMs: 17_000},
	])('lets only relays read with a bound of $boundMs ms while all reads are answered', ({boundMs}) => {
		const {relayWaitMs, carriedMs} = limitsFor(boundMs, relayIntervalMs, maximums);
		expect((2 * relayWaitMs) + relayIntervalMs).toBeLessThanOrEqual(carriedMs);
	});

	it.each([
		{boundMs: 17_000, expected: maximums},
		{boundMs: 500, expected: {waitMs: 100, relayWaitMs: 100, carriedMs: 100}},
		{boundMs: 0, expected: {waitMs: 100, relayWaitMs: 100, carriedMs: 0}},
	])('stays within the other requirements and the shortest wait with a bound of $boundMs ms', ({boundMs, expected}) => {
		expect(limitsFor(boundMs, relayIntervalMs, maximums)).toEqual(expected);
	});
});
