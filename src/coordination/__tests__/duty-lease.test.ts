import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../clock.js';
import {Topic} from '../../protocol/platform.js';
import {FakeStore} from '../../testing/fake-store.js';
import {DutyKey, DutyLease, shouldClaim} from '../duty-lease.js';

const leaseMs = 3000;
const {signal} = new AbortController();

/** A clock that tests set. */
function createClock(): {clock: SteadyClock; time: {ms: number}} {
	const time = {ms: 10_000};
	return {time, clock: new SteadyClock({monotonicMs: () => time.ms, wallMs: () => time.ms, uptimeMs: () => time.ms})};
}

/** Two daemons at one store and clock. */
function createPair() {
	const store = new FakeStore();
	const {clock, time} = createClock();
	const daemons = ['a', 'b'].map(name => new DutyLease(store, name, leaseMs, clock));
	const inputs = {rank: 0, hearsMost: true, startedAtMs: 0};
	return {
		store, time, first: daemons[0], second: daemons[1], inputs,
	};
}

describe('shouldClaim', () => {
	const base = {
		rank: 0, hearsMost: true, holderHeardAtMs: 0, startedAtMs: 0,
	};
	it.each([
		{
			name: 'not while the holder is heard', inputs: base, nowMs: 1500, expected: false,
		},
		{
			name: 'the first in rank after its silence', inputs: base, nowMs: 2100, expected: true,
		},
		{
			name: 'a later rank waits longer', inputs: {...base, rank: 3}, nowMs: 2500, expected: false,
		},
		{
			name: 'not one that cannot hear most others', inputs: {...base, hearsMost: false}, nowMs: 5000, expected: false,
		},
		{
			name: 'one alone after a long silence', inputs: {...base, hearsMost: false}, nowMs: 13_000, expected: true,
		},
		{
			name: 'soon where there was never a holder', inputs: {...base, holderHeardAtMs: undefined}, nowMs: 400, expected: true,
		},
	])('$name', ({inputs, nowMs, expected}) => {
		expect(shouldClaim(inputs, nowMs)).toBe(expected);
	});
});

describe('DutyLease', () => {
	it('the very first claim acts at once, with a token from its offset', async () => {
		const {first, time, inputs} = createPair();
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBe(1);
	});

	it('a later claim keeps quiet until its predecessor must have noticed', async () => {
		const {first, second, time, inputs} = createPair();
		await first.step(inputs, signal);
		second.hear({token: 1, ageMs: 0}, time.ms);
		time.ms += 5000;
		await second.step(inputs, signal);
		expect(second.tokenAt(time.ms)).toBeUndefined();
		time.ms += leaseMs + 600;
		await second.step(inputs, signal);
		expect(second.tokenAt(time.ms)).toBe(2);
	});

	it('the old holder acts no more once its confirming read is old, and knows of the new one when it reads', async () => {
		const {first, second, store, time, inputs} = createPair();
		await first.step(inputs, signal);
		store.isDown = true;
		time.ms += 1600;
		expect(first.tokenAt(time.ms)).toBeUndefined();
		store.isDown = false;
		second.hear({token: 1, ageMs: 5000}, time.ms);
		await second.step(inputs, signal);
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBeUndefined();
		expect(first.news(time.ms)).toBeDefined();
	});

	it('of two that claim at once one wins', async () => {
		const {first, second, store, time, inputs} = createPair();
		await Promise.all([first.step(inputs, signal), second.step(inputs, signal)]);
		expect([first, second].filter(lease => lease.tokenAt(time.ms) !== undefined)).toHaveLength(1);
		expect(store.length(Topic.Duties)).toBe(1);
	});

	it('a claim whose answer was lost is found by the next read', async () => {
		const {first, store, time, inputs} = createPair();
		store.losesAnswers = true;
		await expect(first.step(inputs, signal)).rejects.toThrow('answer lost');
		store.losesAnswers = false;
		time.ms += 1000;
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBe(1);
	});

	it('a report is decided once: an append at an old end is refused', async () => {
		const {first, store, inputs} = createPair();
		await first.step(inputs, signal);
		store.put(Topic.Duties, DutyKey.Claim, JSON.stringify({holder: 'other'}));
		expect(await first.recordUsage(new Uint8Array([1]), signal)).toBe(false);
	});

	it('does not act on a read that left records unread, since another\'s claim may be among them', async () => {
		const {store, time, first, inputs} = createPair();
		await first.step(inputs, signal);
		store.put(Topic.Duties, DutyKey.Claim, JSON.stringify({holder: 'b'}));
		store.mostRecords = 0;
		time.ms += 1600;
		await first.step(inputs, signal);
		expect(first.isConfirmedAt(time.ms)).toBe(false);
	});
});
