import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../clock.js';

describe('SteadyClock', () => {
	it.each([
		{
			name: 'advances with the monotonic clock', monotonic: 1000, wall: 1000, uptime: 1000, expected: 1000,
		},
		{
			name: 'includes a suspension', monotonic: 1000, wall: 5000, uptime: 5000, expected: 5000,
		},
		{
			name: 'ignores a forward jump of the wall clock', monotonic: 1000, wall: 3400, uptime: 1000, expected: 1000,
		},
		{
			name: 'ignores a backward jump of the wall clock', monotonic: 1000, wall: -1400, uptime: 1000, expected: 1000,
		},
		{
			name: 'includes a suspension during which the wall clock was set back', monotonic: 1000, wall: 2600, uptime: 5000, expected: 5000,
		},
	])('$name', ({monotonic, wall, uptime, expected}) => {
		const time = {monotonic: 0, wall: 1_700_000_000_000, uptime: 50_000};
		const clock = new SteadyClock({monotonicMs: () => time.monotonic, wallMs: () => time.wall, uptimeMs: () => time.uptime});
		time.monotonic += monotonic;
		time.wall += wall;
		time.uptime += uptime;
		expect(clock.now()).toBe(expected);
		expect(clock.wallTimeMs()).toBe(1_700_000_000_000 + expected);
	});
});
