import {execFileSync} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {describe, expect, it} from 'vitest';

/** Runs spin's exhaustive safety check of a model, compiled with the given macros, and returns the number of errors. */
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
			model: 'config.pml', name: 'readers agree, accept one record per base and never revert', defines: [], errors: 0,
		},
		{
			model: 'config.pml', name: 'finds a reader that accepts any record', defines: ['-DACCEPT_ANY'], errors: 1,
		},
		{
			model: 'lease.pml', name: 'no order is accepted under an older fencing token', defines: [], errors: 0,
		},
		{
			model: 'lease.pml', name: 'finds a lease holder that does not check its clock', defines: ['-DNO_EXPIRY'], errors: 1,
		},
		{
			model: 'lease.pml', name: 'finds gateways that claim the lease without waiting for its expiry', defines: ['-DNO_WAIT'], errors: 1,
		},
		{
			model: 'view-age.pml', name: 'no API key is accepted longer than the revocation bound after its revocation', defines: [], errors: 0,
		},
		{
			model: 'view-age.pml', name: 'finds a view age that counts from the arrival of the answer', defines: ['-DAGE_FROM_ANSWER'], errors: 1,
		},
		{
			model: 'view-age.pml', name: 'finds a clock that stops while the machine is suspended', defines: ['-DMONOTONIC_ONLY'], errors: 1,
		},
		{
			model: 'relayed.pml', name: 'no API key is accepted too long by a daemon whose view is confirmed by a relay', defines: [], errors: 0,
		},
		{
			model: 'relayed.pml', name: 'finds a view age that counts from the arrival of the relay\'s answer', defines: ['-DAGE_FROM_RECEIPT'], errors: 1,
		},
		{
			model: 'relayed.pml', name: 'finds a daemon that accepts the relay\'s confirmation although its view lacks records that the relay has read', defines: ['-DIGNORE_MISSING'], errors: 1,
		},
		{
			model: 'quarantine.pml', name: 'a crash counts once, and not at all if it preceded a completed run', defines: [], errors: 0,
		},
		{
			model: 'quarantine.pml', name: 'finds daemons that count crash reports instead of crashes', defines: ['-DCOUNT_MESSAGES'], errors: 1,
		},
		{
			model: 'quarantine.pml', name: 'finds daemons that accept older crash reports after a completed run', defines: ['-DIGNORE_CLEARED'], errors: 1,
		},
		{
			model: 'duties.pml', name: 'no duty holder acts both before and after another one within a lease duration', defines: [], errors: 0,
		},
		{
			model: 'duties.pml', name: 'finds a new duty holder that acts without waiting', defines: ['-DNO_QUIET'], errors: 1,
		},
		{
			model: 'duties.pml', name: 'finds a duty holder that acts on an unconfirmed view', defines: ['-DNO_CONFIRM'], errors: 1,
		},
		{
			model: 'rollout.pml', name: 'no order ends in two ways, and no daemon sends requests to a version after learning that it was rolled back', defines: [], errors: 0,
		},
		{
			model: 'rollout.pml', name: 'finds duty holders that commit phases without having read the last one', defines: ['-DNO_CONDITION'], errors: 1,
		},
		{
			model: 'rollout.pml', name: 'finds daemons that return to the phase of a late message', defines: ['-DIGNORE_ORDER'], errors: 1,
		},
	])('$model: $name', ({model, defines, errors}) => {
		expect(verify(model, defines)).toBe(errors);
	}, 150_000);
});
