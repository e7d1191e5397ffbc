/**
 * `npm run soak -- FIRST COUNT SECONDS DAEMONS [store|replicas|statements|versions|prompts|restores|paces|moves|stops|planned]`: runs COUNT seeds from FIRST on, one after the other,
 * and prints the violations of each. `store` adds faults on the link to the store; `replicas` adds a request that
 * crashes replicas and a replica that states a limit; `statements` adds replicas that announce that they leave or ask
 * for a cooldown, without faults on the links to replicas; `versions` adds replicas of several versions side by side, and
 * clients that take up streams that break off; `prompts` adds a part of prompts that crashes replicas, answers without
 * length, and daemons that receive most requests; `restores` adds restores of the store from a copy;
 * `paces` adds replicas with few slots that state how long work takes there; `moves` adds replicas with few slots that
 * refuse requests early, repeat refusals, and are reclaimed while they move running streams; `stops` is `moves` with
 * streams that end with their connections, orders that stop them whatever becomes of the answers, and reclaimed replicas
 * that exit with runs unfinished; `planned` has planned
 * work only, beside such replicas that are silent or refuse late, and checks that no answer ends early.
 */
import process from 'node:process';
import {minServedShare, runSoak} from './soak.js';

const [first = '1', count = '50', seconds = '6', daemons = '3', extraFaults = ''] = process.argv.slice(2);
let failed = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
	// eslint-disable-next-line no-await-in-loop -- all runs use the same ports.
	const {tries, served, servedLast, lastEnds, faults, broken, streams, quarantined, moved, refused} = await runSoak(seed, Number(seconds) * 1000, Number(daemons), {
		hasStoreLinkFaults: extraFaults === 'store', hasReplicaFaults: extraFaults === 'replicas', hasReplicaStatements: extraFaults === 'statements', hasVersions: extraFaults === 'versions', hasPrompts: extraFaults === 'prompts', hasStoreRestores: extraFaults === 'restores', hasPaces: extraFaults === 'paces', hasMoves: extraFaults === 'moves' || extraFaults === 'stops', hasStops: extraFaults === 'stops', hasPlannedWork: extraFaults === 'planned',
	});
	failed += broken.length > 0 || servedLast < minServedShare ? 1 : 0;
	process.stdout.write(`seed ${seed}: ${served} of ${tries} served, ${servedLast.toFixed(2)} after the faults, ${faults.length} faults, ${broken.length} violations${streams ? `, ${streams.wentOn} of ${streams.takenUp} streams taken up in contact went on, ${streams.streamsWentOn} of ${streams.streams} at any time` : ''}${quarantined === undefined ? '' : `, ${quarantined} sound requests quarantined`}${moved === undefined ? '' : `, ${moved} streams moved, ${refused} requests refused by replicas`}\n`);
	if (servedLast < minServedShare) {
		process.stdout.write(`  after the faults: ${JSON.stringify(lastEnds)}\n  faults: ${faults.join(', ')}\n`);
	}

	for (const violation of broken) {
		process.stdout.write(`  ${violation}\n`);
	}
}

process.exitCode = failed > 0 ? 1 : 0;
