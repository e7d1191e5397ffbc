import {describe, expect, it} from 'vitest';
import {type BackendServer, BackendKind} from '../../protocol/gateway-settings.js';
import {type VmEntry, VmState} from '../../protocol/cloud-api.js';
import {BackendDirectory, goneKeptMs, LeavingSource} from '../backend-directory.js';

const seed: BackendServer[] = ['desk-0', 'desk-1'].map(id => ({
	id, kind: BackendKind.Engine, name: 'desk', url: `http://${id}`, failureDomain: 'fd-a', checksFencing: true,
}));
const vm = (name: string, state = VmState.Live): VmEntry => ({
	name, url: `http://${name}`, failureDomain: 'fd-a', machineClass: 'small', reclaimable: true, state, perHour: 1, startedAtMs: 0,
});
const both = [vm('desk-0'), vm('desk-1')];

type Step = {atMs?: number; list?: VmEntry[]; notice?: string};

describe('backend servers that take work', () => {
	it.each([
		{name: 'are those of the settings before any list', steps: [], expected: ['desk-0', 'desk-1']},
		{name: 'stay when the lagging list does not show them yet', steps: [{list: []}], expected: ['desk-0', 'desk-1']},
		{name: 'lose the one a notice names', steps: [{notice: 'desk-0'}], expected: ['desk-1']},
		{name: 'do not get it back from a list that lags behind the notice', steps: [{notice: 'desk-0'}, {list: both}], expected: ['desk-1']},
		{name: 'lose the one the list shows leaving', steps: [{list: [vm('desk-0', VmState.Leaving), vm('desk-1')]}], expected: ['desk-1']},
		{name: 'lose the one the list no longer shows', steps: [{list: both}, {list: [vm('desk-1')]}], expected: ['desk-1']},
		{name: 'do not get it back from an older list', steps: [{list: both}, {list: [vm('desk-1')]}, {list: both, atMs: goneKeptMs * 2}], expected: ['desk-1']},
		{name: 'gain a VM once it is live', steps: [{list: [...both, vm('vm-1', VmState.Booting)]}], expected: ['desk-0', 'desk-1']},
		{name: 'gain a live VM', steps: [{list: [...both, vm('vm-1')]}], expected: ['desk-0', 'desk-1', 'vm-1']},
		{
			name: 'lose the one drained by the configuration', steps: [], drained: ['desk-1'], expected: ['desk-0'],
		},
	] as Array<{name: string; steps: Step[]; drained?: string[]; expected: string[]}>)('$name', ({steps, drained, expected}) => {
		const directory = new BackendDirectory(seed, () => new Set(drained));
		for (const {atMs = 0, list, notice} of steps) {
			if (list) {
				directory.applyVmList(list, atMs);
			}

			if (notice !== undefined) {
				directory.noteLeaving(notice, LeavingSource.Notice, atMs + 5000, atMs);
			}
		}

		expect(directory.takingWork(BackendKind.Engine).map(backend => backend.id)).toEqual(expected);
	});
});
