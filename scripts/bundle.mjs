// Bundles the command line into one CommonJS file of plain JavaScript, dist/sesametally.cjs unless another is named; with --code-cache it starts from compiled code.
import process from 'node:process';
import {build} from 'esbuild';
import {addCodeCache} from './code-cache.mjs';

const withCodeCache = process.argv.includes('--code-cache');
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
	// The optional native part of msgpackr cannot ride in a single executable; it runs in pure JavaScript.
	external: ['msgpackr-extract'],
});
if (withCodeCache) {
	addCodeCache(outfile);
}
