import {execFileSync} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

const model = path.resolve('model/config.pml');

/** Runs spin's exhaustive safety check of the config model and returns the error count. */
function verify(defines: string[]): number {
	const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-spin-'));
	execFileSync('spin', [...defines, '-a', model], {cwd: dir});
	execFileSync('gcc', ['-O2', '-o', 'pan', 'pan.c'], {cwd: dir});
	let output: string;
	try {
		output = execFileSync('./pan', [], {cwd: dir, encoding: 'utf8'});
	} catch (error) {
		output = String((error as {stdout: string}).stdout);
	}

	const errors = /errors: (?<count>\d+)/v.exec(output)?.groups?.count;
	if (errors === undefined) {
		throw new Error(`spin printed no error count:\n${output}`);
	}

	return Number(errors);
}

describe('model check of the config stream (spin)', () => {
	it.each([
		{name: 'the reader as built: readers agree, one winner per base, no revert', defines: [], errors: 0},
		{name: 'a reader that accepts any record is caught', defines: ['-DACCEPT_ANY'], errors: 1},
	])('$name', ({defines, errors}) => {
		expect(verify(defines)).toBe(errors);
	});
});
