import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../clock.js';
import {Topic} from '../../protocol/platform.js';
import {FakeStore} from '../../testing/fake-store.js';
import {DutyKey, DutyLease, shouldClaim} from '../duty-lease.js';

const leaseMs = 3000;
const {signal} = new AbortController();

/** A clock that the test advances. */
function createClock(): {clock: SteadyClock; time: {ms: number}} {
	const time = {ms: 10_000};
	return {time, clock: new SteadyClock({monotonicMs: () => time.ms, wallMs: () => time.ms, uptimeMs: () => time.ms})};
}

/** Two daemons that share a store and a clock. */
function createPair() {
	const store = new FakeStore();
	const {clock, time} = createClock();
	const daemons = ['a', 'b'].map(name => new DutyLease(store, name, leaseMs, clock));
	const inputs = {
		rank: 0, isMajorityResponsive: true, startedAtMs: 0, storeAnsweringForMs: 10_000,
	};
	return {
		store, time, first: daemons[0], second: daemons[1], inputs,
	};
}

describe('shouldClaim', () => {
	const base = {
		rank: 0, isMajorityResponsive: true, holderLastSeenAtMs: 0, startedAtMs: 0, storeAnsweringForMs: 10_000,
	};
	it.each([
		{
			name: 'false while the holder is alive', inputs: base, nowMs: 1500, expected: false,
		},
		{
			name: 'true for the first in rank once the holder timed out', inputs: base, nowMs: 2100, expected: true,
		},
		{
			name: 'false for a later rank, which waits longer', inputs: {...base, rank: 3}, nowMs: 2500, expected: false,
		},
		{
			name: 'false for a daemon most of whose peers are silent', inputs: {...base, isMajorityResponsive: false}, nowMs: 5000, expected: false,
		},
		{
			name: 'true for such a daemon after the longer timeout', inputs: {...base, isMajorityResponsive: false}, nowMs: 13_000, expected: true,
		},
		{
			name: 'true soon after the start if there was never a holder', inputs: {...base, holderLastSeenAtMs: undefined}, nowMs: 400, expected: true,
		},
		{
			name: 'false right after the store returned, when a holder that is alive can confirm its claim again', inputs: {...base, storeAnsweringForMs: 900}, nowMs: 8000, expected: false,
		},
		{
			name: 'true once such a holder has had time to confirm its claim', inputs: {...base, storeAnsweringForMs: 1100}, nowMs: 8000, expected: true,
		},
		{
			name: 'true right after the store first answered if there was never a holder', inputs: {...base, holderLastSeenAtMs: undefined, storeAnsweringForMs: 0}, nowMs: 400, expected: true,
		},
	])('$name', ({inputs, nowMs, expected}) => {
		expect(shouldClaim(inputs, nowMs)).toBe(expected);
	});
});

describe('DutyLease', () => {
	it('acts at once on the first claim of the topic, with a token derived from its offset', async () => {
		const {first, time, inputs} = createPair();
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBe(1);
	});

	it('does not act on a later claim until the previous holder\'s confirmation must have expired', async () => {
		const {first, second, time, inputs} = createPair();
		await first.step(inputs, signal);
		second.applyHolderUpdate({token: 1, ageMs: 0}, time.ms);
		time.ms += 5000;
		await second.step(inputs, signal);
		expect(second.tokenAt(time.ms)).toBeUndefined();
		time.ms += leaseMs + 600;
		await second.step(inputs, signal);
		expect(second.tokenAt(time.ms)).toBe(2);
	});

	it('stops acting once its confirmation expired, and learns of the new holder from its next read', async () => {
		const {first, second, store, time, inputs} = createPair();
		await first.step(inputs, signal);
		store.isDown = true;
		time.ms += 1600;
		expect(first.tokenAt(time.ms)).toBeUndefined();
		store.isDown = false;
		second.applyHolderUpdate({token: 1, ageMs: 5000}, time.ms);
		await second.step(inputs, signal);
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBeUndefined();
		expect(first.createHolderUpdate(time.ms)).toBeDefined();
	});

	it('lets a holder that outlived an outage of the store act again at once', async () => {
		const {first, second, store, time, inputs} = createPair();
		await first.step(inputs, signal);
		second.applyHolderUpdate(first.createHolderUpdate(time.ms)!, time.ms);
		store.isDown = true;
		time.ms += 4000;
		await expect(first.step(inputs, signal)).rejects.toThrow('store is down');
		store.isDown = false;
		await second.step({...inputs, storeAnsweringForMs: 100}, signal);
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBe(1);
		time.ms += 1000;
		second.applyHolderUpdate({token: 1, ageMs: 500}, time.ms);
		await second.step({...inputs, storeAnsweringForMs: 1100}, signal);
		expect(store.length(Topic.Duties)).toBe(1);
	});

	it.each([
		{name: 'lets the store hold its reads open while its claim is confirmed', silentMs: 500, expected: [600]},
		{name: 'reads without a wait while its claim lacks a recent confirmation, so that an answer confirms it at once', silentMs: 2000, expected: [0]},
	])('$name', async ({silentMs, expected}) => {
		const {first, store, time, inputs} = createPair();
		await first.step(inputs, signal);
		time.ms += silentMs;
		await first.step(inputs, signal);
		expect(store.readWaitsMs).toEqual(expected);
	});

	it('lets exactly one of two concurrent claims win', async () => {
		const {first, second, store, time, inputs} = createPair();
		await Promise.all([first.step(inputs, signal), second.step(inputs, signal)]);
		expect([first, second].filter(lease => lease.tokenAt(time.ms) !== undefined)).toHaveLength(1);
		expect(store.length(Topic.Duties)).toBe(1);
	});

	it('finds a claim whose answer was lost with the next read', async () => {
		const {first, store, time, inputs} = createPair();
		store.shouldLoseAnswers = true;
		await expect(first.step(inputs, signal)).rejects.toThrow('answer lost');
		store.shouldLoseAnswers = false;
		time.ms += 1000;
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBe(1);
	});

	it('does not append a usage report at an outdated end of the topic', async () => {
		const {first, store, inputs} = createPair();
		await first.step(inputs, signal);
		store.put(Topic.Duties, DutyKey.Claim, JSON.stringify({holder: 'other'}));
		expect(await first.commit(DutyKey.Usage, new Uint8Array([1]), signal)).toBe(false);
	});

	it('is not confirmed by a read that leaves records unread, since another daemon\'s claim may be among them', async () => {
		const {store, time, first, inputs} = createPair();
		await first.step(inputs, signal);
		store.put(Topic.Duties, DutyKey.Claim, JSON.stringify({holder: 'b'}));
		store.maxRecordsPerRead = 0;
		time.ms += 1600;
		await first.step(inputs, signal);
		expect(first.isConfirmedAt(time.ms)).toBe(false);
	});
});

describe('DutyLease after a restore of the store from a copy', () => {
	/** Lets a daemon that holds the duties run for a time. */
	async function hold({lease, time, inputs}: {lease: DutyLease; time: {ms: number}; inputs: Parameters<DutyLease['step']>[0]}, forMs: number): Promise<void> {
		for (const endMs = time.ms + forMs; time.ms < endMs; time.ms += 500) {
			await lease.step(inputs, signal); // eslint-disable-line no-await-in-loop -- one step after the other.
		}
	}

	it('does not act on a claim that the copy lacks, until the duties are claimed again and a lease has passed', async () => {
		const {first: lease, store, time, inputs} = createPair();
		await hold({lease, time, inputs}, 1000);
		store.restore(Topic.Duties, 1);
		await lease.step(inputs, signal);
		expect(lease.tokenAt(time.ms)).toBeUndefined();
		await hold({lease, time, inputs}, leaseMs);
		expect(lease.tokenAt(time.ms)).toBeUndefined();
		await hold({lease, time, inputs}, 1000);
		expect(lease.tokenAt(time.ms)).toBeGreaterThan(1);
	});

	it('does not act on an older claim that the copy shows as the newest', async () => {
		const {first, second, store, time, inputs} = createPair();
		await hold({lease: first, time, inputs}, 1000);
		second.applyHolderUpdate({token: 1, ageMs: 5000}, time.ms);
		await hold({lease: second, time, inputs}, leaseMs + 1000);
		const before = second.tokenAt(time.ms)!;
		store.restore(Topic.Duties, 1);
		await first.step(inputs, signal);
		expect(first.tokenAt(time.ms)).toBeUndefined();
		await second.step(inputs, signal);
		expect(second.tokenAt(time.ms)).toBeUndefined();
		await hold({lease: first, time, inputs}, leaseMs + 1500);
		await hold({lease: second, time, inputs}, 500);
		const tokens = [first, second].map(lease => lease.tokenAt(time.ms)).filter(token => token !== undefined);
		expect(tokens).toHaveLength(1);
		expect(tokens[0]).toBeGreaterThan(before);
	});

	it('does not take a claim for one of the new history that was meant for the lost one', async () => {
		const {first, second, store, time, inputs} = createPair();
		await hold({lease: first, time, inputs}, 1000);
		store.restore(Topic.Duties, 1);
		store.put(Topic.Duties, DutyKey.Claim, JSON.stringify({holder: 'b'}));
		await second.step({...inputs, rank: undefined}, signal);
		second.applyHolderUpdate({token: 1, ageMs: 5000}, time.ms);
		await second.step(inputs, signal);
		expect(store.length(Topic.Duties)).toBe(2);
		expect(second.tokenAt(time.ms)).toBeUndefined();
	});

	it('writes again what the copy lacks of what the holder had committed', async () => {
		const {first: lease, store, time, inputs} = createPair();
		await hold({lease, time, inputs}, 500);
		await lease.commit(DutyKey.Usage, new Uint8Array([7]), signal);
		store.restore(Topic.Duties, 1);
		await hold({lease, time, inputs}, 1500);
		const {records} = await store.readNewest(Topic.Duties);
		expect(records.find(({key}) => key === String(DutyKey.Usage))?.value).toEqual(new Uint8Array([7]));
	});

	it('does not write again over what a later holder has committed', async () => {
		const {first, second, store, time, inputs} = createPair();
		await hold({lease: first, time, inputs}, 500);
		await first.commit(DutyKey.Usage, new Uint8Array([7]), signal);
		store.restore(Topic.Duties, 1);
		second.applyHolderUpdate({token: 1, ageMs: 5000}, time.ms);
		await hold({lease: second, time, inputs}, leaseMs + 1000);
		await second.commit(DutyKey.Usage, new Uint8Array([8]), signal);
		await first.step(inputs, signal);
		time.ms += 5000;
		first.applyHolderUpdate({token: second.createHolderUpdate(time.ms)?.token ?? 0, ageMs: 5000}, time.ms);
		await hold({lease: first, time, inputs}, 2000);
		const {records} = await store.readNewest(Topic.Duties);
		expect(records.find(({key}) => key === String(DutyKey.Usage))?.value).toEqual(new Uint8Array([8]));
	});
});
