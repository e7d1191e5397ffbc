/** `npm run soak -- FIRST COUNT SECONDS`: plays seeds one after the other and prints what each broke. */
import process from 'node:process';
import {soak} from './soak.js';

const [first = '1', count = '50', seconds = '6'] = process.argv.slice(2);
let failed = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
	// eslint-disable-next-line no-await-in-loop -- one run at a time: each has its own ports and processes.
	const {tries, served, servedLast, faults, broken} = await soak(seed, Number(seconds) * 1000);
	failed += broken.length > 0 || servedLast < 0.9 ? 1 : 0;
	process.stdout.write(`seed ${seed}: ${served} of ${tries} served, ${servedLast.toFixed(2)} after the faults, ${faults.length} faults, ${broken.length} broken\n`);
	for (const line of broken) {
		process.stdout.write(`  ${line}\n`);
	}
}

process.exitCode = failed > 0 ? 1 : 0;
