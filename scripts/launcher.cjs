/** Runs the bundle beside it from V8's code cache; see code-cache.mjs. */
'use strict';
const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const main = __filename.replace(/\.cjs$/v, '.main.cjs');
const cache = `${main}.cache`;
const script = new vm.Script(nodeModule.wrap(fs.readFileSync(main, 'utf8')), {
	filename: main,
	cachedData: fs.existsSync(cache) ? fs.readFileSync(cache) : undefined,
});
const bundle = {exports: {}};
script.runInThisContext().call(bundle.exports, bundle.exports, nodeModule.createRequire(main), bundle, main, path.dirname(main));
