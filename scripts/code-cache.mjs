/**
 * Makes a bundle start from compiled code: it becomes OUT.main.cjs, with V8's code cache of
 * what a serving daemon runs at its start beside it, and OUT itself loads both. After a
 * restart compiling was 100 of the 250 ms of processor time until the daemon's ports opened.
 * The cache counts only for the same Node and V8 flags; otherwise the code is compiled as usual.
 */
import {copyFileSync, renameSync} from 'node:fs';
import {execFileSync} from 'node:child_process';
import process from 'node:process';

/** The V8 flags that the deploy file runs the daemon with. */
const flags = ['--max-old-space-size=160', '--max-semi-space-size=4'];

/** Puts a launcher in the place of a bundle. */
export function addCodeCache(bundle) {
	const main = bundle.replace(/\.cjs$/v, '.main.cjs');
	renameSync(bundle, main);
	copyFileSync('scripts/launcher.cjs', bundle);
	execFileSync(process.execPath, [...flags, 'scripts/warm-up.cjs', main], {stdio: ['ignore', 'ignore', 'inherit']});
}
