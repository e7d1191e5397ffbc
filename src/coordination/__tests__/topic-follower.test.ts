import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../clock.js';
import {Topic} from '../../protocol/platform.js';
import {Belief} from '../../state/belief.js';
import {FakeStore} from '../../testing/fake-store.js';
import {waitUntil} from '../../testing/stack.js';
import {followTopic} from '../topic-follower.js';

function follow(store: FakeStore): {seen: string[]; belief: Belief; stop: AbortController; clock: SteadyClock} {
	const seen: string[] = [];
	const belief = new Belief();
	const stop = new AbortController();
	const clock = new SteadyClock();
	void followTopic({
		store,
		topic: Topic.Config,
		belief,
		clock,
		waitMs: 5,
		gatherMs: 0,
		sink: {
			reset(records) {
				seen.push(`reset ${records.map(record => record.key).join(',')}`);
			},
			apply(record) {
				seen.push(record.key);
			},
		},
	}, stop.signal);
	return {
		seen, belief, stop, clock,
	};
}

describe('followTopic', () => {
	it('reads the newest of each key, then every later record', async () => {
		const store = new FakeStore();
		store.put(Topic.Config, 'a', '1');
		store.put(Topic.Config, 'a', '2');
		const {seen, stop} = follow(store);
		await waitUntil(async () => seen.length === 1, 1000);
		store.put(Topic.Config, 'b', '3');
		await waitUntil(async () => seen.length === 2, 1000);
		stop.abort();
		expect(seen).toEqual(['reset a', 'b']);
	});

	it('starts over when the records it needs are no longer kept', async () => {
		const store = new FakeStore();
		store.put(Topic.Config, 'a', '1');
		const {seen, stop} = follow(store);
		await waitUntil(async () => seen.length === 1, 1000);
		store.put(Topic.Config, 'b', '2');
		store.compact(Topic.Config);
		store.put(Topic.Config, 'c', '3');
		await waitUntil(async () => seen.some(line => line.includes('c')), 1000);
		stop.abort();
		expect(seen.join(' ')).toContain('b');
	});

	it('lets the view age while the store is down and confirms it when it is back', async () => {
		const store = new FakeStore();
		const {belief, stop, clock} = follow(store);
		await waitUntil(async () => belief.isKnown, 1000);
		store.isDown = true;
		await waitUntil(async () => belief.ageMs(clock.now()) > 400, 2000);
		store.isDown = false;
		await waitUntil(async () => belief.ageMs(clock.now()) < 100, 2000);
		stop.abort();
	});
});
