// Bundles the command line into one CommonJS file of plain JavaScript, dist/sesametally.cjs unless another is named.
import process from 'node:process';
import {build} from 'esbuild';

await build({
	entryPoints: ['src/cli/index.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outfile: process.argv[2] ?? 'dist/sesametally.cjs',
	sourcemap: 'linked',
	logLevel: 'warning',
	// The optional native part of msgpackr cannot ride in a single executable; it runs in pure JavaScript.
	external: ['msgpackr-extract'],
});
