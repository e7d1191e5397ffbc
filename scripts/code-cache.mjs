/**
 * Makes a bundle start from a V8 code cache: the bundle is moved to OUT.main.cjs, with a code
 * cache of the functions that a serving daemon runs at its start beside it, and OUT itself
 * becomes a launcher that loads both. Without the cache, compiling takes 100 of the 250 ms of
 * CPU time until the ports of a restarted daemon are open. V8 accepts the cache only under the
 * same Node.js version and V8 flags; otherwise it compiles the code as usual.
 */
import {copyFileSync, renameSync} from 'node:fs';
import {execFileSync} from 'node:child_process';
import process from 'node:process';

/** The V8 flags that deploy/system.toml starts the daemon with. */
const v8Flags = ['--max-old-space-size=160', '--max-semi-space-size=4'];

/** Replaces a bundle with a launcher, and writes the code cache of the bundle. */
export function addCodeCache(bundleFile) {
	const mainFile = bundleFile.replace(/\.cjs$/v, '.main.cjs');
	renameSync(bundleFile, mainFile);
	copyFileSync('scripts/launcher.cjs', bundleFile);
	execFileSync(process.execPath, [...v8Flags, 'scripts/warm-up.cjs', mainFile], {stdio: ['ignore', 'ignore', 'inherit']});
}
