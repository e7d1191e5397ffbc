/** Guards against refusing sound requests for a part that they share with harmful ones, and against letting harmful ones run because sound ones share a part with them. */
import {describe, expect, it} from 'vitest';
import {Quarantine} from '../quarantine.js';
import {listFingerprints, type RequestFingerprints} from '../request-fingerprint.js';

const common = 1;
const harmful = 2;
const companion = 3;
const sound = 4;
const startMs = 1_000_000;
/** Time by which the evidence has settled, in milliseconds after the last crash. */
const settledMs = 1100;
let lastRequest = 1000;

/** Returns the fingerprints of a new request with these parts in its prompt. */
const newRequest = (...parts: number[]): RequestFingerprints => ({request: ++lastRequest, parts});

/** Creates a quarantine in which backend servers 1 to `crashes` crashed under new requests with these parts, 500 ms apart, the last one at `startMs`. */
function afterCrashes(crashes: number, parts: number[]): Quarantine {
	const quarantine = new Quarantine(() => false);
	for (let index = 1; index <= crashes; index++) {
		quarantine.recordCrash(listFingerprints(newRequest(...parts)), index, startMs - ((crashes - index) * 500));
	}

	return quarantine;
}

const isRefused = (quarantine: Quarantine, request: RequestFingerprints, nowMs: number) => quarantine.admit(request, nowMs) !== undefined;

describe('a part of a prompt under which backend servers crashed', () => {
	it.each([
		{
			name: 'two, is run apart', crashes: 2, afterMs: settledMs, refused: false,
		},
		{
			name: 'three, is refused once the evidence has settled', crashes: 3, afterMs: settledMs, refused: true,
		},
		{
			name: 'five, is refused once the evidence has settled', crashes: 5, afterMs: settledMs, refused: true,
		},
	])('$name', ({crashes, afterMs, refused}) => {
		const quarantine = afterCrashes(crashes, [common, harmful]);
		expect(quarantine.isSuspect(newRequest(common, harmful))).toBe(true);
		expect(isRefused(quarantine, newRequest(common, harmful), startMs + afterMs)).toBe(refused);
	});

	it('runs one at a time until the evidence has settled', () => {
		const quarantine = afterCrashes(3, [common, harmful]);
		const refusals = Array.from({length: 5}, (_, index) => isRefused(quarantine, newRequest(common, harmful), startMs + (index * 100) - 500));
		expect(refusals).toEqual([false, true, true, true, true]);
	});

	it.each([
		{name: 'sound runs before and between the crashes', soundAtMs: [-1200, -700, -200]},
		{name: 'a sound run after the crashes', soundAtMs: [50]},
	])('does not get a part refused that all requests share, with $name', ({soundAtMs}) => {
		const quarantine = afterCrashes(3, [common, harmful]);
		for (const afterMs of soundAtMs) {
			quarantine.recordProgress(newRequest(common, sound), startMs + afterMs);
		}

		const refusals = Array.from({length: 20}, (_, index) => isRefused(quarantine, newRequest(common, sound), startMs + settledMs + index));
		expect(refusals).not.toContain(true);
		expect(isRefused(quarantine, newRequest(common, harmful), startMs + settledMs)).toBe(true);
	});

	it.each([
		{name: 'no run without it is known', endedWithLastCrash: 0},
		{name: 'all runs without it ended with the last crash', endedWithLastCrash: 5},
	])('lets requests that share only another part run one at a time while that part is in doubt, as $name', ({endedWithLastCrash}) => {
		const quarantine = afterCrashes(4, [common, harmful]);
		for (let count = 0; count < endedWithLastCrash; count++) {
			quarantine.recordCrash(listFingerprints(newRequest(common, sound)), 4, startMs);
		}

		expect(quarantine.isSuspect(newRequest(common, sound))).toBe(false);
		const nowMs = startMs + settledMs;
		expect(Array.from({length: 3}, () => isRefused(quarantine, newRequest(common, sound), nowMs))).toEqual([false, true, true]);
		quarantine.recordProgress(newRequest(common, sound), nowMs + 600);
		const refusals = Array.from({length: 3}, () => isRefused(quarantine, newRequest(common, sound), nowMs + 601));
		expect(refusals).toEqual([false, false, false]);
	});

	it.each([
		{name: 'harmful and its companion', parts: [common, harmful, companion], refused: true},
		{name: 'the companion alone', parts: [common, companion], refused: false},
		{name: 'the harmful one alone', parts: [common, harmful], refused: false},
	])('that always came with a companion, is refused ($refused) in a request with $name', ({parts, refused}) => {
		const quarantine = afterCrashes(4, [common, harmful, companion]);
		quarantine.recordProgress(newRequest(common), startMs + 500);
		expect(isRefused(quarantine, newRequest(...parts), startMs + settledMs)).toBe(refused);
	});

	it('is told from its companion by a run that has only one of them', () => {
		const quarantine = afterCrashes(4, [harmful, companion]);
		quarantine.recordCrash(listFingerprints(newRequest(harmful)), 99, startMs + settledMs);
		quarantine.recordProgress(newRequest(companion), startMs + settledMs);
		const nowMs = startMs + settledMs + 100;
		expect(isRefused(quarantine, newRequest(harmful), nowMs)).toBe(true);
		expect(Array.from({length: 3}, () => isRefused(quarantine, newRequest(companion), nowMs))).toEqual([false, false, false]);
	});

	it('does not get a request refused that was repeated at three of the crashes', () => {
		const quarantine = afterCrashes(4, [harmful]);
		const repeated = newRequest(common);
		for (const backend of [2, 3, 4]) {
			quarantine.recordCrash(listFingerprints(repeated), backend, startMs);
		}

		expect(quarantine.forbidsRun(repeated, startMs + settledMs)).toBe(false);
	});

	it('stays refused whatever other parts a client adds', () => {
		const quarantine = afterCrashes(4, [harmful]);
		for (const added of [[], [common], [sound, companion]]) {
			expect(isRefused(quarantine, newRequest(...added, harmful), startMs + settledMs)).toBe(true);
		}
	});

	it('is refused again after a sound run only with more crashes than before', () => {
		const quarantine = afterCrashes(2, [common]);
		quarantine.recordProgress(newRequest(common), startMs + 1);
		for (let index = 0; index < 5; index++) {
			expect(isRefused(quarantine, newRequest(common), startMs + 10 + index)).toBe(false);
			quarantine.recordCrash(listFingerprints(newRequest(common)), 100 + index, startMs + 10 + index);
		}

		expect(isRefused(quarantine, newRequest(common), startMs + 20 + settledMs)).toBe(true);
	});
});

describe('a part that was sound before and is refused', () => {
	it('is probed soon, since many sound requests may share it, and served again after a sound run', () => {
		const quarantine = new Quarantine(() => true);
		quarantine.recordCrash(listFingerprints(newRequest(common)), 1, startMs - 1000);
		quarantine.recordProgress(newRequest(common), startMs - 500);
		for (let backend = 10; backend < 15; backend++) {
			quarantine.recordCrash(listFingerprints(newRequest(common)), backend, startMs);
		}

		const probeAtMs = startMs + 5001;
		const refusals = [startMs + settledMs, probeAtMs - 10, probeAtMs, probeAtMs + 10].map(nowMs => isRefused(quarantine, newRequest(common, sound), nowMs));
		expect(refusals).toEqual([true, true, false, true]);
		quarantine.recordProgress(newRequest(common, sound), probeAtMs + 600);
		expect(isRefused(quarantine, newRequest(common, sound), probeAtMs + 601)).toBe(false);
	});
});

describe('the updates of one daemon', () => {
	it('tell others of every suspect of a wave within the time in which changes are gossiped', () => {
		const quarantine = new Quarantine(() => false);
		for (let backend = 0; backend < 10; backend++) {
			quarantine.recordCrash(Array.from({length: 40}, (_, index) => (backend * 100) + index), backend, startMs);
		}

		const told = new Set<number>();
		for (let round = 0; round < 8; round++) {
			for (const {fingerprint} of quarantine.takeRoundUpdates(false, startMs + (round * 250))) {
				told.add(fingerprint);
			}
		}

		expect(told.size).toBe(400);
	});

	it('name a suspect of several crashes first', () => {
		const quarantine = afterCrashes(3, [harmful]);
		for (let backend = 10; backend < 20; backend++) {
			quarantine.recordCrash(Array.from({length: 40}, (_, index) => (backend * 100) + index), backend, startMs);
		}

		expect(quarantine.takeRoundUpdates(false, startMs)[0].fingerprint).toBe(harmful);
	});
});
