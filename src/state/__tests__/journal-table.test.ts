import {describe, expect, it} from 'vitest';
import {type JournalRecord, JournalRecordKind} from '../../protocol/journal-records.js';
import {JournalTable} from '../journal-table.js';

const retentionMs = 1000;
const intent = (id: string, key = 'k'): JournalRecord => ({
	kind: JournalRecordKind.Intent, id, account: 'a', key, service: 's', gateway: 'g',
});
const release = (id: string): JournalRecord => ({
	kind: JournalRecordKind.Release, id, account: 'a', key: 'k',
});

describe('the lookup of the first intent of a key', () => {
	it.each([
		{name: 'returns the first intent in log order', records: [[0, intent('one')], [1, intent('two')]], first: 'one'},
		{name: 'returns none once the intent is released', records: [[0, intent('one')], [1, release('one')]], first: undefined},
		{name: 'returns an intent that was appended after the release of the first', records: [[0, intent('one')], [1, release('one')], [2, intent('two')]], first: 'two'},
		{name: 'returns none when the release precedes its intent in the log', records: [[0, release('one')], [1, intent('one')]], first: undefined},
		{name: 'still returns the first intent when another one is released', records: [[0, intent('one')], [1, intent('two')], [2, release('two')]], first: 'one'},
		{name: 'returns an intent until its retention ends', records: [[0, intent('one')], [retentionMs, intent('other', 'k2')]], first: 'one'},
		{name: 'returns none after the retention, measured by the log\'s clock', records: [[0, intent('one')], [retentionMs + 1, intent('other', 'k2')]], first: undefined},
	] as Array<{name: string; records: Array<[number, JournalRecord]>; first: string | undefined}>)('$name', ({records, first}) => {
		const table = new JournalTable('g', retentionMs);
		for (const [offset, [appendedAtMs, value]] of records.entries()) {
			table.apply({offset, appendedAtMs, value});
		}

		expect(table.firstIntentFor('a', 'k')?.id).toBe(first);
	});
});
