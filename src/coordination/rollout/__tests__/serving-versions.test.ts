import {describe, expect, it} from 'vitest';
import {type Backend, BackendState} from '../../../protocol/serving.js';
import {ServingVersions} from '../serving-versions.js';

/** Creates backend servers, a given number of each version. */
function replicas(counts: Record<string, number>): Backend[] {
	return Object.entries(counts).flatMap(([version, count]) => Array.from({length: count}, (_, index) => ({
		id: `${version}-${index}`, name: `${version}-${index}`, startedAtMs: undefined, service: 's', version, host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	})));
}

const noOrders = {withheld: new Set<string>(), mayAdd: true};

describe('ServingVersions', () => {
	it.each([
		{
			name: 'the version that most backend servers run, until the orders are known', counts: {v1: 5, v2: 7}, ordersViewAtMs: 999, expected: ['v2'],
		},
		{
			name: 'all versions once no order names one', counts: {v1: 5, v2: 7}, ordersViewAtMs: 1000, expected: ['v1', 'v2'],
		},
		{
			name: 'no version that an order names', counts: {v1: 5, v2: 7}, withheld: ['v2'], ordersViewAtMs: 9000, expected: ['v1'],
		},
		{
			name: 'the only version, although an order names it', counts: {v2: 7}, withheld: ['v2'], ordersViewAtMs: 9000, expected: ['v2'],
		},
		{
			name: 'versions that were listed before the daemon started, at once', counts: {v1: 5, v2: 7}, earlier: ['v1', 'v2'], ordersViewAtMs: 0, expected: ['v1', 'v2'],
		},
		{
			name: 'no further version while it is unknown what was ordered before', counts: {v1: 5, v2: 7}, earlier: ['v1', 'v2'], mayAdd: false, ordersViewAtMs: 9000, expected: ['v2'],
		},
		{
			name: 'no ordered version that was listed before', counts: {v1: 5, v2: 7}, earlier: ['v1', 'v2'], withheld: ['v1'], ordersViewAtMs: 0, expected: ['v2'],
		},
	])('uses $name', ({counts, withheld = [], earlier = [], mayAdd = true, ordersViewAtMs, expected}) => {
		const versions = new ServingVersions({ordersViewAgeMs: nowMs => nowMs - ordersViewAtMs, appearedAtMs: () => 0, wasListedBefore: (_, version) => earlier.includes(version)});
		expect([...versions.update('s', replicas(counts as Record<string, number>), {withheld: new Set(withheld), mayAdd}, 10_000)].toSorted()).toEqual(expected);
	});

	it.each([
		{name: 'a version that comes later beside the others', counts: {v1: 6, v2: 6}, expected: ['v1', 'v2']},
		{name: 'a version that comes later and replaces the others', counts: {v2: 12}, expected: ['v1', 'v2']},
	])('uses $name', ({counts, expected}) => {
		const versions = new ServingVersions({ordersViewAgeMs: () => 0, appearedAtMs: (_, version) => version === 'v1' ? 0 : 5000, wasListedBefore: () => false});
		versions.update('s', replicas({v1: 12}), noOrders, 100);
		expect([...versions.update('s', replicas(counts as Record<string, number>), noOrders, 5999)]).toEqual(['v1']);
		expect([...versions.update('s', replicas(counts as Record<string, number>), noOrders, 6000)].toSorted()).toEqual(expected);
	});

	it('stops to use a version that an order names later', () => {
		const versions = new ServingVersions({ordersViewAgeMs: () => 0, appearedAtMs: () => 0, wasListedBefore: () => false});
		versions.update('s', replicas({v1: 3, v2: 3}), noOrders, 2000);
		expect([...versions.update('s', replicas({v1: 3, v2: 3}), {withheld: new Set(['v2']), mayAdd: true}, 2100)]).toEqual(['v1']);
	});
});
