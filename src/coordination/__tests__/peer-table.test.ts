import {describe, expect, it} from 'vitest';
import {type PeerMessage, PeerTable} from '../peer-table.js';

const message = (overrides: Partial<PeerMessage> = {}): PeerMessage => ({
	name: 'b', incarnation: 'b#1', address: {host: '10.0.0.2', port: 1}, uptimeMs: 100, holder: undefined, spent: {}, windowSums: undefined, usage: [], inFlight: {}, isStopping: false, ...overrides,
});

describe('PeerTable', () => {
	it.each([
		{name: 'what a peer admitted since its last message', messages: [message({spent: {x: 5}}), message({spent: {x: 8}})], expected: 3},
		{name: 'all of what a peer that started later admitted', messages: [message({spent: {x: 5}})], expected: 5},
		{name: 'nothing of what an older peer admitted before', messages: [message({uptimeMs: 100_000, spent: {x: 5}})], expected: 0},
		{name: 'a restarted peer from its new start', messages: [message({spent: {x: 5}}), message({incarnation: 'b#2', spent: {x: 2}})], expected: 2},
		{name: 'a refund as less', messages: [message({spent: {x: 5}}), message({spent: {x: 4}})], expected: -1},
	])('counts $name', ({messages, expected}) => {
		const table = new PeerTable('a', 0);
		let last: Record<string, number> = {};
		for (const item of messages) {
			last = table.note(item, 1000);
		}

		expect(last.x).toBe(expected);
	});

	it.each([
		{
			afterMs: 500, daemons: 2, silent: 0, hearsMost: true, targets: 1,
		},
		{
			afterMs: 5000, daemons: 2, silent: 1, hearsMost: false, targets: 1,
		},
		{
			afterMs: 30_000, daemons: 2, silent: 0, hearsMost: true, targets: 0,
		},
		{
			afterMs: 70_000, daemons: 1, silent: 0, hearsMost: true, targets: 0,
		},
	])('after $afterMs ms of silence', ({afterMs, daemons, silent, hearsMost, targets}) => {
		const table = new PeerTable('a', 0);
		table.note(message({inFlight: {r: 7}}), 1000);
		const nowMs = 1000 + afterMs;
		expect(table.daemons(nowMs)).toBe(daemons);
		expect(table.silent(nowMs)).toBe(silent);
		expect(table.hearsMost(nowMs)).toBe(hearsMost);
		expect(table.targets(false, nowMs)).toHaveLength(targets);
		expect(table.targets(true, nowMs)).toHaveLength(1);
		expect(table.inFlight('r', nowMs)).toBe(afterMs <= 1000 ? 7 : 0);
	});
});
