import {describe, expect, it} from 'vitest';
import {type Digest, DigestScope} from '../../../protocol/fleet-messages.js';
import {type UseTotals} from '../merged-counters.js';
import {type DaemonLoad, UsageSums, LoadCache} from '../relay-sums.js';

const use = (admitted: number): UseTotals => new Map([['x', {admitted, refused: 0}]]);
const own: Digest = {
	scope: DigestScope.Daemon, epoch: '', daemons: 1, silent: 0, use: {x: [1, 0]}, usage: [], inFlight: [7, 1],
};

describe('UsageSums', () => {
	it('returns the totals of all daemons except the receiver', () => {
		const sums = new UsageSums();
		sums.addDaemon('a', true, use(10));
		sums.addDaemon('a', true, use(5));
		sums.addDaemon('b', true, use(100));
		sums.addDaemon('far', false, use(5000));
		sums.addDomain(use(1000));
		expect(sums.domainTotals(use(1)).get('x')?.admitted).toBe(116);
		expect(sums.restTotals(use(1), 'a').get('x')?.admitted).toBe(1101);
		expect(sums.restTotals(use(1), 'new').get('x')?.admitted).toBe(1116);
	});
});

describe('LoadCache', () => {
	const daemons = new Map<string, DaemonLoad>([
		['a', {
			daemons: 1, silent: 0, responsive: 1, inFlight: [7, 2, 8, 3],
		}],
		['b', {
			daemons: 1, silent: 1, responsive: 0, inFlight: [7, 4],
		}],
	]);
	const sources = {
		daemons: () => daemons,
		otherDomains: () => [{count: () => ({daemons: 30, silent: 2, responsive: 28}), inFlight: () => [[8, 40]]}],
	};

	it.each([
		{
			name: 'the failure domain', createSums: () => new LoadCache().domain(own, sources, 0), expected: {daemons: 3, silent: 1, inFlight: [7, 7, 8, 3]},
		},
		{
			name: 'all daemons except a responsive receiver', createSums: () => new LoadCache().rest(own, 'a', sources, 0), expected: {daemons: 32, silent: 3, inFlight: [7, 5, 8, 40]},
		},
		{
			name: 'all daemons except a receiver that was silent', createSums: () => new LoadCache().rest(own, 'b', sources, 0), expected: {daemons: 32, silent: 2, inFlight: [7, 3, 8, 43]},
		},
		{
			name: 'all daemons when the receiver is not known yet', createSums: () => new LoadCache().rest(own, 'new', sources, 0), expected: {daemons: 33, silent: 3, inFlight: [7, 7, 8, 43]},
		},
	])('sums over $name', ({createSums, expected}) => {
		expect(createSums()).toEqual(expected);
	});

	it('subtracts the load that the receiver had when the sums were computed, not its current load', () => {
		const cache = new LoadCache();
		let inFlight = [7, 2];
		const changing = {
			daemons: () => new Map([['a', {
				daemons: 1, silent: 0, responsive: 1, inFlight,
			}]]), otherDomains: () => [],
		};
		expect(cache.rest(own, 'a', changing, 0).inFlight).toEqual([7, 1]);
		inFlight = [7, 9];
		expect(cache.rest(own, 'a', changing, 20).inFlight).toEqual([7, 1]);
		expect(cache.rest(own, 'a', changing, 60).inFlight).toEqual([7, 1]);
		expect(cache.domain(own, changing, 60).inFlight).toEqual([7, 10]);
	});
});
