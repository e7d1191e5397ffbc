/** Guards against a pool whose size cannot be computed for the id of one backend server. */
import {describe, expect, it} from 'vitest';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {BackendTable} from '../../state/backend-table.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {Placement} from '../placement.js';
import {PoolDemands} from '../pool-demand.js';

function createBackend(id: string): Backend {
	return {
		id, name: id, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 4, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	};
}

describe('PoolDemands', () => {
	it.each(['constructor', 'toString', '__proto__', 'hasOwnProperty'])('needs no more replicas for one with the id %s than for any other', id => {
		const needs = [id, 'i-2'].map(second => {
			const backends = new BackendTable({drainMs: 2000});
			for (const name of ['i-1', second]) {
				backends.upsert(createBackend(name), 0);
			}

			const demands = new PoolDemands(backends, new Placement('fd'), {inFlight: () => 0} as unknown as FleetTable, {isLimited: () => false});
			return [0, 31_000, 32_000].map(nowMs => demands.need('s', nowMs));
		});
		expect(needs[0]).toEqual(needs[1]);
	});
});
