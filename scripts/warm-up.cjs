/**
 * Starts a serving daemon on free loopback ports, with a store that doesn't answer, and writes a
 * V8 code cache of the functions that it has run after its start beside the bundle. Called by
 * code-cache.mjs.
 */
'use strict';
const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

/** Time for the daemon to finish its start, in milliseconds: ten times what this takes on an idle machine. */
const warmUpMs = 2500;

const mainFile = path.resolve(process.argv[2]);
const script = new vm.Script(nodeModule.wrap(fs.readFileSync(mainFile, 'utf8')), {filename: mainFile});
process.env.SESAMETALLY_BOOT = 'platform/warm-up-settings.json';
process.argv = [process.argv[0], mainFile, 'front'];
setTimeout(() => {
	fs.writeFileSync(`${mainFile}.cache`, script.createCachedData());
	process.exit(0); // eslint-disable-line unicorn/no-process-exit -- the daemon would keep running.
}, warmUpMs);
const mainModule = {exports: {}};
script.runInThisContext().call(mainModule.exports, mainModule.exports, nodeModule.createRequire(mainFile), mainModule, mainFile, path.dirname(mainFile));
