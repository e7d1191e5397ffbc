import {describe, expect, it} from 'vitest';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {Reachability} from '../reachability.js';

function backend(index: number, domains: number): Backend {
	return {
		id: `i-${index}`, name: `i-${index}`, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 9000 + index, failureDomain: `fd-${index % domains}`, slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	};
}

const createBackends = (count: number, domains = 4) => Array.from({length: count}, (_, index) => backend(index, domains));

describe('Reachability', () => {
	it.each([
		{
			name: 'one of four backend servers accepts no connection', count: 4, unreached: [0], isCutOff: false,
		},
		{
			name: 'half of them do', count: 4, unreached: [0, 1], isCutOff: false,
		},
		{
			name: 'three of four do', count: 4, unreached: [0, 1, 2], isCutOff: true,
		},
		{
			name: 'four of twelve do', count: 12, unreached: [0, 1, 2, 3], isCutOff: true,
		},
		{
			name: 'four of a hundred do', count: 100, unreached: [0, 1, 2, 3], isCutOff: false,
		},
		{
			name: 'all of one failure domain do', count: 16, unreached: [0, 4, 8, 12], isCutOff: false,
		},
		{
			name: 'all do, in the only failure domain', count: 4, domains: 1, unreached: [0, 1, 2, 3], isCutOff: true,
		},
		{
			name: 'the only one does', count: 1, unreached: [0], isCutOff: false,
		},
		{
			name: 'the same one does again and again', count: 4, unreached: [0, 0, 0, 0], isCutOff: false,
		},
	])('finds a daemon cut off: $isCutOff, when $name', ({count, domains, unreached, isCutOff}) => {
		const backends = createBackends(count, domains);
		const reachability = new Reachability(() => 0);
		for (const index of unreached) {
			reachability.noteUnreached(backends[index], backends, 100);
		}

		expect(reachability.isCutOff('s')).toBe(isCutOff);
		expect(reachability.isCutOff('other')).toBe(false);
	});

	it('does not count the failures of backend servers that are known to have crashed since', () => {
		const backends = createBackends(7);
		const reachability = new Reachability(() => 0);
		for (const index of [0, 1, 2]) {
			reachability.noteUnreached(backends[index], backends, 100);
		}

		reachability.noteUnreached(backends[3], backends.slice(3), 200);
		expect(reachability.isCutOff('s')).toBe(false);
	});

	it('does not add up failures of different times', () => {
		const backends = createBackends(4);
		const reachability = new Reachability(() => 0);
		for (const [index, candidate] of backends.entries()) {
			reachability.noteUnreached(candidate, backends, index * 1500);
		}

		expect(reachability.isCutOff('s')).toBe(false);
	});

	it('starts over once a backend server has accepted a connection', () => {
		const backends = createBackends(4);
		const reachability = new Reachability(() => 0);
		reachability.noteUnreached(backends[0], backends, 0);
		reachability.noteUnreached(backends[1], backends, 0);
		reachability.noteConnected(backends[3], 100);
		reachability.noteUnreached(backends[2], backends, 200);
		expect(reachability.isCutOff('s')).toBe(false);
	});

	it('stays cut off while old connections go on answering, until a new one is accepted', () => {
		const backends = createBackends(4);
		const reachability = new Reachability(() => 0);
		for (const candidate of backends) {
			reachability.noteUnreached(candidate, backends, 0);
		}

		reachability.noteSent(backends[0], 100)(true, 200);
		expect(reachability.isCutOff('s')).toBe(true);
		reachability.noteConnected(backends[0], 300);
		expect(reachability.isCutOff('s')).toBe(false);
	});

	it.each([
		{
			name: 'nothing happens', sent: [], unreached: [], heard: false, probes: 0,
		},
		{
			name: 'requests to two backend servers get no answer', sent: [0, 1], unreached: [], heard: false, probes: 3,
		},
		{
			name: 'requests to one backend server get no answer', sent: [0, 0, 0], unreached: [], heard: false, probes: 0,
		},
		{
			name: 'another one has answered meanwhile', sent: [0, 1], unreached: [], heard: true, probes: 0,
		},
		{
			name: 'two accept no connection', sent: [], unreached: [0, 1], heard: false, probes: 3,
		},
	])('probes $probes backend servers when $name', ({sent, unreached, heard, probes}) => {
		const backends = createBackends(8);
		const reachability = new Reachability(() => 0);
		for (const index of sent) {
			reachability.noteSent(backends[index], 0);
		}

		if (heard) {
			reachability.noteSent(backends[2], 0)(true, 700);
		}

		for (const index of unreached) {
			reachability.noteUnreached(backends[index], backends, 900);
		}

		const due = reachability.takeDueProbes(() => backends, 1000);
		expect(due.length).toBe(probes);
		expect(new Set(due.map(({failureDomain}) => failureDomain)).size).toBe(probes);
		expect(due.some(({id}) => unreached.some(index => id === `i-${index}`))).toBe(false);
		expect(reachability.takeDueProbes(() => backends, 1100)).toEqual([]);
	});

	it.each([{count: 55}, {count: 100}, {count: 216}])('finds out by probes within two seconds that all of $count backend servers accept no connection', ({count}) => {
		const backends = createBackends(count);
		const reachability = new Reachability(() => 0);
		reachability.noteUnreached(backends[0], backends, 0);
		reachability.noteUnreached(backends[1], backends, 0);
		for (let nowMs = 100; nowMs < 2000; nowMs += 100) {
			for (const probed of reachability.takeDueProbes(() => backends, nowMs)) {
				reachability.noteUnreached(probed, backends, nowMs);
			}
		}

		expect(reachability.isCutOff('s')).toBe(true);
	});

	it('probes while it is cut off, and not after', () => {
		const backends = createBackends(4);
		const reachability = new Reachability(() => 0);
		for (const candidate of backends) {
			reachability.noteUnreached(candidate, backends, 0);
		}

		expect(reachability.takeDueProbes(() => backends, 10_000).length).toBeGreaterThan(0);
		reachability.noteConnected(backends[0], 10_100);
		expect(reachability.takeDueProbes(() => backends, 20_000)).toEqual([]);
	});
});
