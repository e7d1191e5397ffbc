import {describe, expect, it} from 'vitest';
import {soak} from '../soak.js';
import {type WorldTraits} from '../world.js';

/** Seeds that once broke a promise, each with its cause, and a few that did not. */
const seeds: Array<{seed: number; daemons: number; why: string; traits?: WorldTraits}> = [
	{seed: 1, daemons: 3, why: 'a first mix of faults'},
	{seed: 2, daemons: 3, why: 'a second one'},
	{seed: 102, daemons: 16, why: 'calls on single connections lost their last bytes in the soak\'s own proxy'},
	{seed: 3, daemons: 16, why: 'more daemons than report to each other, most of which go by what relays say'},
	{
		seed: 602, daemons: 3, why: 'idle connections to the store that had gone silent were used one after the other', traits: {hasStoreLink: true},
	},
	{
		seed: 701, daemons: 3, why: 'a request that crashes replicas, and a replica that states a limit', traits: {hasReplicaTrouble: true},
	},
];

describe('the soak', () => {
	it.each(seeds)('seed $seed, $daemons daemons: $why', async ({seed, daemons, traits}) => {
		const report = await soak(seed, 5000, daemons, traits);
		expect(report.broken).toEqual([]);
		expect(report.servedLast).toBeGreaterThan(0.9);
		expect(report.tries).toBeGreaterThan(100);
	});
});
