/** Runs the bundle beside this file with its V8 code cache; see code-cache.mjs. */
'use strict';
const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const mainFile = __filename.replace(/\.cjs$/v, '.main.cjs');
const cacheFile = `${mainFile}.cache`;
const script = new vm.Script(nodeModule.wrap(fs.readFileSync(mainFile, 'utf8')), {
	filename: mainFile,
	cachedData: fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined,
});
const mainModule = {exports: {}};
script.runInThisContext().call(mainModule.exports, mainModule.exports, nodeModule.createRequire(mainFile), mainModule, mainFile, path.dirname(mainFile));
