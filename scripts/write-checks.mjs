// `npm run checks`: compiles the schemas of the platform's settings and records into validation functions in
// platform/generated-checks.js, or in the file that the first argument names.
import {writeFileSync} from 'node:fs';
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {Ajv} from 'ajv';
import standalone from 'ajv/dist/standalone/index.js';
import {build} from 'esbuild';

const bundled = await build({
	entryPoints: ['platform/schemas.ts'], bundle: true, format: 'esm', write: false,
});
const source = Buffer.from(bundled.outputFiles[0].contents).toString('base64');
const {settingsSchema, backendSchema, configSchema, rolloutSchema} = await import(`data:text/javascript;base64,${source}`);
const schemas = {
	settings: settingsSchema, backend: backendSchema, config: configSchema, rollout: rolloutSchema,
};
const ajv = new Ajv({
	allErrors: false, useDefaults: true, strict: true, strictTypes: false, schemas, code: {source: true, esm: true},
});
const code = standalone.default(ajv, {
	checkSettings: 'settings', checkBackend: 'backend', checkConfig: 'config', checkRollout: 'rollout',
});
writeFileSync(process.argv[2] ?? 'platform/generated-checks.js', `// Written by scripts/write-checks.mjs from platform/schemas.ts.\n${code}\n`);
