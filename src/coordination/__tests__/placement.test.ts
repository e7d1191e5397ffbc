import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {Placement, type PlacementQuery} from '../placement.js';

const backend = (id: string, failureDomain = 'fd-a'): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain, slots: 64, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});
const candidates = ['a', 'b', 'c', 'd'].map(id => backend(id));
const parts = [{id: 'p1', tokens: 512}, {id: 'p2', tokens: 4870}, {id: 'own', tokens: 600}];
const query = (overrides: Partial<PlacementQuery> = {}): PlacementQuery => ({
	candidates, excluded: new Set(), promptTokens: 6000, promptParts: parts, isSuspect: false, peersInFlight: () => 0, random: () => 0.5, nowMs: 1000, ...overrides,
});

describe('Placement', () => {
	it('makes daemons without any reports choose the same engine for a shared prompt part', () => {
		const choices = new Set(Array.from({length: 5}, () => new Placement('fd-a').choose(query())!.backend.id));
		expect(choices.size).toBe(1);
	});

	it('chooses the engine that has the prompt cached', () => {
		const placement = new Placement('fd-a');
		const preferred = placement.choose(query())!.backend.id;
		const other = candidates.find(({id}) => id !== preferred)!.id;
		placement.begin(other, 6000, parts, 900).end();
		expect(placement.choose(query({candidates: [backend(other), backend('z')]}))!.backend.id).toBe(other);
	});

	it('sends a request that may crash its engine to the engine with the fewest requests in flight', () => {
		const placement = new Placement('fd-a');
		const preferred = placement.choose(query())!.backend.id;
		const leastLoaded = candidates.find(({id}) => id !== preferred)!.id;
		const peersInFlight = (id: string) => id === leastLoaded ? 1 : 5;
		expect(placement.choose(query({peersInFlight}))!.backend.id).toBe(preferred);
		expect(placement.choose(query({peersInFlight, isSuspect: true}))!.backend.id).toBe(leastLoaded);
	});

	it.each([
		{name: 'its requests from this daemon', load: (placement: Placement, preferred: string): unknown => Array.from({length: 40}, () => placement.begin(preferred, 100, [], 1000)), peers: 0},
		{name: 'its requests from peers', load: (): unknown => undefined, peers: 60},
		{
			name: 'its recent failures', load(placement: Placement, preferred: string): unknown {
				placement.noteFailure(preferred, 900);
				return undefined;
			}, peers: 0,
		},
	])('avoids an engine that has the prompt cached because of $name', ({load, peers}) => {
		const placement = new Placement('fd-a');
		const preferred = placement.choose(query())!.backend.id;
		load(placement, preferred);
		expect(placement.choose(query({peersInFlight: id => id === preferred ? peers : 0}))!.backend.id).not.toBe(preferred);
	});

	it('prefers the same engine for the next shared part when every engine has the first one cached', () => {
		const preferred = new Placement('fd-a').choose(query())!.backend.id;
		const placement = new Placement('fd-a');
		for (const {id} of candidates) {
			placement.begin(id, 600, [parts[0]], 900).end();
		}

		expect(placement.choose(query())!.backend.id).toBe(preferred);
	});

	it('returns the engine to copy a cached prompt from when it chooses another one', () => {
		const placement = new Placement('fd-a');
		const preferred = placement.choose(query())!.backend.id;
		const choice = placement.choose(query({excluded: new Set([preferred])}))!;
		expect(choice.backend.id).not.toBe(preferred);
		expect(choice.copyFrom?.id).toBe(preferred);
		expect(placement.choose(query())!.copyFrom).toBeUndefined();
	});

	it('does not copy prompt parts from an engine of another software version', () => {
		const placement = new Placement('fd-a');
		const preferred = placement.choose(query())!.backend.id;
		placement.begin(preferred, 6000, parts, 900).end();
		const mixed = candidates.map(each => each.id === preferred ? {...each, version: 'v2'} : each);
		const choice = placement.choose(query({candidates: mixed, excluded: new Set([preferred])}))!;
		expect(choice.backend.version).toBe('v1');
		expect(choice.copyFrom).toBeUndefined();
	});

	it('spreads a burst of equal requests over all engines', () => {
		const placement = new Placement('fd-a');
		const counts = new Map<string, number>();
		for (let index = 0; index < 200; index++) {
			const {id} = placement.choose(query({promptParts: [{id: `own-${index}`, tokens: 700}], promptTokens: 700}))!.backend;
			placement.begin(id, 700, [], 1000);
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		expect(Math.max(...counts.values()) - Math.min(...counts.values())).toBeLessThan(25);
	});

	it('keeps daemons that see the same late load reports from all choosing the least loaded of many engines', () => {
		const engines = Array.from({length: 50}, (_, index) => ({...backend(`e-${index}`), slots: 16}));
		const generator = xoroshiro128plus(3);
		const random = () => uniformFloat64(generator);
		// Each engine but one has eight requests in flight, and no daemon learns in time of those placed now.
		const peersInFlight = (id: string) => id === 'e-7' ? 2 : 8;
		const counts = new Map<string, number>();
		for (let index = 0; index < 120; index++) {
			const {id} = new Placement('fd-a').choose(query({
				candidates: engines, promptParts: [{id: `own-${index}`, tokens: 700}], promptTokens: 700, peersInFlight, random,
			}))!.backend;
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		expect(counts.get('e-7') ?? 0).toBeLessThan(24);
		expect(Math.max(...counts.values())).toBeLessThan(24);
	});

	it('chooses one of many engines that has the shared part cached', () => {
		const engines = Array.from({length: 50}, (_, index) => backend(`e-${index}`));
		const placement = new Placement('fd-a');
		placement.begin('e-33', 6000, parts, 900).end();
		placement.begin('e-7', 600, [parts[0]], 900).end();
		expect(placement.choose(query({candidates: engines}))!.backend.id).toBe('e-33');
	});

	it('returns undefined when all are excluded', () => {
		expect(new Placement('fd-a').choose(query({excluded: new Set(['a', 'b', 'c', 'd'])}))).toBeUndefined();
	});
});
