// Bundles the command line program into one CommonJS file, by default dist/sesametally.cjs.
// With --code-cache, the bundle starts from a V8 code cache; see code-cache.mjs.
// Usage: node scripts/bundle.mjs [--code-cache] [FILE]
import process from 'node:process';
import {build} from 'esbuild';
import {addCodeCache} from './code-cache.mjs';

const shouldAddCodeCache = process.argv.includes('--code-cache');
const outfile = process.argv.slice(2).find(argument => !argument.startsWith('--')) ?? 'dist/sesametally.cjs';

await build({
	entryPoints: ['src/cli/index.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outfile,
	sourcemap: 'linked',
	logLevel: 'warning',
	// The optional native addon of msgpackr can't be embedded in a single executable; msgpackr falls back to JavaScript.
	external: ['msgpackr-extract'],
});
if (shouldAddCodeCache) {
	addCodeCache(outfile);
}
