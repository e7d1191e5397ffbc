import {describe, expect, it} from 'vitest';
import {ConfigTable} from '../config-table.js';
import {type ConfigRecord, ConfigRecordKind} from '../../protocol/config-records.js';

const limits = {default: {requestsPerSecond: 1, burst: 1, maxConcurrent: 1}};
const preset = (name: string, team: string, base: number, id = `${name}-${team}-${base}`): ConfigRecord => ({
	kind: ConfigRecordKind.Preset, id, team, base, preset: {name, limits},
});
const activate = (name: string, team: string, base: number): ConfigRecord => ({
	kind: ConfigRecordKind.Activate, id: `activate-${name}-${base}`, team, base, name,
});

describe('ConfigTable', () => {
	it.each([
		{
			name: 'accepts the first in log order of two concurrent changes with the same base',
			records: [preset('ordinary', 'desk', -1), preset('peak', 'desk', 0), preset('maintenance', 'pricing', 0)],
			accepted: [true, true, false],
			version: 1,
			presets: ['ordinary', 'peak'],
		},
		{
			name: 'rejects a change of another team\'s preset',
			records: [preset('ordinary', 'desk', -1), preset('ordinary', 'pricing', 0)],
			accepted: [true, false],
			version: 0,
			presets: ['ordinary'],
		},
		{
			name: 'rejects the activation of a preset that does not exist',
			records: [activate('ghost', 'desk', -1)],
			accepted: [false],
			version: -1,
			presets: [],
		},
		{
			name: 'rejects a change based on an old version',
			records: [preset('ordinary', 'desk', -1), activate('ordinary', 'desk', 0), preset('peak', 'desk', 0)],
			accepted: [true, true, false],
			version: 1,
			presets: ['ordinary'],
		},
	])('$name', ({records, accepted, version, presets}) => {
		const table = new ConfigTable();
		const outcomes = records.map((record, offset) => table.apply(offset, record));
		expect(outcomes.map(outcome => outcome.accepted)).toEqual(accepted);
		expect(table.version).toBe(version);
		expect([...table.presets.keys()]).toEqual(presets);
	});

	it('ignores a record at an offset that was already applied', () => {
		const table = new ConfigTable();
		table.apply(0, preset('ordinary', 'desk', -1));
		table.apply(1, activate('ordinary', 'desk', 0));
		const replay = table.apply(0, preset('ordinary', 'desk', -1, 'other'));
		expect(replay).toEqual({offset: 0, accepted: false, reason: 'already applied'});
		expect(table.active).toBe('ordinary');
		expect(table.version).toBe(1);
	});
});
