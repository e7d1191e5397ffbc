import {describe, expect, it} from 'vitest';
import {RelaySelection} from '../relay-selection.js';

const address = {host: '10.0.0.1', port: 1};

function createSelection(): RelaySelection {
	const selection = new RelaySelection('c');
	for (const name of ['d', 'b', 'a', 'c']) {
		selection.addAddress(name, address);
	}

	return selection;
}

const names = (entries: Array<{name: string}>) => entries.map(({name}) => name);

describe('RelaySelection', () => {
	it.each([
		{
			name: 'selects the first two daemons by name', asked: [], heard: [], nowMs: 0, relays: ['a', 'b'],
		},
		{
			name: 'skips a daemon that does not answer', asked: ['a'], heard: [], nowMs: 900, relays: ['b', 'c'],
		},
		{
			name: 'selects a daemon again once it answers', asked: ['a'], heard: ['a'], nowMs: 900, relays: ['a', 'b'],
		},
		{
			name: 'waits three rounds for an answer', asked: ['a'], heard: [], nowMs: 700, relays: ['a', 'b'],
		},
		{
			name: 'selects this daemon when no other answers', asked: ['a', 'b', 'd'], heard: [], nowMs: 900, relays: ['c'],
		},
	])('$name', ({asked, heard, nowMs, relays}) => {
		const selection = createSelection();
		for (const name of asked) {
			selection.noteAsked(name, 0);
		}

		for (const name of heard) {
			selection.noteHeard(name, address, false);
		}

		expect(names(selection.relays(nowMs))).toEqual(relays);
	});

	it('skips a daemon that is about to stop', () => {
		const selection = createSelection();
		selection.noteHeard('a', address, true);
		expect(names(selection.relays(0))).toEqual(['b', 'c']);
	});

	it('probes a skipped daemon at intervals', () => {
		const selection = createSelection();
		selection.noteAsked('a', 0);
		expect(names(selection.probes(700))).toEqual([]);
		expect(names(selection.probes(900))).toEqual(['a']);
		expect(names(selection.probes(1200))).toEqual([]);
		expect(names(selection.probes(3000))).toEqual(['a']);
	});
});
