import {execFileSync} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

/** Runs spin's exhaustive safety check of a model and returns the error count. */
function verify(model: string, defines: string[]): number {
	const dir = mkdtempSync(path.join(tmpdir(), 'sesametally-spin-'));
	execFileSync('spin', [...defines, '-a', path.resolve('model', model)], {cwd: dir});
	execFileSync('gcc', ['-O2', '-DSAFETY', '-o', 'pan', 'pan.c'], {cwd: dir});
	let output: string;
	try {
		output = execFileSync('./pan', ['-m100000'], {cwd: dir, encoding: 'utf8', timeout: 120_000});
	} catch (error) {
		output = String((error as {stdout: string}).stdout);
	}

	const errors = /errors: (?<count>\d+)/v.exec(output)?.groups?.count;
	if (errors === undefined) {
		throw new Error(`spin printed no error count:\n${output}`);
	}

	return Number(errors);
}

describe('model check (spin)', () => {
	it.each([
		{
			model: 'config.pml', name: 'readers agree, one winner per base, no revert', defines: [], errors: 0,
		},
		{
			model: 'config.pml', name: 'a reader that accepts any record is caught', defines: ['-DACCEPT_ANY'], errors: 1,
		},
		{
			model: 'lease.pml', name: 'no order under an older fencing token', defines: [], errors: 0,
		},
		{
			model: 'lease.pml', name: 'a holder that does not look at its clock is caught', defines: ['-DNO_EXPIRY'], errors: 1,
		},
		{
			model: 'lease.pml', name: 'gateways that claim without waiting are caught', defines: ['-DNO_WAIT'], errors: 1,
		},
		{
			model: 'belief.pml', name: 'no key is served later than its revocation allows', defines: [], errors: 0,
		},
		{
			model: 'belief.pml', name: 'an age that counts from the answer is caught', defines: ['-DAGE_FROM_ANSWER'], errors: 1,
		},
		{
			model: 'belief.pml', name: 'a clock that stands still during a suspension is caught', defines: ['-DMONOTONIC_ONLY'], errors: 1,
		},
		{
			model: 'relayed.pml', name: 'nor by one that goes by what a relay says', defines: [], errors: 0,
		},
		{
			model: 'relayed.pml', name: 'an age that counts from when the relay\'s answer came is caught', defines: ['-DAGE_FROM_RECEIPT'], errors: 1,
		},
		{
			model: 'relayed.pml', name: 'a view that lacks what the relay has read is caught', defines: ['-DIGNORE_MISSING'], errors: 1,
		},
		{
			model: 'quarantine.pml', name: 'an end counts once, and none from before a completed run', defines: [], errors: 0,
		},
		{
			model: 'quarantine.pml', name: 'a count of messages is caught', defines: ['-DCOUNT_MESSAGES'], errors: 1,
		},
		{
			model: 'quarantine.pml', name: 'ends taken again after a completed run are caught', defines: ['-DIGNORE_CLEARED'], errors: 1,
		},
		{
			model: 'duties.pml', name: 'no daemon acts on both sides of another within a lease', defines: [], errors: 0,
		},
		{
			model: 'duties.pml', name: 'a new holder that acts at once is caught', defines: ['-DNO_QUIET'], errors: 1,
		},
		{
			model: 'duties.pml', name: 'a holder that acts on any view is caught', defines: ['-DNO_CONFIRM'], errors: 1,
		},
	])('$model: $name', ({model, defines, errors}) => {
		expect(verify(model, defines)).toBe(errors);
	}, 150_000);
});
