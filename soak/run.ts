/** `npm run soak -- FIRST COUNT SECONDS DAEMONS [store|replicas]`: plays seeds one after the other, with `store` also with faults on the link to the store, with `replicas` also with a request that crashes replicas and a replica that states a limit, and prints what each broke. */
import process from 'node:process';
import {leastServed, soak} from './soak.js';

const [first = '1', count = '50', seconds = '6', daemons = '3', trouble = ''] = process.argv.slice(2);
let failed = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
	// eslint-disable-next-line no-await-in-loop -- one run at a time: each has its own ports and processes.
	const {tries, served, servedLast, lastEnds, faults, broken} = await soak(seed, Number(seconds) * 1000, Number(daemons), {hasStoreLink: trouble === 'store', hasReplicaTrouble: trouble === 'replicas'});
	failed += broken.length > 0 || servedLast < leastServed ? 1 : 0;
	process.stdout.write(`seed ${seed}: ${served} of ${tries} served, ${servedLast.toFixed(2)} after the faults, ${faults.length} faults, ${broken.length} broken\n`);
	if (servedLast < leastServed) {
		process.stdout.write(`  after the faults: ${JSON.stringify(lastEnds)}\n  faults: ${faults.join(', ')}\n`);
	}

	for (const line of broken) {
		process.stdout.write(`  ${line}\n`);
	}
}

process.exitCode = failed > 0 ? 1 : 0;
