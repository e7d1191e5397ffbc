import {describe, expect, it} from 'vitest';
import {Permission, StatedLimits} from '../stated-limits.js';

const id = 'i-1';
const isOnly = () => ({isSender: true, senders: 1});

describe('StatedLimits', () => {
	it('leaves backend servers that state none alone', () => {
		const limits = new StatedLimits(isOnly);
		limits.noteStated(id, undefined, 0);
		expect(limits.isEmpty).toBe(true);
		expect(limits.permission(id, 0)).toBe(Permission.Free);
	});

	it('spaces its requests evenly, those that went beyond the pace counted', () => {
		const limits = new StatedLimits(isOnly);
		limits.noteStated(id, 2, 0);
		// A moved stream goes to its target whatever the pace.
		limits.noteSent(id, 0);
		limits.noteSent(id, 0);
		expect(limits.permission(id, 1000)).toBe(Permission.Withheld);
		expect(limits.permission(id, 1200)).toBe(Permission.Free);
	});

	it('has the next request go to a limited backend server that nobody heard of for a while', () => {
		const limits = new StatedLimits(isOnly);
		limits.noteStated(id, 1, 0);
		expect(limits.permission(id, 2000)).toBe(Permission.Free);
		expect(limits.permission(id, 4000)).toBe(Permission.Due);
	});

	it('does not prefer it again and again while it gives no answer', () => {
		const limits = new StatedLimits(isOnly);
		limits.noteStated(id, 10, 0);
		const trials: number[] = [];
		for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
			if (limits.permission(id, nowMs) === Permission.Due) {
				limits.noteSent(id, nowMs);
				trials.push(nowMs);
			}
		}

		expect(trials).toEqual([3100, 9200, 21_300, 45_400]);
		limits.noteStated(id, 10, 60_000);
		expect(limits.permission(id, 63_100)).toBe(Permission.Due);
	});

	it.each([
		{name: 'newer than what is known', ageMs: 100, isLimited: true},
		{name: 'older than what is known', ageMs: 5000, isLimited: false},
	])('takes news that are $name: $isLimited', ({ageMs, isLimited}) => {
		const [limits, other] = [new StatedLimits(isOnly), new StatedLimits(isOnly)];
		other.noteStated(id, 1, 0);
		limits.hear(other.news(true, 0), false, 0);
		limits.noteStated(id, undefined, 9000);
		limits.hear(other.news(true, 0).map(news => ({...news, ageMs})), false, 10_000);
		expect(limits.isLimited(id)).toBe(isLimited);
	});

	it('says when one of the limited backend servers of a service may get a request', () => {
		const limits = new StatedLimits(isOnly);
		expect(limits.returnAfterMs([id, 'i-2'], 0)).toBeUndefined();
		limits.noteStated(id, 0.1, 0);
		limits.noteStated('i-2', 2, 0);
		const waitMs = limits.returnAfterMs([id, 'i-2'], 0)!;
		expect(waitMs).toBeGreaterThan(500);
		expect(waitMs).toBeLessThan(600);
	});
});
