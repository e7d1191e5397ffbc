import {describe, expect, it} from 'vitest';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type Backend, BackendState} from '../../../protocol/serving.js';
import {CanaryTraffic, selectCanaries} from '../canary-traffic.js';

const share = 0.1;
const slack = 50;
const backend = (id: string, failureDomain: string): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', version: 'v2', host: '10.0.0.1', port: 1, failureDomain, slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});

describe('CanaryTraffic', () => {
	it.each([
		{daemons: 6, requests: 900, restartShare: 0},
		{daemons: 85, requests: 2000, restartShare: 0},
		{daemons: 195, requests: 500, restartShare: 0},
		{daemons: 370, requests: 3000, restartShare: 0.01},
	])('stays within the bound at every moment over $daemons daemons, of which each restarts before $restartShare of its requests', ({daemons, requests, restartShare}) => {
		for (let seed = 1; seed <= 20; seed++) {
			const generator = xoroshiro128plus(seed);
			const random = () => uniformFloat64(generator);
			const traffics = Array.from({length: daemons}, () => new CanaryTraffic(random));
			let exposed = 0;
			for (let sent = 1; sent <= requests; sent++) {
				const index = Math.floor(random() * daemons);
				if (random() < restartShare) {
					traffics[index] = new CanaryTraffic(random);
				}

				exposed += traffics[index].draw(`r-${Math.floor(random() * 5)}`, share) ? 1 : 0;
				expect(exposed).toBeLessThanOrEqual((share * sent) + slack);
			}

			expect(exposed).toBeGreaterThan(share * requests * 0.5);
		}
	});

	it('tests the version on every route', () => {
		const traffic = new CanaryTraffic(() => 0);
		const drawn = ['a', 'b'].map(route => Array.from({length: 100}, () => traffic.draw(route, share)).filter(Boolean).length);
		expect(drawn).toEqual([8, 8]);
	});
});

describe('selectCanaries', () => {
	const backends = Array.from({length: 40}, (_, index) => backend(`b-${index}`, `fd-${index % 4}`));

	it('returns the same few backend servers whatever their order in the list, in all failure domains', () => {
		const canaries = selectCanaries(7, backends, share);
		expect(canaries).toHaveLength(4);
		expect(new Set(canaries.map(({failureDomain}) => failureDomain)).size).toBe(4);
		expect(selectCanaries(7, backends.toReversed(), share)).toEqual(canaries);
		expect(selectCanaries(8, backends, share)).not.toEqual(canaries);
	});

	it.each([
		{available: 1, expected: 1},
		{available: 2, expected: 2},
		{available: 12, expected: 2},
	])('returns $expected of $available', ({available, expected}) => {
		expect(selectCanaries(7, backends.slice(0, available), share)).toHaveLength(expected);
	});
});
