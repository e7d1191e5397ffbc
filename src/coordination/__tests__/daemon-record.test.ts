import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../clock.js';
import {Topic} from '../../protocol/platform.js';
import {FakeStore} from '../../testing/fake-store.js';
import {DutyKey, DutyLease} from '../duty-lease.js';
import {fieldsOf, decodeDaemonRecord} from '../daemon-record.js';

const {signal} = new AbortController();
const isNamed = (value: unknown): value is {name: string} => typeof fieldsOf(value).name === 'string';

describe('decodeDaemonRecord', () => {
	it.each([
		{name: 'decodes a valid record', text: '{"name":"a"}', expected: {name: 'a'}},
		{name: 'rejects a field of the wrong type', text: '{"name":1}', expected: undefined},
		{name: 'rejects a list', text: '["a"]', expected: undefined},
		{name: 'rejects null', text: 'null', expected: undefined},
		{name: 'rejects invalid JSON', text: '{', expected: undefined},
	])('$name', ({text, expected}) => {
		expect(decodeDaemonRecord(Buffer.from(text), isNamed, 'test')).toEqual(expected);
	});

	it('never throws, for any bytes', () => {
		fc.assert(fc.property(fc.oneof(fc.uint8Array(), fc.json().map(text => Buffer.from(text))), value => {
			decodeDaemonRecord(value, isNamed, 'test');
		}), {seed: 996, numRuns: 300});
	});
});

describe('a record of another writer among the claims', () => {
	it.each(['{', 'null', '{"holder":7}'])('is skipped: %s', async text => {
		const clock = new SteadyClock({monotonicMs: () => 10_000, wallMs: () => 10_000, uptimeMs: () => 10_000});
		const store = new FakeStore();
		store.put(Topic.Duties, DutyKey.Claim, text);
		const lease = new DutyLease(store, 'a', 3000, clock);
		const inputs = {
			rank: 0, isMajorityResponsive: true, startedAtMs: 0, storeAnsweringForMs: 10_000,
		};
		await lease.step(inputs, signal);
		await lease.step(inputs, signal);
		expect(lease.isConfirmedAt(10_000)).toBe(true);
	});
});
