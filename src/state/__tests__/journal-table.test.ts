import {describe, expect, it} from 'vitest';
import {type JournalRecord, JournalRecordKind} from '../../protocol/journal-records.js';
import {JournalTable} from '../journal-table.js';

const keptMs = 1000;
const intent = (id: string, key = 'k'): JournalRecord => ({
	kind: JournalRecordKind.Intent, id, account: 'a', key, service: 's', gateway: 'g',
});
const release = (id: string): JournalRecord => ({
	kind: JournalRecordKind.Release, id, account: 'a', key: 'k',
});

describe('the first intent of a key', () => {
	it.each([
		{name: 'is the first in log order', records: [[0, intent('one')], [1, intent('two')]], first: 'one'},
		{name: 'is free again once released', records: [[0, intent('one')], [1, release('one')]], first: undefined},
		{name: 'is the next one after a release', records: [[0, intent('one')], [1, release('one')], [2, intent('two')]], first: 'two'},
		{name: 'never is one whose release came before it', records: [[0, release('one')], [1, intent('one')]], first: undefined},
		{name: 'stays when another intent is released', records: [[0, intent('one')], [1, intent('two')], [2, release('two')]], first: 'one'},
		{name: 'is kept until its time is over', records: [[0, intent('one')], [keptMs, intent('other', 'k2')]], first: 'one'},
		{name: 'is forgotten after its time, by the log\'s clock', records: [[0, intent('one')], [keptMs + 1, intent('other', 'k2')]], first: undefined},
	] as Array<{name: string; records: Array<[number, JournalRecord]>; first: string | undefined}>)('$name', ({records, first}) => {
		const table = new JournalTable('g', keptMs);
		for (const [offset, [appendedAtMs, value]] of records.entries()) {
			table.apply({offset, appendedAtMs, value});
		}

		expect(table.firstFor('a', 'k')?.id).toBe(first);
	});
});
