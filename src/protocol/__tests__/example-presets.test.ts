import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import {checkPreset} from '../config-records.js';

const deployments = ['cooperativa', 'jari'];
const presets = deployments.flatMap(deployment => {
	const dir = path.join('examples', deployment, 'presets');
	return readdirSync(dir).map(file => ({deployment, file, text: readFileSync(path.join(dir, file), 'utf8')}));
});

describe('the example presets', () => {
	it.each(presets)('$deployment $file matches the schema and is named after its file', ({file, text}) => {
		expect(checkPreset(JSON.parse(text)).name).toBe(path.basename(file, '.json'));
	});
});
