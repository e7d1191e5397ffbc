// Builds dist/sesametally, a Node.js single executable application that embeds dist/sesametally.cjs.
import process from 'node:process';
import {execFileSync} from 'node:child_process';
import {copyFileSync, writeFileSync} from 'node:fs';

writeFileSync('dist/sea.json', JSON.stringify({main: 'dist/sesametally.cjs', output: 'dist/sea-prep.blob', disableExperimentalSEAWarning: true})); // eslint-disable-line @typescript-eslint/naming-convention -- a key of Node.js
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: 'inherit'});
copyFileSync(process.execPath, 'dist/sesametally');
execFileSync('npx', ['postject', 'dist/sesametally', 'NODE_SEA_BLOB', 'dist/sea-prep.blob', '--sentinel-fuse', 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'], {stdio: 'inherit'});
process.stdout.write('built dist/sesametally\n');
