// Builds the bundle once before the tests that start real processes.
import process from 'node:process';
import {execFileSync} from 'node:child_process';

export function setup() {
	execFileSync(process.execPath, ['scripts/bundle.mjs'], {stdio: 'inherit'});
}
