// Measures the costs per gateway, request, token and VM that docs/CAPACITY.md uses, with the stand-ins on this
// machine, and prints them as JSON.
// Each experiment starts its own local stack on loopback, sends it load with `sesametally bench` or admin calls,
// reads /debug/state of the processes, and stops the stack.
// Usage: node scripts/capacity.mjs [NAME,NAME|all] [--out reports/capacity.json]
// CAPACITY_COUNTS=3,9 sets the gateway counts of `peers` and `config`; CAPACITY_VERBOSE shows the processes' output.
import process from 'node:process';
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {controller} from './experiments/controller.mjs';
import {reclaim, stops} from './experiments/failures.mjs';
import {gateway, overhead, tracked} from './experiments/gateway.mjs';
import {log} from './experiments/log.mjs';
import {config, peers, records} from './experiments/peers.mjs';

const experiments = {
	overhead, gateway, peers, config, records, tracked, log, controller, reclaim, stops,
};
const selection = process.argv[2] ?? 'all';
const outIndex = process.argv.indexOf('--out');
const results = {};
for (const name of selection === 'all' ? Object.keys(experiments) : selection.split(',')) {
	process.stderr.write(`capacity: running ${name}\n`);
	// eslint-disable-next-line no-await-in-loop
	results[name] = await experiments[name]();
	process.stdout.write(JSON.stringify({[name]: results[name]}) + '\n');
}

if (outIndex > 0) {
	mkdirSync(path.dirname(process.argv[outIndex + 1]), {recursive: true});
	writeFileSync(process.argv[outIndex + 1], JSON.stringify(results, undefined, 2));
}
