import {describe, expect, it} from 'vitest';
import {SendPermission, StatedLimits} from '../stated-limits.js';

const id = 'i-1';
const onlySender = () => ({isSender: true, share: 1});

describe('StatedLimits', () => {
	it('does not limit backend servers that state no limit', () => {
		const limits = new StatedLimits(onlySender);
		limits.noteStated(id, undefined, 0);
		expect(limits.isEmpty).toBe(true);
		expect(limits.permission(id, 0)).toBe(SendPermission.Allowed);
	});

	it('sends at an even pace, in which requests sent regardless of the limit count too', () => {
		const limits = new StatedLimits(onlySender);
		limits.noteStated(id, 2, 0);
		// A stream that is moved goes to its target regardless of the limit.
		limits.noteSent(id, 0);
		limits.noteSent(id, 0);
		expect(limits.permission(id, 1000)).toBe(SendPermission.Withheld);
		expect(limits.permission(id, 1200)).toBe(SendPermission.Allowed);
	});

	it('sends the next request as a probe to a limited backend server that has not stated its limit for a while', () => {
		const limits = new StatedLimits(onlySender);
		limits.noteStated(id, 1, 0);
		expect(limits.permission(id, 2000)).toBe(SendPermission.Allowed);
		expect(limits.permission(id, 4000)).toBe(SendPermission.ProbeDue);
	});

	it('doubles the time between probes while the backend server gives no answer', () => {
		const limits = new StatedLimits(onlySender);
		limits.noteStated(id, 10, 0);
		const probes: number[] = [];
		for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
			if (limits.permission(id, nowMs) === SendPermission.ProbeDue) {
				limits.noteSent(id, nowMs);
				probes.push(nowMs);
			}
		}

		expect(probes).toEqual([3100, 9200, 21_300, 45_400]);
		limits.noteStated(id, 10, 60_000);
		expect(limits.permission(id, 63_100)).toBe(SendPermission.ProbeDue);
	});

	it.each([
		{name: 'newer than what is known', ageMs: 100, isLimited: true},
		{name: 'older than what is known', ageMs: 5000, isLimited: false},
	])('stays limited after an update that is $name: $isLimited', ({ageMs, isLimited}) => {
		const [limits, other] = [new StatedLimits(onlySender), new StatedLimits(onlySender)];
		other.noteStated(id, 1, 0);
		limits.applyUpdates(other.updates(true, 0), false, 0);
		limits.noteStated(id, undefined, 9000);
		limits.applyUpdates(other.updates(true, 0).map(update => ({...update, ageMs})), false, 10_000);
		expect(limits.isLimited(id)).toBe(isLimited);
	});

	it('returns the time until one of several limited backend servers may get a request', () => {
		const limits = new StatedLimits(onlySender);
		expect(limits.retryAfterMs([id, 'i-2'], 0)).toBeUndefined();
		limits.noteStated(id, 0.1, 0);
		limits.noteStated('i-2', 2, 0);
		const waitMs = limits.retryAfterMs([id, 'i-2'], 0)!;
		expect(waitMs).toBeGreaterThan(500);
		expect(waitMs).toBeLessThan(600);
	});
});
