/** Guards against late requests because backend servers get equal shares of the requests, whatever their pace, and against other choices where no pace is stated. */
import {createHash} from 'node:crypto';
import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {BackendPaces} from '../paces/backend-paces.js';
import {Placement, type PlacementQuery, type RunningRequest} from '../placement.js';

const backend = (id: string, slots: number): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd-a', slots, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});
const query = (candidates: Backend[], overrides: Partial<PlacementQuery> = {}): PlacementQuery => ({
	candidates, excluded: new Set(), promptTokens: 0, promptParts: [], isSuspect: false, peersInFlight: () => 0, random: () => 0.5, nowMs: 0, ...overrides,
});

function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

describe('Placement by pace', () => {
	it.each([
		{name: 'a plain service', promptTokens: 0},
		{name: 'engines', promptTokens: 6000},
	])('chooses the fastest of the idle backend servers of $name', ({promptTokens}) => {
		const candidates = ['a', 'b', 'c'].map(id => backend(id, 6));
		const paces = {factor: ({id}: {id: string}) => id === 'b' ? 0.7 : 1.7};
		expect(new Placement('fd-a', paces).choose(query(candidates, {promptTokens}))!.backend.id).toBe('b');
	});

	it.each([
		{name: 'a plain service', promptTokens: 0},
		{name: 'engines', promptTokens: 6000},
	])('sends to a slow backend server of $name when it is the only one, however slow, without a longer wait', ({promptTokens}) => {
		const candidates = [backend('a', 6)];
		const [choice, usual] = [new Placement('fd-a', {factor: () => 100}), new Placement('fd-a')].map(placement => placement.choose(query(candidates, {promptTokens}))!);
		expect(choice.backend.id).toBe('a');
		expect(choice.waitMs).toBe(usual.waitMs);
	});

	it('sends to a slower backend server once the faster one is full', () => {
		const placement = new Placement('fd-a', {factor: ({id}) => id === 'fast' ? 0.7 : 1.7});
		const candidates = [backend('fast', 6), backend('slow', 6)];
		const chosen = Array.from({length: 12}, () => {
			const {id} = placement.choose(query(candidates))!.backend;
			placement.begin(id, 0, [], 0);
			return id;
		});
		expect(chosen[0]).toBe('fast');
		expect(chosen).toContain('slow');
	});

	// The digests are those of the choices of a placement that knows no paces.
	it.each([
		{
			name: 'a plain service of 4', count: 4, slots: 6, promptTokens: 0, digests: ['7a9941e714d0347c', '69f6d099ab7045ab', 'd337309de3afb188'],
		},
		{
			name: 'a plain service of 40', count: 40, slots: 6, promptTokens: 0, digests: ['4551c1c5ad39dfe9', 'e9996f143d6c25cb', 'a6c27c1f3cc2175f'],
		},
		{
			name: '8 engines', count: 8, slots: 24, promptTokens: 6000, digests: ['62d86f1ed40a2c1c', 'fe9265fce01dcf74', '85e643ef6124acdd'],
		},
		{
			name: '63 engines', count: 63, slots: 24, promptTokens: 6000, digests: ['5e00c5cb4913eae8', '2c11456a5910f2cf', 'a8a2454f69611e55'],
		},
	].flatMap(({digests, ...scenario}) => digests.map((digest, index) => ({...scenario, digest, seed: index + 1}))))('chooses as without paces when all factors are 1: $name, seed $seed', ({count, slots, promptTokens, digest, seed}) => {
		const candidates = Array.from({length: count}, (_, index) => backend(`i-${index}`, slots));
		const trace = (placement: Placement) => {
			const random = createRandom(seed);
			const running: RunningRequest[] = [];
			const choices: unknown[] = [];
			for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
				const parts = [{id: `shared-${Math.floor(random() * 20)}`, tokens: 2000}, {id: `own-${nowMs}`, tokens: 700}];
				const choice = placement.choose(query(candidates, {
					promptTokens, promptParts: promptTokens > 0 ? parts : [], peersInFlight: id => (id.length * nowMs) % 7, random, nowMs,
				}))!;
				choices.push([choice.backend.id, choice.costMs, choice.waitMs, choice.copyFrom?.id]);
				running.push(placement.begin(choice.backend.id, promptTokens, parts, nowMs));
				if (random() < 0.05) {
					placement.noteFailure(choice.backend.id, nowMs);
				}

				if (running.length > count * 3) {
					running.splice(Math.floor(random() * running.length), 1)[0].end();
				}
			}

			return choices;
		};

		const expected = trace(new Placement('fd-a'));
		expect(createHash('sha256').update(JSON.stringify(expected)).digest('hex').slice(0, 16)).toBe(digest);
		expect(trace(new Placement('fd-a', {factor: () => 1}))).toEqual(expected);
		expect(trace(new Placement('fd-a', new BackendPaces()))).toEqual(expected);
		// The same choices must come from stated paces of 100 percent.
		const paces = new BackendPaces();
		for (const each of candidates) {
			paces.note(each, 100, 0);
		}

		expect(trace(new Placement('fd-a', paces))).toEqual(expected);
	});
});

/** Time in which the same backend servers are slow, in milliseconds. */
const periodMs = 600;
const slowShare = 0.15;
const slowness = 2.5;
const stepMs = 1;
/** Time after which daemons know what the others had in flight, in milliseconds. */
const reportMs = 500;

type Replay = {
	count: number;
	slots: number;
	daemons: number;
	/** Usual pace of a backend server in percent. */
	usualPercent: (index: number) => number;
	callsPerSecond: number;
	promptTokens: number;
	/** Time that a request takes at the usual pace: until its first event, and from there to its end, in milliseconds. */
	workMs: number;
	decodeMs: number;
	targetsMs: number[];
	seed: number;
	isPaced: boolean;
};

/** A backend server that runs as many requests as it has slots, and the others one after the other. */
class SimulatedBackend {
	percent = 100;
	private readonly freeAtMs: number[];
	private prefillFreeAtMs = 0;

	constructor(readonly backend: Backend, readonly usualPercent: number, private readonly isEngine: boolean) {
		this.freeAtMs = Array.from({length: backend.slots}, () => 0);
	}

	/** Takes a request; returns when its first event comes and when it ends. An engine reads one prompt at a time. */
	receive({workMs, decodeMs}: {workMs: number; decodeMs: number}, nowMs: number): {firstAtMs: number; endAtMs: number} {
		const slot = this.freeAtMs.indexOf(Math.min(...this.freeAtMs));
		const startMs = Math.max(nowMs, this.freeAtMs[slot], this.isEngine ? this.prefillFreeAtMs : 0);
		const firstAtMs = startMs + (workMs * this.percent / 100);
		this.prefillFreeAtMs = firstAtMs;
		this.freeAtMs[slot] = firstAtMs + (decodeMs * this.percent / 100);
		return {firstAtMs, endAtMs: this.freeAtMs[slot]};
	}
}

/** Lets daemons tell each other the usual paces that they have found. */
function shareUsualPaces(nodes: Array<{paces: BackendPaces}>, nowMs: number): void {
	const updates = nodes.flatMap(({paces}) => paces.shared.updates(false, nowMs));
	for (const {paces} of nodes) {
		paces.shared.applyUpdates(updates, false, nowMs);
	}
}

/** Replays a load without a network: daemons that know their own requests, the answers that they receive, and what the others had in flight half a second ago. Returns the share of the requests that were late, by target. */
function replay({count, slots, daemons, usualPercent, callsPerSecond, promptTokens, workMs, decodeMs, targetsMs, seed, isPaced}: Replay): number[] {
	const random = createRandom(seed);
	const servers = Array.from({length: count}, (_, index) => new SimulatedBackend(backend(`i-${index}`, slots), usualPercent(index), promptTokens > 0));
	const byId = new Map(servers.map(server => [server.backend.id, server]));
	const candidates = servers.map(server => server.backend);
	const nodes = Array.from({length: daemons}, () => {
		const paces = new BackendPaces();
		return {paces, placement: isPaced ? new Placement('fd-a', paces) : new Placement('fd-a')};
	});
	let events: Array<{atMs: number; apply: () => void}> = [];
	const inFlight = new Map<string, number>();
	const reported = new Map<string, number>();
	const peersInFlight = (id: string) => (reported.get(id) ?? 0) * (daemons - 1) / daemons;
	const firstEventsMs: number[] = [];
	let due = 0;
	for (let nowMs = 0; nowMs < 40_000; nowMs += stepMs) {
		if (nowMs % periodMs === 0) {
			for (const server of servers) {
				server.percent = server.usualPercent * (random() < slowShare ? slowness : 1);
			}
		}

		if (nowMs % reportMs === 0) {
			for (const [id, requests] of inFlight) {
				reported.set(id, requests);
			}

			shareUsualPaces(nodes, nowMs);
		}

		for (const {apply} of events.filter(({atMs}) => atMs <= nowMs)) {
			apply();
		}

		events = events.filter(({atMs}) => atMs > nowMs);
		for (due += callsPerSecond * stepMs / 1000; due >= 1; due--) {
			const {paces, placement} = nodes[Math.floor(random() * daemons)];
			const {id} = placement.choose(query(candidates, {
				promptTokens, peersInFlight, random, nowMs,
			}))!.backend;
			const server = byId.get(id)!;
			const running = placement.begin(id, promptTokens, [], nowMs);
			inFlight.set(id, (inFlight.get(id) ?? 0) + 1);
			const {firstAtMs, endAtMs} = server.receive({workMs, decodeMs}, nowMs);
			events.push({
				atMs: firstAtMs, apply() {
					running.notePrefilled();
					paces.note(server.backend, server.percent, firstAtMs);
					const requests = inFlight.get(id)!;
					placement.noteLoad(id, {running: Math.min(requests, slots), waiting: Math.max(0, requests - slots), slots}, firstAtMs);
				},
			}, {
				atMs: endAtMs, apply() {
					running.end();
					inFlight.set(id, inFlight.get(id)! - 1);
				},
			});
			// The first seconds are those in which the daemons learn the paces.
			if (nowMs >= 10_000) {
				firstEventsMs.push(firstAtMs - nowMs);
			}
		}
	}

	return targetsMs.map(targetMs => firstEventsMs.filter(tookMs => tookMs > targetMs).length / firstEventsMs.length);
}

describe('a load on backend servers of different paces', () => {
	const seeds = [1, 2, 3];
	const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	const plain = {
		count: 4, slots: 6, usualPercent: () => 100, callsPerSecond: 130, promptTokens: 0, workMs: 69, decodeMs: 0, targetsMs: [150, 336],
	};
	const engines = {
		count: 42, slots: 32, usualPercent: (index: number) => index % 2 === 0 ? 70 : 170, callsPerSecond: 280, promptTokens: 6000, workMs: 65, decodeMs: 400, targetsMs: [200, 408],
	};
	it.each([
		// Neither is late by 336 ms there: a slow call takes 173 ms, and one daemon knows all requests.
		{name: 'a plain service, one daemon', load: {...plain, daemons: 1, targetsMs: [150]}},
		{name: 'a plain service, 6 daemons', load: {...plain, daemons: 6}},
		{name: 'a plain service, 66 daemons', load: {...plain, daemons: 66}},
		{name: '42 engines, one daemon', load: {...engines, daemons: 1}},
		{name: '42 engines, 6 daemons', load: {...engines, daemons: 6}},
		{name: '42 engines, 66 daemons', load: {...engines, daemons: 66}},
	])('is late less often than without paces: $name', ({name, load}) => {
		const [paced, unpaced] = [true, false].map(isPaced => seeds.map(seed => replay({...load, seed, isPaced})));
		for (const [index, targetMs] of load.targetsMs.entries()) {
			const [withPaces, without] = [paced, unpaced].map(shares => mean(shares.map(each => each[index])));
			console.log(`${name}, target ${targetMs} ms: ${(withPaces * 100).toFixed(2)} % late with paces, ${(without * 100).toFixed(2)} % without`);
			expect.soft(withPaces, `${name}, target ${targetMs} ms`).toBeLessThan(without);
		}
	}, 60_000);
});
