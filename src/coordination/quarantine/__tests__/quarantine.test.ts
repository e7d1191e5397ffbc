/**
 * Guards against a request that crashes one backend server after another as its client retries it,
 * and against quarantining harmless requests that ran beside it.
 */
import {describe, expect, it} from 'vitest';
import {crashesToQuarantine, initialQuarantineMs, Quarantine} from '../quarantine.js';
import {type RequestFingerprints} from '../request-fingerprint.js';

const fingerprint = 77;
const startMs = 1_000_000;

/** Returns the fingerprints of a request whose prompt has these shared parts. */
const requestOf = (request: number, parts: number[] = []): RequestFingerprints => ({request, parts});

/** Creates a quarantine in which backend servers 1 to `crashes` crashed while running the request, one a second, the last one at `startMs`. */
function afterCrashes(crashes: number, mayProbe = false): Quarantine {
	const quarantine = new Quarantine(() => mayProbe);
	for (let index = 1; index <= crashes; index++) {
		quarantine.recordCrash([fingerprint], index, startMs - ((crashes - index) * 1000));
	}

	return quarantine;
}

describe('Quarantine', () => {
	it.each([
		{
			name: 'no backend server has crashed while running it', crashes: 0, isSuspect: false, isRefused: false,
		},
		{
			name: 'one backend server has', crashes: 1, isSuspect: false, isRefused: false,
		},
		{
			name: 'two have', crashes: 2, isSuspect: true, isRefused: false,
		},
		{
			name: 'three have', crashes: 3, isSuspect: true, isRefused: true,
		},
	])('refuses a request ($isRefused) and isolates it ($isSuspect) when $name', ({crashes, isSuspect, isRefused}) => {
		const quarantine = afterCrashes(crashes);
		expect(quarantine.isSuspect(requestOf(fingerprint))).toBe(isSuspect);
		expect(quarantine.admit(requestOf(fingerprint), startMs) !== undefined).toBe(isRefused);
		expect(quarantine.forbidsRun(requestOf(fingerprint), startMs)).toBe(isRefused);
		expect(quarantine.admit(requestOf(fingerprint + 1), startMs)).toBeUndefined();
	});

	it('counts a crash of a backend server once, however often it is reported', () => {
		const quarantine = afterCrashes(2);
		const other = afterCrashes(1);
		for (let round = 0; round < 10; round++) {
			quarantine.recordCrash([fingerprint], 2, startMs + round);
			quarantine.applyUpdates(other.recentUpdates(true, startMs + round), true, startMs + round);
		}

		expect(quarantine.forbidsRun(requestOf(fingerprint), startMs)).toBe(false);
	});

	it('adds up crashes that several daemons observed once each', () => {
		const daemons = [1, 2, 3].map(backend => {
			const quarantine = new Quarantine(() => false);
			quarantine.recordCrash([fingerprint], backend, startMs);
			return quarantine;
		});
		for (const daemon of daemons) {
			for (const other of daemons) {
				daemon.applyUpdates(other.recentUpdates(false, startMs + 100), false, startMs + 100);
			}
		}

		expect(daemons.map(daemon => daemon.forbidsRun(requestOf(fingerprint), startMs))).toEqual([true, true, true]);
	});

	it.each([
		{
			name: 'is refused by every daemon until its quarantine ends', mayProbe: true, afterMs: initialQuarantineMs - 1, admitted: 0,
		},
		{
			name: 'is admitted once, after its quarantine, by the daemon that may probe', mayProbe: true, afterMs: initialQuarantineMs + 1, admitted: 1,
		},
		{
			name: 'is refused by every other daemon after its quarantine, too', mayProbe: false, afterMs: initialQuarantineMs + 1, admitted: 0,
		},
	])('a quarantined request $name', ({mayProbe, afterMs, admitted}) => {
		const quarantine = afterCrashes(crashesToQuarantine, mayProbe);
		const refusals = Array.from({length: 20}, () => quarantine.admit(requestOf(fingerprint), startMs + afterMs));
		expect(refusals.filter(refusal => refusal === undefined)).toHaveLength(admitted);
		for (const refusal of refusals) {
			expect(refusal?.retryAfterMs ?? 1).toBeGreaterThan(0);
		}
	});

	it('doubles the quarantine with each probe that crashes a backend server', () => {
		const quarantine = afterCrashes(crashesToQuarantine, true);
		const probeAtMs = startMs + initialQuarantineMs + 1;
		expect(quarantine.admit(requestOf(fingerprint), probeAtMs)).toBeUndefined();
		quarantine.recordCrash([fingerprint], 99, probeAtMs + 100);
		expect(quarantine.admit(requestOf(fingerprint), probeAtMs + 200)!.retryAfterMs).toBeGreaterThan(initialQuarantineMs * 1.9);
	});

	it('clears a request when a run of it completes, also at daemons that receive its update, even if they receive the old crashes again', () => {
		const [quarantine, other] = [afterCrashes(crashesToQuarantine), afterCrashes(crashesToQuarantine)];
		const stale = other.recentUpdates(true, startMs);
		quarantine.recordCompletedRun(requestOf(fingerprint), startMs + 500, startMs + 500);
		other.applyUpdates(quarantine.recentUpdates(true, startMs + 600), false, startMs + 600);
		for (const daemon of [quarantine, other]) {
			daemon.applyUpdates(stale.map(update => ({...update, crashes: update.crashes.map(([backend, ageMs]): [number, number] => [backend, ageMs + 700])})), false, startMs + 700);
			expect(daemon.forbidsRun(requestOf(fingerprint), startMs)).toBe(false);
		}
	});

	it('does not suspect identical requests of many clients while runs of them complete between crashes', () => {
		const quarantine = new Quarantine(() => false);
		for (let crash = 0; crash < 20; crash++) {
			quarantine.recordCrash([fingerprint], crash, startMs + (crash * 1000));
			quarantine.recordCompletedRun(requestOf(fingerprint), startMs + (crash * 1000) + 500, startMs + (crash * 1000) + 500);
			expect(quarantine.admit(requestOf(fingerprint), startMs + (crash * 1000) + 600)).toBeUndefined();
		}
	});

	it('distinguishes the request that was retried after each crash from those that ran beside it', () => {
		const quarantine = new Quarantine(() => false);
		for (let crash = 0; crash < 3; crash++) {
			for (let beside = 0; beside < 64; beside++) {
				quarantine.recordCrash([1000 + (crash * 64) + beside], crash, startMs + (crash * 600));
			}

			quarantine.recordCrash([fingerprint], crash, startMs + (crash * 600));
		}

		const refused = [fingerprint, ...Array.from({length: 192}, (_, index) => 1000 + index)].filter(suspect => quarantine.forbidsRun(requestOf(suspect), startMs));
		expect(refused).toEqual([fingerprint]);
		// Of the 193 suspects, the updates list the worst first.
		expect(quarantine.recentUpdates(false, startMs + 1200)[0].fingerprint).toBe(fingerprint);
	});

	it('keeps a bounded number of suspects, and the worst of them', () => {
		const quarantine = afterCrashes(crashesToQuarantine);
		for (let other = 0; other < 5000; other++) {
			quarantine.recordCrash([10_000 + other], other, startMs + other);
		}

		expect((quarantine.toJson(startMs + 5000) as unknown[]).length).toBeLessThanOrEqual(64);
		expect(quarantine.forbidsRun(requestOf(fingerprint), startMs)).toBe(true);
	});

	it('forgets a request long after its last crash', () => {
		const quarantine = afterCrashes(crashesToQuarantine);
		const laterMs = startMs + (2 * 60 * 60_000);
		quarantine.recordCrash([fingerprint + 1], 1, laterMs);
		expect(quarantine.forbidsRun(requestOf(fingerprint), startMs)).toBe(false);
	});
});
