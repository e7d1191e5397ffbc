/** Guards against daemons that pass two statements on one backend server back and forth without end: messages take time that their ages do not include. */
import {describe, expect, it} from 'vitest';
import {SharedPaces} from '../shared-paces.js';

const roundMs = 250;

/** Lets relays exchange what they know in rounds, each message delayed, and returns the number of updates sent from a time on. */
function countUpdates(relays: SharedPaces[], delayMs: number, {fromMs, untilMs}: {fromMs: number; untilMs: number}): number {
	let count = 0;
	let inTransit: Array<{atMs: number; to: SharedPaces; updates: ReturnType<SharedPaces['updates']>}> = [];
	for (let nowMs = 0; nowMs < untilMs; nowMs += 10) {
		for (const {to, updates} of inTransit.filter(({atMs}) => atMs <= nowMs)) {
			to.applyUpdates(updates, true, nowMs);
		}

		inTransit = inTransit.filter(({atMs}) => atMs > nowMs);
		for (const [index, relay] of relays.entries()) {
			const updates = (nowMs + (index * 30)) % roundMs < 10 ? relay.updates(false, nowMs) : [];
			count += nowMs >= fromMs ? updates.length : 0;
			for (const to of updates.length > 0 ? relays.filter(other => other !== relay) : []) {
				inTransit.push({atMs: nowMs + delayMs, to, updates});
			}
		}
	}

	return count;
}

describe('SharedPaces', () => {
	it.each([10, 50, 200])('ends the exchange of two statements made at the same time, with messages that take %d ms', delayMs => {
		const relays = Array.from({length: 8}, () => new SharedPaces());
		relays[0].observe(1, {usualPercent: 70, recentPercents: [70]}, 0);
		relays[5].observe(1, {usualPercent: 175, recentPercents: [175]}, 5);
		expect(countUpdates(relays, delayMs, {fromMs: 3000, untilMs: 20_000})).toBe(0);
	});
});
