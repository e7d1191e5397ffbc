import {describe, expect, it} from 'vitest';
import {type Backend, BackendState} from '../../protocol/serving.js';
import {Cooldowns} from '../cooldowns.js';

const wallTimeMs = 1_000_000;
/** Creates a backend server named `a` that started at a time in milliseconds since 1970. */
const started = (startedAtMs: number | undefined): Backend => ({
	id: startedAtMs === undefined ? 'a' : `a@${startedAtMs}`, name: 'a', startedAtMs, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 4, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});
const server = started(1);

describe('Cooldowns', () => {
	it.each([
		{name: 'for as long as it asked', answers: [[0, 3000]], untilMs: 3000},
		{name: 'until the later end when it asked again for longer', answers: [[0, 3000], [1000, 3000]], untilMs: 4000},
		{name: 'until the later end when it asked again for less', answers: [[0, 3000], [1000, 500]], untilMs: 3000},
		{name: 'not at all when it asked for no time', answers: [[0, 0]], untilMs: 0},
		{name: 'again after it had cooled down', answers: [[0, 100], [500, 200]], untilMs: 700},
		{name: 'for a time of any length', answers: [[0, Number.MAX_SAFE_INTEGER]], untilMs: Number.MAX_SAFE_INTEGER},
	])('let a backend server cool down $name', ({answers, untilMs}) => {
		const cooldowns = new Cooldowns();
		for (const [atMs, delayMs] of answers) {
			cooldowns.note(server, delayMs, wallTimeMs + atMs, atMs);
		}

		expect(cooldowns.isCoolingDown(server, untilMs - 1)).toBe(untilMs > 0);
		expect(cooldowns.isCoolingDown(server, untilMs)).toBe(false);
	});

	it.each([
		{name: 'began after it was asked for', next: started(wallTimeMs + 1), isCoolingDown: false},
		{name: 'had begun before it was asked for, unknown to the daemon', next: started(wallTimeMs - 1), isCoolingDown: true},
		{name: 'states no start time', next: {...started(undefined), id: 'a@unknown'}, isCoolingDown: false},
	])('apply to a later start under the same name if that $name: $isCoolingDown', ({next, isCoolingDown}) => {
		const cooldowns = new Cooldowns();
		cooldowns.note(server, 3000, wallTimeMs, 0);
		expect(cooldowns.isCoolingDown(next, 100)).toBe(isCoolingDown);
	});

	it('keep that of the later start when a late answer of the earlier one asks for a cooldown', () => {
		const cooldowns = new Cooldowns();
		const later = started(wallTimeMs + 1);
		cooldowns.note(later, 3000, wallTimeMs + 2, 0);
		cooldowns.note(server, 60_000, wallTimeMs + 3, 10);
		expect(cooldowns.isCoolingDown(later, 2999)).toBe(true);
		expect(cooldowns.isCoolingDown(later, 3000)).toBe(false);
	});

	it('let two moved streams continue during a cooldown, also when it is extended', () => {
		const cooldowns = new Cooldowns();
		expect(cooldowns.tryContinueMoved(server, 0)).toBe(true);
		cooldowns.note(server, 1000, wallTimeMs, 0);
		expect(cooldowns.tryContinueMoved(server, 100)).toBe(true);
		cooldowns.note(server, 1000, wallTimeMs, 200);
		expect(cooldowns.tryContinueMoved(server, 300)).toBe(true);
		expect(cooldowns.tryContinueMoved(server, 400)).toBe(false);
		expect(cooldowns.tryContinueMoved(server, 1200)).toBe(true);
	});

	it('drop those that are over', () => {
		const cooldowns = new Cooldowns();
		cooldowns.note(server, 1000, wallTimeMs, 0);
		cooldowns.prune(999);
		expect(cooldowns.isEmpty).toBe(false);
		cooldowns.prune(1000);
		expect(cooldowns.isEmpty).toBe(true);
	});
});
