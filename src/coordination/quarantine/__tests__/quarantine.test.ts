import {describe, expect, it} from 'vitest';
import {crashesToQuarantine, firstQuarantineMs, Quarantine} from '../quarantine.js';

const fingerprint = 77;
const startMs = 1_000_000;

/** A quarantine in which backend servers 1 to `crashes` ended under the request, one a second, the last one at `startMs`. */
function afterCrashes(crashes: number, mayProbe = false): Quarantine {
	const quarantine = new Quarantine(() => mayProbe);
	for (let index = 1; index <= crashes; index++) {
		quarantine.noteCrash(fingerprint, index, startMs - ((crashes - index) * 1000));
	}

	return quarantine;
}

describe('Quarantine', () => {
	it.each([
		{
			name: 'nothing is known', crashes: 0, isSuspect: false, isRefused: false,
		},
		{
			name: 'one backend server ended under it', crashes: 1, isSuspect: false, isRefused: false,
		},
		{
			name: 'two did', crashes: 2, isSuspect: true, isRefused: false,
		},
		{
			name: 'three did', crashes: 3, isSuspect: true, isRefused: true,
		},
	])('refuses a request: $isRefused, keeps it away from others: $isSuspect when $name', ({crashes, isSuspect, isRefused}) => {
		const quarantine = afterCrashes(crashes);
		expect(quarantine.isSuspect(fingerprint)).toBe(isSuspect);
		expect(quarantine.admit(fingerprint, startMs) !== undefined).toBe(isRefused);
		expect(quarantine.forbidsRepeat(fingerprint)).toBe(isRefused);
		expect(quarantine.admit(fingerprint + 1, startMs)).toBeUndefined();
	});

	it('counts an end of a backend server once, however often it is told', () => {
		const quarantine = afterCrashes(2);
		const other = afterCrashes(1);
		for (let round = 0; round < 10; round++) {
			quarantine.noteCrash(fingerprint, 2, startMs + round);
			quarantine.hear(other.news(true, startMs + round), true, startMs + round);
		}

		expect(quarantine.forbidsRepeat(fingerprint)).toBe(false);
	});

	it('adds up what daemons far from each other saw once each', () => {
		const daemons = [1, 2, 3].map(backend => {
			const quarantine = new Quarantine(() => false);
			quarantine.noteCrash(fingerprint, backend, startMs);
			return quarantine;
		});
		for (const daemon of daemons) {
			for (const other of daemons) {
				daemon.hear(other.news(false, startMs + 100), false, startMs + 100);
			}
		}

		expect(daemons.map(daemon => daemon.forbidsRepeat(fingerprint))).toEqual([true, true, true]);
	});

	it.each([
		{
			name: 'is refused by all while its quarantine lasts', mayProbe: true, afterMs: firstQuarantineMs - 1, admitted: 0,
		},
		{
			name: 'is tried once by the daemon that may probe when it is over', mayProbe: true, afterMs: firstQuarantineMs + 1, admitted: 1,
		},
		{
			name: 'is refused by every other daemon then, too', mayProbe: false, afterMs: firstQuarantineMs + 1, admitted: 0,
		},
	])('a quarantined request $name', ({mayProbe, afterMs, admitted}) => {
		const quarantine = afterCrashes(crashesToQuarantine, mayProbe);
		const verdicts = Array.from({length: 20}, () => quarantine.admit(fingerprint, startMs + afterMs));
		expect(verdicts.filter(verdict => verdict === undefined)).toHaveLength(admitted);
		for (const verdict of verdicts) {
			expect(verdict?.returnAfterMs ?? 1).toBeGreaterThan(0);
		}
	});

	it('doubles the quarantine with each probe that crashes a backend server', () => {
		const quarantine = afterCrashes(crashesToQuarantine, true);
		const probeAtMs = startMs + firstQuarantineMs + 1;
		expect(quarantine.admit(fingerprint, probeAtMs)).toBeUndefined();
		quarantine.noteCrash(fingerprint, 99, probeAtMs + 100);
		expect(quarantine.admit(fingerprint, probeAtMs + 200)!.returnAfterMs).toBeGreaterThan(firstQuarantineMs * 1.9);
	});

	it('lets a request go whose run completes, also at daemons that hear of it, and of the crashes again', () => {
		const [quarantine, other] = [afterCrashes(crashesToQuarantine), afterCrashes(crashesToQuarantine)];
		const stale = other.news(true, startMs);
		quarantine.noteCompleted(fingerprint, startMs + 500);
		other.hear(quarantine.news(true, startMs + 600), false, startMs + 600);
		for (const daemon of [quarantine, other]) {
			daemon.hear(stale.map(news => ({...news, crashes: news.crashes.map(([backend, ageMs]): [number, number] => [backend, ageMs + 700])})), false, startMs + 700);
			expect(daemon.forbidsRepeat(fingerprint)).toBe(false);
		}
	});

	it('suspects requests that many callers send alike of nothing while any of them completes between crashes', () => {
		const quarantine = new Quarantine(() => false);
		for (let crash = 0; crash < 20; crash++) {
			quarantine.noteCrash(fingerprint, crash, startMs + (crash * 1000));
			quarantine.noteCompleted(fingerprint, startMs + (crash * 1000) + 500);
			expect(quarantine.admit(fingerprint, startMs + (crash * 1000) + 600)).toBeUndefined();
		}
	});

	it('finds the request that came again among those that were in progress beside it', () => {
		const quarantine = new Quarantine(() => false);
		for (let crash = 0; crash < 3; crash++) {
			for (let beside = 0; beside < 64; beside++) {
				quarantine.noteCrash(1000 + (crash * 64) + beside, crash, startMs + (crash * 600));
			}

			quarantine.noteCrash(fingerprint, crash, startMs + (crash * 600));
		}

		const refused = [fingerprint, ...Array.from({length: 192}, (_, index) => 1000 + index)].filter(suspect => quarantine.forbidsRepeat(suspect));
		expect(refused).toEqual([fingerprint]);
		// Of 193 suspects a message tells the worst.
		expect(quarantine.news(false, startMs + 1200)[0].fingerprint).toBe(fingerprint);
	});

	it('keeps to a bounded number of suspects and to the worst of them', () => {
		const quarantine = afterCrashes(crashesToQuarantine);
		for (let other = 0; other < 5000; other++) {
			quarantine.noteCrash(10_000 + other, other, startMs + other);
		}

		expect((quarantine.toJson(startMs + 5000) as unknown[]).length).toBeLessThanOrEqual(64);
		expect(quarantine.forbidsRepeat(fingerprint)).toBe(true);
	});

	it('forgets what is long past', () => {
		const quarantine = afterCrashes(crashesToQuarantine);
		const laterMs = startMs + (2 * 60 * 60_000);
		quarantine.noteCrash(fingerprint + 1, 1, laterMs);
		expect(quarantine.forbidsRepeat(fingerprint)).toBe(false);
	});
});
