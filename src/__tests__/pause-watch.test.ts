/** Guards against taking events that arrived while the process was stopped for present ones. */
import {describe, expect, it} from 'vitest';
import {PauseWatch} from '../pause-watch.js';

describe('PauseWatch', () => {
	it.each([
		{
			name: 'while the process runs', turnsMs: [0, 100, 200], nowMs: 250, expected: false,
		},
		{
			name: 'before its first turn', turnsMs: [], nowMs: 5000, expected: false,
		},
		{
			name: 'as it runs again, before its next turn', turnsMs: [0, 100], nowMs: 4000, expected: true,
		},
		{
			name: 'shortly after a pause', turnsMs: [0, 100, 4000, 4100], nowMs: 4200, expected: true,
		},
		{
			name: 'long after a pause', turnsMs: [0, 100, 4000, ...Array.from({length: 12}, (_, index) => 4100 + (index * 100))], nowMs: 5210, expected: false,
		},
	])('has a backlog: $expected, $name', ({turnsMs, nowMs, expected}) => {
		const watch = new PauseWatch();
		for (const turnMs of turnsMs) {
			watch.noteActive(turnMs);
		}

		expect(watch.hasBacklog(nowMs)).toBe(expected);
	});
});
