/**
 * Starts a serving daemon on free loopback ports, with a store that does not answer, and
 * writes V8's code cache of what has run by then beside the bundle. Called by code-cache.mjs.
 */
'use strict';
const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

/** Time for the daemon to load all it loads at its start, in milliseconds: ten times what it takes on an idle machine. */
const warmUpMs = 2500;

const main = path.resolve(process.argv[2]);
const script = new vm.Script(nodeModule.wrap(fs.readFileSync(main, 'utf8')), {filename: main});
process.env.SESAMETALLY_BOOT = 'platform/warm-up-settings.json';
process.argv = [process.argv[0], main, 'front'];
setTimeout(() => {
	fs.writeFileSync(`${main}.cache`, script.createCachedData());
	process.exit(0); // eslint-disable-line unicorn/no-process-exit -- the daemon would run on.
}, warmUpMs);
const bundle = {exports: {}};
script.runInThisContext().call(bundle.exports, bundle.exports, nodeModule.createRequire(main), bundle, main, path.dirname(main));
