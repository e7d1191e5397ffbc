import {describe, expect, it} from 'vitest';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {BackendTable} from '../backend-table.js';

const backend = (id: string, state = BackendState.Ready, leavesInMs?: number): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 4, state, isReclaimable: false, leavesInMs, coldForMs: 0,
});
const drainMs = 2000;
const wallTimeMs = 1_000_000;
const usable = (table: BackendTable, nowMs: number) => table.candidates('s', nowMs).map(({id}) => id);

describe('BackendTable', () => {
	it.each([
		{name: 'gives a leaving backend server no new work', act: (table: BackendTable): unknown => table.upsert(backend('a', BackendState.Draining), 0), expected: ['b']},
		{
			name: 'does not use a leaving backend server again when a later entry says that it is ready', act(table: BackendTable): unknown {
				table.upsert(backend('a', BackendState.Draining), 0);
				return table.upsert(backend('a'), 0);
			}, expected: ['b'],
		},
		{name: 'gives a backend server whose entry was removed no new work while there is another', act: (table: BackendTable): unknown => table.markRemoved('a', 0), expected: ['b']},
		{
			name: 'gives a backend server no new work when another one answers at its address', act(table: BackendTable): unknown {
				table.markReplaced('a', 0);
				return undefined;
			}, expected: ['b'],
		},
		{
			name: 'gives a backend server that is missing from a full list no new work', act(table: BackendTable): unknown {
				table.retain(new Set(['b']), 0);
				return undefined;
			}, expected: ['b'],
		},
		{
			name: 'uses a backend server again when its removed entry reappears', act(table: BackendTable): unknown {
				table.markRemoved('a', 0);
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

	it('expects a backend server whose entry was removed to leave, until its entry reappears', () => {
		const table = new BackendTable({drainMs});
		table.upsert(backend('a'), 0);
		expect(table.markRemoved('a', 100)?.leavesAtMs).toBe(100 + drainMs);
		expect(table.upsert(backend('a'), 500).entry.leavesAtMs).toBeUndefined();
	});

	it('uses a backend server whose entry was removed for a short time if there is no other, but for less than the drain time', () => {
		const table = new BackendTable({drainMs});
		table.upsert(backend('a'), 0);
		table.markRemoved('a', 1000);
		expect(usable(table, 1700)).toEqual(['a']);
		expect(usable(table, 1000 + drainMs)).toEqual([]);
	});

	it.each([
		{name: 'again', act: (table: BackendTable): unknown => table.upsert(backend('a'), 100)},
		{
			name: 'after it was missing', act(table: BackendTable): unknown {
				table.markRemoved('a', 100);
				return table.upsert(backend('a'), 200);
			},
		},
		{
			name: 'after an unreadable entry', act(table: BackendTable): unknown {
				table.markUnreadable('a', 100);
				return table.upsert(backend('a'), 200);
			},
		},
	])('gives a backend server that stated that it is leaving no new work when the list shows it as ready $name', ({act}) => {
		const table = new BackendTable({drainMs});
		table.upsert(backend('a'), 0);
		table.upsert(backend('b'), 0);
		expect(table.noteStatedLeaving('a', wallTimeMs, 50)).toBe(true);
		act(table);
		expect(usable(table, 300)).toEqual(['b']);
		expect(table.noteStatedLeaving('a', wallTimeMs, 300)).toBe(false);
	});

	it.each([
		{name: 'the drain time after its statement', listed: undefined, expected: 50 + drainMs},
		{name: 'the drain time after the list shows it as draining', listed: backend('a', BackendState.Draining), expected: 900 + drainMs},
		{name: 'when its entry says', listed: backend('a', BackendState.Draining, 700), expected: 900 + 700},
	])('expects a backend server that stated that it is leaving to leave $name', ({listed, expected}) => {
		const table = new BackendTable({drainMs});
		table.upsert(backend('a'), 0);
		table.noteStatedLeaving('a', wallTimeMs, 50);
		if (listed) {
			expect(table.upsert(listed, 900).hasStartedLeaving).toBe(true);
		}

		expect(table.get('a')?.leavesAtMs).toBe(expected);
	});

	it('ignores a statement of a backend server that is not known', () => {
		expect(new BackendTable({drainMs}).noteStatedLeaving('a', wallTimeMs, 0)).toBe(false);
	});

	it.each([{leavesInMs: undefined, expected: drainMs}, {leavesInMs: 2600, expected: 2600}])('expects it to leave after $expected ms if it says $leavesInMs', ({leavesInMs, expected}) => {
		const table = new BackendTable({drainMs});
		expect(table.upsert(backend('a', BackendState.Draining, leavesInMs), 0).entry.leavesAtMs).toBe(expected);
	});
});

describe('a backend server that restarts under its name', () => {
	const started = (startedAtMs: number, service = 's'): Backend => ({
		...backend(`a@${startedAtMs}`), name: 'a', startedAtMs, service,
	});

	it.each([
		{
			name: 'is usable although the previous start was leaving', act(table: BackendTable) {
				table.upsert({...started(1), state: BackendState.Draining}, 0);
				table.upsert(started(2), 100);
			}, expected: ['a@2'],
		},
		{
			name: 'is usable although the previous start stated that it was leaving', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.noteStatedLeaving('a@1', wallTimeMs, 50);
				table.upsert(started(wallTimeMs + 1), 100);
			}, expected: [`a@${wallTimeMs + 1}`],
		},
		{
			name: 'gets no new work if it had stated that it is leaving before its entry was read', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.noteStatedLeaving('a@1', wallTimeMs, 50);
				table.upsert(started(wallTimeMs - 1), 100);
			}, expected: [],
		},
		{
			name: 'is usable although a late answer of its previous start states that it was leaving', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.upsert(started(2), 50);
				table.noteStatedLeaving('a@1', wallTimeMs, 100);
			}, expected: ['a@2'],
		},
		{
			name: 'is not overwritten by a late entry of its previous start', act(table: BackendTable) {
				table.upsert(started(2), 0);
				table.upsert({...started(1), state: BackendState.Draining}, 100);
			}, expected: ['a@2'],
		},
		{
			name: 'is usable after the entry of its previous start was removed', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.markRemoved('a', 100);
				table.upsert(started(2), 200);
			}, expected: ['a@2'],
		},
		{
			name: 'is found only under its new service', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.upsert(started(1, 'other'), 100);
			}, expected: [],
		},
		{
			name: 'gets no new work while its entry is unreadable and there is another backend server', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.upsert(backend('b'), 0);
				table.markUnreadable('a', 100);
			}, expected: ['b'],
		},
		{
			name: 'gets new work again once its entry is readable', act(table: BackendTable) {
				table.upsert(started(1), 0);
				table.upsert(backend('b'), 0);
				table.markUnreadable('a', 100);
				table.upsert(started(1), 200);
			}, expected: ['a@1', 'b'],
		},
	])('$name', ({act, expected}) => {
		const table = new BackendTable({drainMs});
		act(table);
		expect(usable(table, 300)).toEqual(expected);
	});

	it('proves that its previous start has ended', () => {
		const table = new BackendTable({drainMs});
		table.upsert(started(1), 0);
		expect(table.get('a@1')?.isEnded).toBe(false);
		table.upsert(started(2), 100);
		expect(table.get('a@1')).toMatchObject({isEnded: true, leavesAtMs: 100});
	});

	it('is not expected to leave when its entry is unreadable', () => {
		const table = new BackendTable({drainMs});
		table.upsert(started(1), 0);
		table.markUnreadable('a', 100);
		expect(table.get('a@1')?.leavesAtMs).toBeUndefined();
	});
});
