/** Guards against placements that count momentary slowness as usual, that keep counting it after it has passed, or that know nothing of backend servers without a statement. */
import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {BackendPaces} from '../backend-paces.js';
import {backendKey} from '../../fleet/backend-key.js';
import {type PaceUpdate} from '../../../protocol/fleet-messages.js';

/** Time between two statements that count as separate observations, in milliseconds. */
const spacingMs = 600;
const engine = (id: string, service = 's') => ({id, service});

/** Notes statements of an engine, each a separate observation; returns the time after the last one. */
function noteAll(paces: BackendPaces, id: string, percents: number[], startMs = 0): number {
	let nowMs = startMs;
	for (const percent of percents) {
		paces.note(engine(id), percent, nowMs);
		nowMs += spacingMs;
	}

	return nowMs;
}

describe('the factor of a backend server', () => {
	it.each([
		{ageMs: 0, factor: 4},
		{ageMs: 300, factor: 4},
		{ageMs: 450, factor: 3.25},
		{ageMs: 600, factor: 2.5},
		{ageMs: 750, factor: 1.75},
		{ageMs: 900, factor: 1},
		{ageMs: 60_000, factor: 1},
	])('is $factor with a usual pace of 100 and a statement of 400 percent that is $ageMs ms old', ({ageMs, factor}) => {
		const paces = new BackendPaces();
		const nowMs = noteAll(paces, 'e', [100, 100, 100, 100]);
		paces.note(engine('e'), 400, nowMs);
		expect(paces.factor(engine('e'), nowMs + ageMs)).toBeCloseTo(factor, 9);
	});

	it('is not below that of the statement when the clock of the caller is behind', () => {
		const paces = new BackendPaces();
		paces.note(engine('e'), 170, 1000);
		expect(paces.factor(engine('e'), 900)).toBeCloseTo(1.7, 9);
	});

	it.each<{name: string; known: Array<[id: string, service: string, percent: number]>; factor: number}>([
		{name: 'nothing is known', known: [], factor: 1},
		{name: 'only another service is known', known: [['a', 't', 170]], factor: 1},
		{name: 'one is known', known: [['a', 's', 70]], factor: 0.7},
		{name: 'three are known', known: [['a', 's', 70], ['b', 's', 170], ['c', 's', 170], ['d', 't', 900]], factor: 1.7},
	])('is $factor for an unknown one when $name', ({known, factor}) => {
		const paces = new BackendPaces();
		for (const [id, service, percent] of known) {
			paces.note(engine(id, service), percent, 0);
		}

		expect(paces.factor(engine('new'), 100)).toBeCloseTo(factor, 9);
	});

	it('is that of an unknown one after a restart, since the new process has another id', () => {
		const paces = new BackendPaces();
		noteAll(paces, 'before', [170, 170, 170]);
		noteAll(paces, 'other', [70, 70, 70]);
		paces.retain(new Set(['after', 'other']));
		expect(paces.usualPercent('before')).toBeUndefined();
		expect(paces.usualPercent('after')).toBeUndefined();
		expect(paces.factor(engine('after'), 5000)).toBeCloseTo(0.7, 9);
		expect(paces.shared.updates(true, 5000).map(([key]) => key)).toEqual([backendKey('other')]);
	});
});

describe('the usual pace', () => {
	it.each([
		{name: 'one statement', percents: [170], usual: 170},
		{name: 'two statements, of which the lower counts', percents: [170, 70], usual: 70},
		{name: 'a slow moment in seven', percents: [70, 70, 175, 70, 70, 175, 175], usual: 70},
		{name: 'a lasting change', percents: [70, 70, 70, 70, 170, 170, 170, 170], usual: 170},
	])('is $usual after $name', ({percents, usual}) => {
		const paces = new BackendPaces();
		noteAll(paces, 'e', percents);
		expect(paces.usualPercent('e')).toBe(usual);
	});

	it('does not count many statements of one slow moment as many observations', () => {
		const paces = new BackendPaces();
		const nowMs = noteAll(paces, 'e', [70, 70, 70]);
		for (let atMs = nowMs; atMs < nowMs + spacingMs; atMs += 20) {
			paces.note(engine('e'), 175, atMs);
		}

		expect(paces.usualPercent('e')).toBe(70);
	});

	it.each([{seed: 1}, {seed: 2}, {seed: 3}])('stays near that of each engine while 15 % are slow for 0.6 s at a time, seed $seed', ({seed}) => {
		const generator = xoroshiro128plus(seed);
		const random = () => uniformFloat64(generator);
		const engines = Array.from({length: 42}, (_, index) => ({id: `e-${index}`, usual: index % 2 === 0 ? 70 : 170}));
		const paces = new BackendPaces();
		let checks = 0;
		let wrong = 0;
		let fadedWrong = 0;
		for (let periodMs = 0; periodMs < 60_000; periodMs += 600) {
			const stated = new Map(engines.map(({id, usual}) => [id, random() < 0.15 ? usual * 2.5 : usual]));
			for (let atMs = periodMs; atMs < periodMs + 600; atMs += 10) {
				const {id} = engines[Math.floor(random() * engines.length)];
				paces.note(engine(id), stated.get(id)!, atMs);
				expect(paces.factor(engine(id), atMs)).toBeCloseTo(stated.get(id)! / 100, 9);
			}

			if (periodMs >= 10_000) {
				for (const {id, usual} of engines) {
					checks++;
					wrong += paces.usualPercent(id) === usual ? 0 : 1;
					fadedWrong += Math.abs(paces.factor(engine(id), periodMs + 600 + 900) - (usual / 100)) < 1e-9 ? 0 : 1;
				}
			}
		}

		// Four of seven observations are slow in 1.2 % of the cases.
		expect(wrong / checks).toBeLessThan(0.03);
		expect(fadedWrong).toBe(wrong);
	});
});

describe('a service', () => {
	it.each([
		{name: 'right after a statement', atMs: 0, isStated: true},
		{name: '10 s after it', atMs: 10_000, isStated: true},
		{name: 'later', atMs: 10_001, isStated: false},
	])('counts as one that states its pace $name: $isStated', ({atMs, isStated}) => {
		const paces = new BackendPaces();
		expect(paces.isStated('s', 0)).toBe(false);
		paces.note(engine('e'), 100, 0);
		expect(paces.isStated('s', atMs)).toBe(isStated);
		expect(paces.isStated('t', atMs)).toBe(false);
	});
});

describe('a usual pace that other daemons state', () => {
	const heard = (percent: number, ageMs = 0): PaceUpdate[] => [[backendKey('e'), percent, ageMs]];

	it('counts until the daemon has three observations of its own', () => {
		const paces = new BackendPaces();
		paces.shared.applyUpdates(heard(170), false, 0);
		expect(paces.factor(engine('e'), 0)).toBeCloseTo(1.7, 9);
		noteAll(paces, 'e', [70, 70], 1000);
		expect(paces.usualPercent('e')).toBe(170);
		expect(paces.factor(engine('e'), 5000)).toBeCloseTo(1.7, 9);
		paces.note(engine('e'), 70, 5000);
		expect(paces.usualPercent('e')).toBe(70);
		expect(paces.factor(engine('e'), 10_000)).toBeCloseTo(0.7, 9);
		paces.shared.applyUpdates(heard(170), false, 11_000);
		expect(paces.usualPercent('e')).toBe(70);
	});

	it('counts for unknown backend servers of the same service', () => {
		const paces = new BackendPaces();
		paces.shared.applyUpdates(heard(170), false, 0);
		paces.factor(engine('e'), 0);
		expect(paces.factor(engine('new'), 0)).toBeCloseTo(1.7, 9);
		expect(paces.factor(engine('new', 't'), 0)).toBe(1);
	});

	it.each<{name: string; shared: number; observed: number[]; sent: number[]}>([
		{
			name: 'sends no change of less than a fifth', shared: 100, observed: [119, 119, 119, 119, 119], sent: [],
		},
		{
			name: 'sends a rise by a fifth', shared: 100, observed: [120, 120, 120, 120], sent: [120],
		},
		{
			name: 'sends a fall by a fifth', shared: 100, observed: [80, 80, 80, 80], sent: [80],
		},
		{
			name: 'sends no change on three observations', shared: 100, observed: [170, 170, 170], sent: [],
		},
		{
			name: 'sends no change for a slow moment', shared: 70, observed: [70, 70, 175, 175], sent: [],
		},
		{
			name: 'sends no change while the observations are mixed', shared: 70, observed: [175, 70, 175, 175, 70, 175, 175], sent: [],
		},
		{
			name: 'sends a change that one observation contradicts', shared: 70, observed: [70, 170, 170, 170, 170, 170, 170], sent: [170],
		},
	])('$name', ({shared, observed, sent}) => {
		const paces = new BackendPaces();
		paces.shared.applyUpdates(heard(shared), false, 0);
		const changes = new Set<number>();
		for (const [index, percent] of observed.entries()) {
			const nowMs = 100 + (index * spacingMs);
			paces.note(engine('e'), percent, nowMs);
			for (const [, sent] of paces.shared.updates(false, nowMs)) {
				changes.add(sent);
			}
		}

		expect([...changes]).toEqual(sent);
	});

	it('is not what a daemon stated itself and relays send back, since its later observations say more', () => {
		const paces = new BackendPaces();
		paces.note(engine('e'), 175, 0);
		paces.shared.applyUpdates(heard(175, 0), false, 10);
		paces.note(engine('e'), 70, 1000);
		expect(paces.usualPercent('e')).toBe(70);
	});

	it('is sent for a second once newly known', () => {
		const paces = new BackendPaces();
		expect(paces.shared.updates(true, 0)).toEqual([]);
		paces.note(engine('e'), 70, 0);
		expect(paces.shared.updates(false, 1000)).toEqual(heard(70, 1000));
		expect(paces.shared.updates(false, 1001)).toEqual([]);
		expect(paces.shared.updates(true, 1001)).toHaveLength(1);
	});

	it.each([
		{
			name: 'forwards a change', shouldForward: true, percent: 170, sent: 1,
		},
		{
			name: 'forwards no repetition', shouldForward: true, percent: 70, sent: 0,
		},
		{
			name: 'forwards nothing unless it is a relay', shouldForward: false, percent: 170, sent: 0,
		},
	])('$name', ({shouldForward, percent, sent}) => {
		const paces = new BackendPaces();
		paces.shared.applyUpdates(heard(70), shouldForward, 0);
		paces.shared.applyUpdates(heard(percent), shouldForward, 5000);
		expect(paces.shared.updates(false, 5300)).toHaveLength(sent);
		expect(paces.shared.updates(false, 5301)).toEqual([]);
	});

	it('is not replaced by an older statement', () => {
		const paces = new BackendPaces();
		paces.shared.applyUpdates(heard(70), false, 10_000);
		paces.shared.applyUpdates(heard(170, 5000), false, 10_100);
		expect(paces.usualPercent('e')).toBe(70);
	});

	it('is dropped ten minutes after the last statement, and not taken back from daemons that drop it later', () => {
		const paces = new BackendPaces();
		paces.shared.applyUpdates(heard(70), false, 0);
		expect(paces.shared.updates(true, 600_000)).toHaveLength(1);
		expect(paces.shared.updates(true, 600_001)).toEqual([]);
		paces.shared.applyUpdates(heard(70, 600_001), true, 600_001);
		expect(paces.shared.isEmpty).toBe(true);
	});
});
