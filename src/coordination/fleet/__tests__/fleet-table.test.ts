import {describe, expect, it} from 'vitest';
import {
	type Digest, DigestScope, FleetMessageKind, type Report, type Sender,
} from '../../../protocol/fleet-messages.js';
import {FleetTable} from '../fleet-table.js';

type Overrides = Partial<Sender> & {admitted?: number; inFlight?: number[]};

/** Creates a report of daemon `b` about itself. */
const report = ({admitted = 0, inFlight = [], ...sender}: Overrides = {}): Report => {
	const digest: Digest = {
		scope: DigestScope.Daemon, epoch: '', daemons: 1, silent: 0, use: {x: [admitted, 0]}, usage: [], inFlight,
	};
	return {
		kind: FleetMessageKind.Report,
		sender: {
			name: 'b', incarnation: 'b#1', failureDomain: 'fd-a', address: {host: '10.0.0.2', port: 1}, uptimeMs: 100, isStopping: false, ...sender,
		},
		holder: undefined,
		windowUses: undefined,
		digest,
		wantsView: false,
		wantsUses: false,
		wantsUsage: false,
		round: 1,
		positions: {},
	};
};

const createTable = () => new FleetTable({name: 'a', failureDomain: 'fd-a', startedAtMs: 0});

describe('FleetTable', () => {
	it.each([
		{name: 'what a daemon admitted since its last report', reports: [report({admitted: 5}), report({admitted: 8})], expected: 3},
		{name: 'everything that a daemon that started later admitted', reports: [report({admitted: 5})], expected: 5},
		{name: 'nothing that a daemon admitted before the table was created', reports: [report({uptimeMs: 100_000, admitted: 5})], expected: 0},
		{name: 'a restarted daemon from zero', reports: [report({admitted: 5}), report({incarnation: 'b#2', admitted: 2})], expected: 2},
		{name: 'a refund as a negative increase', reports: [report({admitted: 5}), report({admitted: 4})], expected: -1},
	])('counts $name', ({reports, expected}) => {
		const table = createTable();
		const last = reports.map(item => table.noteReport(item, 1000)).at(-1);
		expect(last?.get('x')?.admitted).toBe(expected);
	});

	it.each([
		{
			afterMs: 500, daemons: 2, silent: 0, isMajorityResponsive: true, targets: 1,
		},
		{
			afterMs: 5000, daemons: 2, silent: 1, isMajorityResponsive: false, targets: 1,
		},
		{
			afterMs: 30_000, daemons: 2, silent: 0, isMajorityResponsive: true, targets: 0,
		},
		{
			afterMs: 70_000, daemons: 1, silent: 0, isMajorityResponsive: true, targets: 0,
		},
	])('counts and addresses a daemon after $afterMs ms of silence', ({afterMs, daemons, silent, isMajorityResponsive, targets}) => {
		const table = createTable();
		table.noteReport(report({inFlight: [1, 7]}), 1000);
		const nowMs = 1000 + afterMs;
		expect(table.daemons(nowMs)).toBe(daemons);
		expect(table.silent(nowMs)).toBe(silent);
		expect(table.isMajorityResponsive(nowMs)).toBe(isMajorityResponsive);
		expect(table.addresses(false, nowMs)).toHaveLength(targets);
		expect(table.addresses(true, nowMs)).toHaveLength(1);
		expect(table.inFlight(1, nowMs)).toBe(afterMs <= 1000 ? 7 : 0);
	});
});
