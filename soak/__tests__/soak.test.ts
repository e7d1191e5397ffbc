import {describe, expect, it} from 'vitest';
import {soak} from '../soak.js';

/** Seeds that once broke a promise, each with its cause, and a few that did not. */
const seeds: Array<{seed: number; why: string}> = [
	{seed: 1, why: 'a first mix of faults'},
	{seed: 2, why: 'a second one'},
];

describe('the soak', () => {
	it.each(seeds)('seed $seed: $why', async ({seed}) => {
		const report = await soak(seed, 5000);
		expect(report.broken).toEqual([]);
		expect(report.servedLast).toBeGreaterThan(0.9);
		expect(report.tries).toBeGreaterThan(100);
	});
});
