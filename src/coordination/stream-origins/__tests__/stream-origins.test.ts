import {describe, expect, it} from 'vitest';
import {type StreamOriginEntry, isPackedStreamOrigins} from '../../../protocol/fleet-messages.js';
import {packOrigins, unpackOrigins} from '../stream-origin-codec.js';
import {computeStreamKey, StreamOrigins} from '../stream-origins.js';

const v1 = {service: 's', version: 'v1'};
const v2 = {service: 's', version: 'v2'};

describe('computeStreamKey', () => {
	it.each([
		{name: 'another account', account: 'b', id: 'x'},
		{name: 'another attempt', account: 'a', id: 'y'},
		{name: 'no account', account: undefined, id: 'x'},
	])('differs for $name', ({account, id}) => {
		expect(computeStreamKey(account, id)).not.toBe(computeStreamKey('a', 'x'));
	});
});

describe('StreamOrigins', () => {
	it('passes each stream on once', () => {
		const origins = new StreamOrigins(() => 1000);
		origins.note(1, v1, 0);
		origins.learn([[2, v2], [1, v2]], true, 0);
		origins.learn([[3, v2]], false, 0);
		expect(origins.takePending()).toEqual([[1, v1], [2, v2]]);
		expect(origins.takePending()).toEqual([]);
		expect(origins.originOf(1, 0)).toEqual(v1);
	});

	it('forgets a stream after its retention time, counted from its last note', () => {
		const origins = new StreamOrigins(() => 1000);
		origins.note(1, v1, 0);
		origins.note(2, v1, 0);
		origins.note(1, v1, 900);
		expect([1, 2].map(key => origins.originOf(key, 1001))).toEqual([v1, undefined]);
		expect(origins.all(1901)).toEqual([]);
	});
});

describe('packed origins', () => {
	it('are unpacked as they were', () => {
		const entries: StreamOriginEntry[] = [[1, v1], [2, v2], [281_474_976_710_655, v1]];
		const packed = packOrigins(entries);
		expect(isPackedStreamOrigins(packed)).toBe(true);
		expect(unpackOrigins(packed)).toEqual(entries);
	});

	it.each([
		{name: 'an index without an origin', value: {origins: [['s', 'v1']], streams: [1, 1]}},
		{name: 'half an entry', value: {origins: [['s', 'v1']], streams: [1]}},
		{name: 'a negative key', value: {origins: [['s', 'v1']], streams: [-1, 0]}},
		{name: 'an origin of another form', value: {origins: [['s', 1]], streams: []}},
		{name: 'nothing', value: undefined},
	])('are rejected with $name', ({value}) => {
		expect(isPackedStreamOrigins(value)).toBe(false);
	});
});
