import {describe, expect, it} from 'vitest';
import {type BackendServer, BackendKind} from '../../protocol/gateway-settings.js';
import {type VmEntry, VmState} from '../../protocol/cloud-api.js';
import {BackendDirectory, goneRetentionMs, LeavingSource} from '../backend-directory.js';

const seed: BackendServer[] = ['desk-0', 'desk-1'].map(id => ({
	id, kind: BackendKind.Engine, name: 'desk', url: `http://${id}`, failureDomain: 'fd-a', checksFencing: true,
}));
const vm = (name: string, state = VmState.Live): VmEntry => ({
	name, url: `http://${name}`, failureDomain: 'fd-a', machineClass: 'small', reclaimable: true, state, perHour: 1, startedAtMs: 0,
});
const both = [vm('desk-0'), vm('desk-1')];

type Step = {atMs?: number; list?: VmEntry[]; notice?: string};

describe('backend servers that may receive new work', () => {
	it.each([
		{name: 'are those of the settings before a list is read', steps: [], expected: ['desk-0', 'desk-1']},
		{name: 'still include those of the settings that the list does not show yet', steps: [{list: []}], expected: ['desk-0', 'desk-1']},
		{name: 'exclude the one that a notice names', steps: [{notice: 'desk-0'}], expected: ['desk-1']},
		{name: 'still exclude it when a list that is older than the notice shows it live', steps: [{notice: 'desk-0'}, {list: both}], expected: ['desk-1']},
		{name: 'exclude the one that the list shows as leaving', steps: [{list: [vm('desk-0', VmState.Leaving), vm('desk-1')]}], expected: ['desk-1']},
		{name: 'exclude the one that the list no longer shows', steps: [{list: both}, {list: [vm('desk-1')]}], expected: ['desk-1']},
		{name: 'still exclude it when an older list shows it live again', steps: [{list: both}, {list: [vm('desk-1')]}, {list: both, atMs: goneRetentionMs * 2}], expected: ['desk-1']},
		{name: 'exclude a VM that is still booting', steps: [{list: [...both, vm('vm-1', VmState.Booting)]}], expected: ['desk-0', 'desk-1']},
		{name: 'include a VM that is live', steps: [{list: [...both, vm('vm-1')]}], expected: ['desk-0', 'desk-1', 'vm-1']},
		{
			name: 'exclude the one that the configuration drains', steps: [], drained: ['desk-1'], expected: ['desk-0'],
		},
	] as Array<{name: string; steps: Step[]; drained?: string[]; expected: string[]}>)('$name', ({steps, drained, expected}) => {
		const directory = new BackendDirectory(seed, () => new Set(drained));
		for (const {atMs = 0, list, notice} of steps) {
			if (list) {
				directory.applyVmList(list, atMs);
			}

			if (notice !== undefined) {
				directory.markLeaving(notice, LeavingSource.Notice, atMs + 5000, atMs);
			}
		}

		expect(directory.acceptingWork(BackendKind.Engine).map(backend => backend.id)).toEqual(expected);
	});
});
