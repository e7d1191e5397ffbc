import {describe, expect, it} from 'vitest';
import {type Digest, DigestScope} from '../../../protocol/fleet-messages.js';
import {type UseTotals} from '../merged-counters.js';
import {type Contribution, CountedUse, KeptLoad} from '../relay-sums.js';

const use = (admitted: number): UseTotals => new Map([['x', {admitted, refused: 0}]]);
const own: Digest = {
	scope: DigestScope.Daemon, epoch: '', daemons: 1, silent: 0, use: {x: [1, 0]}, usage: [], inFlight: [7, 1],
};

describe('CountedUse', () => {
	it('tells each daemon the totals of all others', () => {
		const counted = new CountedUse();
		counted.addDaemon('a', true, use(10));
		counted.addDaemon('a', true, use(5));
		counted.addDaemon('b', true, use(100));
		counted.addDaemon('far', false, use(5000));
		counted.addDomain(use(1000));
		expect(counted.domainTotals(use(1)).get('x')?.admitted).toBe(116);
		expect(counted.restTotals(use(1), 'a').get('x')?.admitted).toBe(1101);
		expect(counted.restTotals(use(1), 'new').get('x')?.admitted).toBe(1116);
	});
});

describe('KeptLoad', () => {
	const daemons = new Map<string, Contribution>([
		['a', {daemons: 1, silent: 0, inFlight: [7, 2, 8, 3]}],
		['b', {daemons: 1, silent: 1, inFlight: [7, 4]}],
	]);
	const sources = {
		daemons: () => daemons,
		otherDomains: () => [{count: () => ({daemons: 30, silent: 2}), inFlight: () => [[8, 40]]}],
	};

	it.each([
		{
			name: 'its failure domain', told: () => new KeptLoad().domain(own, sources, 0), expected: {daemons: 3, silent: 1, inFlight: [7, 7, 8, 3]},
		},
		{
			name: 'all but one that is heard', told: () => new KeptLoad().rest(own, 'a', sources, 0), expected: {daemons: 32, silent: 3, inFlight: [7, 5, 8, 40]},
		},
		{
			name: 'all but one that was silent', told: () => new KeptLoad().rest(own, 'b', sources, 0), expected: {daemons: 32, silent: 2, inFlight: [7, 3, 8, 43]},
		},
		{
			name: 'all where the asker is new', told: () => new KeptLoad().rest(own, 'new', sources, 0), expected: {daemons: 33, silent: 3, inFlight: [7, 7, 8, 43]},
		},
	])('sums over $name', ({told, expected}) => {
		expect(told()).toEqual(expected);
	});

	it('takes off what an asker had when the sums were made, not what it has by now', () => {
		const load = new KeptLoad();
		let inFlight = [7, 2];
		const changing = {daemons: () => new Map([['a', {daemons: 1, silent: 0, inFlight}]]), otherDomains: () => []};
		expect(load.rest(own, 'a', changing, 0).inFlight).toEqual([7, 1]);
		inFlight = [7, 9];
		expect(load.rest(own, 'a', changing, 20).inFlight).toEqual([7, 1]);
		expect(load.rest(own, 'a', changing, 60).inFlight).toEqual([7, 1]);
		expect(load.domain(own, changing, 60).inFlight).toEqual([7, 10]);
	});
});
