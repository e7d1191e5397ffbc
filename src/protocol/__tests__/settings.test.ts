import process from 'node:process';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {standinValidators} from '../../standins/settings.js';
import {loadSettings} from '../settings.js';
import {SettingsError} from '../errors.js';

const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-settings-'));

const goodEngine = {
	id: 'desk-0', listen: {host: '127.0.0.1', port: 7101}, failureDomain: 'fd-a', model: 'desk',
};

function writeSettings(name: string, value: unknown): string {
	const file = path.join(dir, name);
	writeFileSync(file, typeof value === 'string' ? value : JSON.stringify(value));
	return file;
}

describe('loadSettings', () => {
	it.each([
		{
			name: 'missing setting', value: {...goodEngine, failureDomain: undefined}, setting: '/failureDomain', detail: 'is missing',
		},
		{
			name: 'port out of range', value: {...goodEngine, listen: {host: '127.0.0.1', port: 70_000}}, setting: '/listen/port', detail: 'must be <= 65535',
		},
		{
			name: 'unknown setting', value: {...goodEngine, colour: 'red'}, setting: '/colour', detail: 'is not a known setting',
		},
		{
			name: 'wrong type', value: {...goodEngine, tpotMs: 'fast'}, setting: '/tpotMs', detail: 'must be integer',
		},
		{
			name: 'not JSON', value: '{', setting: '(file)', detail: 'is not valid JSON',
		},
	])('rejects an invalid file with an error that names the setting: $name', ({name, value, setting, detail}) => {
		const file = writeSettings(`${name}.json`, value);
		expect(() => loadSettings(file, standinValidators.engine)).toThrow(new SettingsError(file, setting, detail));
	});

	it('fills in defaults', () => {
		const settings = loadSettings<{tpotMs: number; checksFencing: boolean}>(writeSettings('good.json', goodEngine), standinValidators.engine);
		expect(settings).toMatchObject({tpotMs: 10, checksFencing: true});
	});

	it.each([
		{role: ['gateway'], file: 'missing.json', message: 'setting (file) cannot be read'},
		{role: ['standin', 'engine'], file: 'bad-port.json', message: 'setting /listen/port must be <= 65535'},
	])('makes a process exit with status 2 and an error that names the setting: $role', ({role, file, message}) => {
		const settingsFile = path.join(dir, file);
		if (file === 'bad-port.json') {
			writeSettings(file, {...goodEngine, listen: {host: '127.0.0.1', port: 70_000}});
		}

		const result = spawnSync(process.execPath, ['dist/sesametally.cjs', ...role, '--config', settingsFile], {encoding: 'utf8', env: {...process.env, SESAMETALLY_LOG: 'off'}});
		expect(result.status).toBe(2);
		expect(result.stderr).toContain(`settings file ${settingsFile}: ${message}`);
	});
});
