/** Guards against a daemon that reads all of a flood of new connections and answers most of them too late, while the other daemons have room. */
import {describe, expect, it} from 'vitest';
import {EventLoopDelay, turnIntervalMs} from '../../transport/event-loop-delay.js';
import {ConnectionShedding} from '../connection-shedding.js';

/** Processor time to read and serve a request, and to close a connection unread, in milliseconds. */
const requestMs = 2;
const closeMs = 0.05;
/** Time in which a request must be answered, in milliseconds. */
const objectiveMs = 300;
const floodMs = 6000;
/** Share of the requests that were read that must be served in time, as a share of those before the flood. */
const minServedShare = 3 / 4;

/** Connections that arrive at a daemon. */
type Flood = {
	perSecond: number;
	/** How many times as many requests it receives as the others on average. */
	multipleOfMean: number;
	/** Returns how much longer a turn of the event loop takes, in milliseconds. */
	turnsLate?: (atMs: number) => number;
	/** When the daemon started; the flood begins at time 0. */
	startedAtMs?: number;
};

/** Simulates a daemon that turns one event loop while connections with one request each arrive at an even rate; returns how many were read, and served in time. */
function simulateFlood({perSecond, multipleOfMean, turnsLate = () => 0, startedAtMs = -60_000}: Flood): {read: number; inTime: number; closed: number} {
	let nowMs = 0;
	const delay = new EventLoopDelay(() => nowMs);
	const shedding = new ConnectionShedding(delay, {multipleOfMean: () => multipleOfMean}, startedAtMs);
	const counts = {read: 0, inTime: 0, closed: 0};
	let arrived = 0;
	let timerDueMs = turnIntervalMs;
	while (nowMs < floodMs) {
		if (nowMs >= timerDueMs) {
			delay.noteTurn(nowMs);
			timerDueMs = nowMs + turnIntervalMs;
		}

		const newestArrival = Math.floor(nowMs / 1000 * perSecond);
		for (; arrived < newestArrival; arrived++) {
			const arrivedAtMs = arrived / perSecond * 1000;
			if (shedding.accepts(nowMs)) {
				nowMs += requestMs;
				counts.read++;
				counts.inTime += nowMs - arrivedAtMs <= objectiveMs ? 1 : 0;
			} else {
				nowMs += closeMs;
				counts.closed++;
			}
		}

		nowMs += 1 + turnsLate(nowMs);
	}

	return counts;
}

describe('a daemon that receives most new connections', () => {
	it.each([
		{name: 'twice what it can serve', perSecond: 1000},
		{name: 'five times what it can serve', perSecond: 2500},
		{name: 'ten times what it can serve', perSecond: 5000},
	])('serves most of what it reads in time at $name', ({perSecond}) => {
		const {read, inTime, closed} = simulateFlood({perSecond, multipleOfMean: 4});
		expect(inTime / read).toBeGreaterThanOrEqual(minServedShare);
		expect(closed).toBeGreaterThan(0);
		// It goes on serving as much as it can.
		expect(read * requestMs).toBeGreaterThan(floodMs / 2);
	});

	it.each([
		{
			name: 'its processor keeps up', perSecond: 200, multipleOfMean: 4, lateMs: 0, startedAtMs: -60_000,
		},
		{
			name: 'single turns are late', perSecond: 200, multipleOfMean: 4, lateMs: 120, startedAtMs: -60_000,
		},
		{
			name: 'the others receive as much', perSecond: 1000, multipleOfMean: 1.2, lateMs: 0, startedAtMs: -60_000,
		},
		{
			name: 'it has just started', perSecond: 1000, multipleOfMean: 4, lateMs: 0, startedAtMs: floodMs,
		},
	])('closes no connection while $name', ({perSecond, multipleOfMean, lateMs, startedAtMs}) => {
		const {closed} = simulateFlood({
			perSecond, multipleOfMean, startedAtMs, turnsLate: atMs => Math.floor(atMs) % 1000 < 2 ? lateMs : 0,
		});
		expect(closed).toBe(0);
	});
});
