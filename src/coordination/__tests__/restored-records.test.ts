/** Guards against daemons that take the entries of a copy of the store for the latest ones. */
import {describe, expect, it} from 'vitest';
import {type KeyedRecord, type RecordCodec} from '../../protocol/platform.js';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {BackendTable} from '../../state/backend-table.js';
import {RouteTable} from '../../state/route-table.js';
import {BackendsSink, ConfigSink} from '../record-sinks.js';
import {noEvidence} from '../rollout/__fixtures__/no-evidence.js';
import {Rollouts} from '../rollout/rollouts.js';

const relistingMs = 2000;
/** An entry, as the codec of the test reads it: how often it was written, and its state. */
const entry = (key: string, updates: number, state = BackendState.Ready): KeyedRecord => ({key, value: new TextEncoder().encode(`${updates} ${state}`), offset: 0});
const removal = (key: string): KeyedRecord => ({key, value: undefined, offset: 0});

const codec = {
	readBackend(name: string, value: Uint8Array): Backend {
		const [updates, state] = new TextDecoder().decode(value).split(' ');
		return {
			id: name, name, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 4, state: state as BackendState, isReclaimable: false, leavesInMs: undefined, coldForMs: 0, updates: Number(updates),
		};
	},
};

describe('entries of backend servers after a restore of the store', () => {
	it.each([
		{
			name: 'uses one that the copy lacks until it should be listed again', later: [], copy: [entry('b', 1)], atMs: relistingMs - 1, expected: ['a', 'b'],
		},
		{
			name: 'does not use one any more that is not listed again in time', later: [], copy: [entry('b', 1)], atMs: relistingMs, expected: ['b'],
		},
		{
			name: 'does not use one again that was leaving', later: [entry('a', 2, BackendState.Draining)], copy: [entry('a', 1), entry('b', 1)], atMs: 0, expected: ['b'],
		},
		{
			name: 'does not use one again that was removed', later: [removal('a')], copy: [entry('a', 1), entry('b', 1)], atMs: 0, expected: ['b'],
		},
		{
			name: 'uses one that was removed if the store lists it for longer', later: [removal('a')], copy: [entry('a', 1), entry('b', 1)], atMs: relistingMs, expected: ['a', 'b'],
		},
		{
			name: 'uses one that has written its entry again', later: [removal('a')], copy: [entry('a', 5), entry('b', 1)], atMs: 0, expected: ['a', 'b'],
		},
	])('$name', ({later, copy, atMs, expected}) => {
		const table = new BackendTable({drainMs: 2000});
		const sink = new BackendsSink(codec as Partial<RecordCodec> as RecordCodec, table, () => undefined, {wallTimeMs: () => 0});
		sink.reset([entry('a', 1), entry('b', 1)], 1, 0);
		for (const record of later) {
			sink.apply(record, 1, 0);
		}

		sink.reset(copy, 2, 1000);
		sink.settleRestored(relistingMs, 1000 + atMs);
		expect(table.candidates('s', 1000 + atMs).map(({id}) => id)).toEqual(expected);
	});
});

describe('entries of backend servers after two restores of the store', () => {
	it('does not use one that the second copy lacks', () => {
		const table = new BackendTable({drainMs: 2000});
		const sink = new BackendsSink(codec as Partial<RecordCodec> as RecordCodec, table, () => undefined, {wallTimeMs: () => 0});
		sink.reset([entry('a', 1), entry('b', 1)], 1, 0);
		sink.apply(removal('a'), 1, 0);
		sink.reset([entry('a', 1), entry('b', 1)], 2, 1000);
		sink.reset([entry('b', 1)], 3, 1500);
		sink.settleRestored(relistingMs, 1500 + relistingMs);
		expect(table.candidates('s', 1500 + relistingMs).map(({id}) => id)).toEqual(['b']);
	});
});

describe('roll-out orders after a restore of the store', () => {
	const order = (version: string, offset: number): KeyedRecord => ({key: 's', value: new TextEncoder().encode(version), offset});
	const orderCodec = {
		rolloutServiceOf: (key: string) => key,
		readRolloutOrder: (service: string, value: Uint8Array) => ({service, version: new TextDecoder().decode(value), durationMs: 12_000}),
	};

	it.each([
		{
			name: 'keeps an order that is written again at another offset', copy: [], later: [order('v2', 0)], expected: {version: 'v2', isSame: true},
		},
		{
			name: 'keeps an order while the copy shows the one before', copy: [order('v1', 3)], later: [], expected: {version: 'v2', isSame: true},
		},
		{
			name: 'takes a new order at an offset that was given out before', copy: [], later: [order('v3', 4)], expected: {version: 'v3', isSame: false},
		},
		{
			name: 'takes an order that is given again in the same era', copy: [order('v2', 4)], later: [order('v2', 5)], expected: {version: 'v2', isSame: false},
		},
	])('$name', ({copy, later, expected}) => {
		const rollouts = new Rollouts({canaryShare: 0.1}, () => 0, noEvidence);
		const sink = new ConfigSink(orderCodec as Partial<RecordCodec> as RecordCodec, new RouteTable(), rollouts, () => undefined);
		sink.reset([order('v1', 3)], 1, 0);
		sink.apply(order('v2', 4), 1, 0);
		const before = rollouts.openOrders.get('s')!;
		sink.reset(copy, 2, 1000);
		for (const record of later) {
			sink.apply(record, 2, 1000);
		}

		const known = rollouts.openOrders.get('s')!;
		expect(known.version).toBe(expected.version);
		expect(known.orderId === before.orderId).toBe(expected.isSame);
		expect(known.orderId).toBeGreaterThanOrEqual(before.orderId);
	});
});
