// `npm start`: starts the local stack of an example deployment, each role its own OS process
// on loopback, and stops them all on SIGINT or SIGTERM.
import process from 'node:process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {startStack, writeStackSettings} from './stack.mjs';

const example = process.argv[2] ?? 'examples/cooperativa';
const topology = JSON.parse(readFileSync(path.join(example, 'stack.json'), 'utf8'));
const stack = writeStackSettings(topology, path.join(example, 'settings'));
const running = startStack(stack.processes);
const key = topology.accounts[0].apiKeys[0];
const model = topology.models[0].name;

await delay(1500);
process.stdout.write(`\nsesametally local stack "${topology.name}": ${running.children.length} processes. Try:\n\n`
	+ `curl -N ${stack.gateways[0].url}/v1/chat/completions -H 'authorization: Bearer ${key}' -H 'content-type: application/json' `
	+ `-d '{"model":"${model}","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Summarise the offtake contract."}]}'\n\n`
	+ 'Press Ctrl-C to stop.\n');

let stopping = false;
for (const name of ['SIGINT', 'SIGTERM']) {
	process.on(name, async () => {
		if (stopping) {
			return;
		}

		stopping = true;
		process.stdout.write('stopping the local stack...\n');
		await running.stop();
		process.stdout.write('stopped.\n');
		process.exit(0);
	});
}
