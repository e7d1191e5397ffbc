import {describe, expect, it} from 'vitest';
import {type VersionKnowledge} from '../../../protocol/fleet-messages.js';
import {type Backend, BackendState} from '../../../protocol/serving.js';
import {BackendTable} from '../../../state/backend-table.js';
import {findOnlyVersion, ServiceVersions} from '../service-versions.js';

const replica = (name: string, version: string): Backend => ({
	id: name, name, startedAtMs: 1, service: 's', version, host: '10.0.0.1', port: 1, failureDomain: 'fd', slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});

describe('findOnlyVersion', () => {
	const sure: VersionKnowledge = {versions: ['v1'], hasHistory: true};
	it.each([
		{
			name: 'this daemon is sure', own: sure, others: [], expected: 'v1',
		},
		{
			name: 'this daemon knows several', own: {...sure, versions: ['v1', 'v2']}, others: [], expected: undefined,
		},
		{
			name: 'its list may lack a version', own: sure, others: [], isConfirmed: false, expected: undefined,
		},
		{
			name: 'its list may lack a version, and others agree that do not confirm it', own: sure, others: [sure], isConfirmed: false, expected: undefined,
		},
		{
			name: 'another daemon knows a second one', own: sure, others: [sure, {...sure, versions: ['v1', 'v2']}], expected: undefined,
		},
		{
			name: 'it has just started and another one is sure', own: {...sure, hasHistory: false}, others: [sure], expected: 'v1',
		},
		{
			name: 'all have just started', own: {...sure, hasHistory: false}, others: [{...sure, hasHistory: false}], expected: undefined,
		},
		{
			name: 'no backend server is known', own: {...sure, versions: []}, others: [], expected: undefined,
		},
	])('returns $expected when $name', ({own, others, isConfirmed = true, expected}) => {
		expect(findOnlyVersion(own, others, isConfirmed)).toBe(expected);
	});
});

describe('ServiceVersions', () => {
	it.each([
		{
			name: 'those that served before its start', earlier: {s: ['v0']}, nowMs: 1000, expected: ['v0', 'v1'],
		},
		{
			name: 'the listed ones alone once streams from before its start have ended', earlier: {s: ['v0']}, nowMs: 61_000, expected: ['v1'],
		},
		{
			name: 'the listed ones without a record', earlier: undefined, nowMs: 1000, expected: ['v1'],
		},
	])('knows $name', ({earlier, nowMs, expected}) => {
		const backends = new BackendTable({drainMs: 2000});
		backends.upsert(replica('a', 'v1'), 0);
		const versions = new ServiceVersions({
			backends, startedAtMs: 0, firstStart: {isConfirmed: false},
		});
		expect(versions.hasHistory(1000)).toBe(false);
		if (earlier) {
			versions.restore(earlier);
		}

		expect([...versions.known('s', nowMs)].toSorted()).toEqual(expected);
		expect(versions.all(nowMs)).toEqual({s: expected});
		expect(versions.hasHistory(nowMs)).toBe(earlier !== undefined || nowMs > 60_000);
	});

	it('keeps a version for as long as streams may run that began there', () => {
		const backends = new BackendTable({drainMs: 2000});
		backends.upsert(replica('a', 'v1'), 0);
		backends.upsert(replica('b', 'v2'), 0);
		backends.markRemoved('a', 1000);
		const versions = new ServiceVersions({
			backends, startedAtMs: 0, firstStart: {isConfirmed: true},
		});
		backends.prune(60_000, 60_000);
		expect(versions.isMixed('s', 60_000)).toBe(true);
		backends.prune(60_000, 61_001);
		expect(versions.isMixed('s', 61_001)).toBe(false);
	});
});
