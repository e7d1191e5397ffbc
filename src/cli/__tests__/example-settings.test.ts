import {mkdtempSync, readdirSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {writeStackSettings} from '../../../scripts/stack.mjs';
import {gatewayValidator} from '../../protocol/gateway-settings.js';
import {loadSettings} from '../../protocol/settings.js';

describe('example settings', () => {
	it.each([{deployment: 'cooperativa'}, {deployment: 'jari'}])('of $deployment match its stack.json and the schema', ({deployment}) => {
		const example = path.join('examples', deployment);
		const topology = JSON.parse(readFileSync(path.join(example, 'stack.json'), 'utf8')) as Record<string, unknown>;
		const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-examples-'));
		writeStackSettings(topology, dir);
		const committed = path.join(example, 'settings');
		expect(readdirSync(committed)).toEqual(readdirSync(dir));
		for (const file of readdirSync(dir)) {
			expect(readFileSync(path.join(committed, file), 'utf8')).toBe(readFileSync(path.join(dir, file), 'utf8'));
		}

		expect(() => loadSettings(path.join(committed, 'gateway-0.json'), gatewayValidator)).not.toThrow();
	});
});
