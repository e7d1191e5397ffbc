// `npm start`: starts the local stack of an example deployment, with one OS process per role on loopback, and stops
// all processes on SIGINT or SIGTERM.
// Usage: node scripts/local-stack.mjs [EXAMPLE_FOLDER]
import process from 'node:process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {startStack, waitUntil, writeStackSettings} from './stack.mjs';

const example = process.argv[2] ?? 'examples/cooperativa';
const topology = JSON.parse(readFileSync(path.join(example, 'stack.json'), 'utf8'));
const stack = writeStackSettings(topology, path.join(example, 'settings'));
const runningStack = startStack(stack.processes);
const apiKey = topology.accounts[0].apiKeys[0];
const model = topology.models[0].name;

/** Time limit until all gateways are ready, in milliseconds: the first start on a slow machine takes 6 s. */
const readyTimeoutMs = 60_000;

await Promise.all(stack.gateways.map(async ({url}) => waitUntil(async () => {
	const answer = await fetch(`${url}/ready`);
	return answer.ok;
}, readyTimeoutMs)));
process.stdout.write(`\nsesametally local stack "${topology.name}" is ready: ${runningStack.children.length} processes. Try:\n\n`
	+ `curl -N ${stack.gateways[0].url}/v1/chat/completions -H 'authorization: Bearer ${apiKey}' -H 'content-type: application/json' `
	+ `-d '{"model":"${model}","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Summarise the offtake contract."}]}'\n\n`
	+ 'Press Ctrl-C to stop.\n');

let isStopping = false;
for (const name of ['SIGINT', 'SIGTERM']) {
	process.on(name, async () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		process.stdout.write('stopping the local stack...\n');
		await runningStack.stop();
		process.stdout.write('stopped.\n');
		process.exit(0);
	});
}
