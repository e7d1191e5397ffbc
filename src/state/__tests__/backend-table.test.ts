import {describe, expect, it} from 'vitest';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {BackendTable} from '../backend-table.js';

const backend = (id: string, state = BackendState.Ready, leavesInMs?: number): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 4, state, isReclaimable: false, leavesInMs, coldForMs: 0,
});
const drainMs = 2000;
const usable = (table: BackendTable, nowMs: number) => table.candidates('s', nowMs).map(({id}) => id);

describe('BackendTable', () => {
	it.each([
		{name: 'a leaving one gets no new work', act: (table: BackendTable): unknown => table.upsert(backend('a', BackendState.Draining), 0), expected: ['b']},
		{
			name: 'leaving is final', act(table: BackendTable): unknown {
				table.upsert(backend('a', BackendState.Draining), 0);
				return table.upsert(backend('a'), 0);
			}, expected: ['b'],
		},
		{name: 'one that vanished gets no new work while another is there', act: (table: BackendTable): unknown => table.vanish('a', 0), expected: ['b']},
		{
			name: 'one whose address answers as another gets no new work', act(table: BackendTable): unknown {
				table.replaced('a', 0);
				return undefined;
			}, expected: ['b'],
		},
		{
			name: 'a full list drops what it lacks', act(table: BackendTable): unknown {
				table.retain(new Set(['b']), 0);
				return undefined;
			}, expected: ['b'],
		},
		{
			name: 'one that came back after a lapse is used again', act(table: BackendTable): unknown {
				table.vanish('a', 0);
				return table.upsert(backend('a'), 500);
			}, expected: ['a', 'b'],
		},
	])('$name', ({act, expected}) => {
		const table = new BackendTable({drainMs});
		table.upsert(backend('a'), 0);
		table.upsert(backend('b'), 0);
		act(table);
		expect(usable(table, 600)).toEqual(expected);
	});

	it('one that vanished is expected to go, and is not when it comes back', () => {
		const table = new BackendTable({drainMs});
		table.upsert(backend('a'), 0);
		expect(table.vanish('a', 100)?.leavesAtMs).toBe(100 + drainMs);
		expect(table.upsert(backend('a'), 500).entry.leavesAtMs).toBeUndefined();
	});

	it('lapsed entries are used a moment when there is no other, and not as long as new work is forbidden', () => {
		const table = new BackendTable({drainMs});
		table.upsert(backend('a'), 0);
		table.vanish('a', 1000);
		expect(usable(table, 1700)).toEqual(['a']);
		expect(usable(table, 1000 + drainMs)).toEqual([]);
	});

	it.each([{leavesInMs: undefined, expected: drainMs}, {leavesInMs: 2600, expected: 2600}])('leaves after $leavesInMs', ({leavesInMs, expected}) => {
		const table = new BackendTable({drainMs});
		expect(table.upsert(backend('a', BackendState.Draining, leavesInMs), 0).entry.leavesAtMs).toBe(expected);
	});
});

describe('a backend server that starts again under its name', () => {
	const started = (startedAtMs: number, service = 's'): Backend => ({
		...backend(`a@${startedAtMs}`), name: 'a', startedAtMs, service,
	});

	it.each([
		{
			name: 'is a new one, though the old one was leaving', act(table: BackendTable) {
				table.upsert({...started(1), state: BackendState.Draining}, 0);
				table.upsert(started(2), 100);
			}, expected: ['a@2'],
		},
		{
			name: 'is not overwritten by a late entry of its earlier start', act(table: BackendTable) {
				table.upsert(started(2), 0);
				table.upsert({...started(1), state: BackendState.Draining}, 100);
			}, expected: ['a@2'],
		},
		{
			name: 'comes back after its entry was removed', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.vanish('a', 100);
				table.upsert(started(2), 200);
			}, expected: ['a@2'],
		},
		{
			name: 'is found under its new service only', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.upsert(started(1, 'other'), 100);
			}, expected: [],
		},
		{
			name: 'gets no work while its entry is unreadable and another is there', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.upsert(backend('b'), 0);
				table.withhold('a', 100);
			}, expected: ['b'],
		},
		{
			name: 'gets work again once its entry is readable', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.upsert(backend('b'), 0);
				table.withhold('a', 100);
				table.upsert(started(1), 200);
			}, expected: ['a@1', 'b'],
		},
	])('$name', ({act, expected}) => {
		const table = new BackendTable({drainMs});
		act(table);
		expect(usable(table, 300)).toEqual(expected);
	});

	it('has ended before', () => {
		const table = new BackendTable({drainMs});
		table.upsert(started(1), 0);
		expect(table.get('a@1')?.isEnded).toBe(false);
		table.upsert(started(2), 100);
		expect(table.get('a@1')).toMatchObject({isEnded: true, leavesAtMs: 100});
	});

	it('one whose entry is unreadable is not expected to leave', () => {
		const table = new BackendTable({drainMs});
		table.upsert(started(1), 0);
		table.withhold('a', 100);
		expect(table.get('a@1')?.leavesAtMs).toBeUndefined();
	});
});
