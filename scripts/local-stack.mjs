// `npm start`: starts the local stack of an example deployment, each role its own OS process
// on loopback, and stops them all on SIGINT or SIGTERM.
import process from 'node:process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {startStack, waitUntil, writeStackSettings} from './stack.mjs';

const example = process.argv[2] ?? 'examples/cooperativa';
const topology = JSON.parse(readFileSync(path.join(example, 'stack.json'), 'utf8'));
const stack = writeStackSettings(topology, path.join(example, 'settings'));
const running = startStack(stack.processes);
const key = topology.accounts[0].apiKeys[0];
const model = topology.models[0].name;

/** A first start on a slow machine took 6 s. */
const readyWithinMs = 60_000;

await Promise.all(stack.gateways.map(async ({url}) => waitUntil(async () => {
	const answer = await fetch(`${url}/ready`);
	return answer.ok;
}, readyWithinMs)));
process.stdout.write(`\nsesametally local stack "${topology.name}" is ready: ${running.children.length} processes. Try:\n\n`
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
