// Global setup of the tests: builds the bundle once, for the tests that start real processes.
import process from 'node:process';
import {execFileSync} from 'node:child_process';

/** Called by vitest before all test files. */
export function setup() {
	execFileSync(process.execPath, ['scripts/bundle.mjs'], {stdio: 'inherit'});
}
