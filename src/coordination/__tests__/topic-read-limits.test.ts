import {describe, expect, it} from 'vitest';
import {
	answerTimeoutMs, reportCheckIntervalMs, type TopicReadLimits, computeReadLimits, firstRetryDelayMs,
} from '../topic-read-limits.js';

const relayIntervalMs = 500;
const maximums: TopicReadLimits = {waitMs: 1100, relayWaitMs: 1100, maxReportAgeMs: 2750};

describe('computeReadLimits', () => {
	it.each([
		{boundMs: 1500}, {boundMs: 2000}, {boundMs: 3000}, {boundMs: 4000}, {boundMs: 17_000},
	])('leaves time for another read within $boundMs ms when a connection stalls or the relays cannot read', ({boundMs}) => {
		const {waitMs, relayWaitMs, maxReportAgeMs} = computeReadLimits(boundMs, relayIntervalMs, maximums);
		expect(waitMs + answerTimeoutMs + firstRetryDelayMs).toBeLessThan(boundMs);
		expect(maxReportAgeMs + reportCheckIntervalMs).toBeLessThan(boundMs);
		expect(relayWaitMs).toBeLessThanOrEqual(waitMs);
	});

	it.each([
		{boundMs: 1500}, {boundMs: 2000}, {boundMs: 3000}, {boundMs: 17_000},
	])('keeps the view younger than $boundMs ms while all reads are answered', ({boundMs}) => {
		expect(2 * computeReadLimits(boundMs, relayIntervalMs, maximums).waitMs).toBeLessThan(boundMs);
	});

	it.each([
		{boundMs: 2000}, {boundMs: 3000}, {boundMs: 4000}, {boundMs: 17_000},
	])('lets only relays read with a bound of $boundMs ms while all reads are answered', ({boundMs}) => {
		const {relayWaitMs, maxReportAgeMs} = computeReadLimits(boundMs, relayIntervalMs, maximums);
		expect((2 * relayWaitMs) + relayIntervalMs).toBeLessThanOrEqual(maxReportAgeMs);
	});

	it.each([
		{boundMs: 17_000, expected: maximums},
		{boundMs: 500, expected: {waitMs: 100, relayWaitMs: 100, maxReportAgeMs: 100}},
		{boundMs: 0, expected: {waitMs: 100, relayWaitMs: 100, maxReportAgeMs: 0}},
	])('stays within the other requirements and the shortest wait with a bound of $boundMs ms', ({boundMs, expected}) => {
		expect(computeReadLimits(boundMs, relayIntervalMs, maximums)).toEqual(expected);
	});
});
