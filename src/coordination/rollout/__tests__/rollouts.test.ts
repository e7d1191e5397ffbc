import {describe, expect, it} from 'vitest';
import {type Backend, BackendState} from '../../../protocol/serving.js';
import {type Rollout, RolloutPhase, toUpdate} from '../rollout.js';
import {Rollouts} from '../rollouts.js';
import {noEvidence} from '../__fixtures__/no-evidence.js';

const backend = (id: string, version: string, failureDomain = 'fd-a'): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', version, host: '10.0.0.1', port: 1, failureDomain, slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});
const old = [backend('a', 'v1'), backend('b', 'v1')];
const updated = [backend('c', 'v2'), backend('d', 'v2')];
const rollout: Rollout = {
	service: 's', orderId: 5, version: 'v2', currentVersions: ['v1'], phase: RolloutPhase.Canary, startedAtMs: 0, durationMs: 12_000,
};

/** A daemon that started while the old version ran, and has since learned of a roll-out in the given phase. */
function createRollouts(phase: RolloutPhase | undefined): Rollouts {
	const rollouts = new Rollouts({canaryShare: 0.1}, () => 0, noEvidence);
	rollouts.noteBackends(old, 0);
	if (phase) {
		rollouts.apply({...rollout, phase}, 0);
	}

	return rollouts;
}

const idsOf = (backends: Backend[]) => backends.map(({id}) => id).join('');

describe('Rollouts', () => {
	it.each([
		{phase: undefined, isCanary: true, expected: 'ab'},
		{phase: RolloutPhase.Canary, isCanary: false, expected: 'ab'},
		{phase: RolloutPhase.Canary, isCanary: true, expected: 'cd'},
		{phase: RolloutPhase.Shift, isCanary: false, expected: 'cd'},
		{phase: RolloutPhase.Completed, isCanary: false, expected: 'cd'},
		{phase: RolloutPhase.RolledBack, isCanary: true, expected: 'ab'},
	])('lets a request (test of the new version: $isCanary) go to $expected in phase $phase', ({phase, isCanary, expected}) => {
		const filtered = createRollouts(phase).filter('s', [...old, ...updated], isCanary, 0);
		expect(idsOf(filtered.toSorted((a, b) => a.id < b.id ? -1 : 1))).toBe(expected);
	});

	it.each([
		{
			name: 'nothing to a version that no roll-out names', phase: undefined, candidates: updated, expected: '',
		},
		{
			name: 'nothing to an untested version, even if no other is left', phase: RolloutPhase.Canary, candidates: updated, expected: '',
		},
		{
			name: 'nothing to a third version during a roll-out', phase: RolloutPhase.Canary, candidates: [...old, backend('e', 'v3')], expected: 'ab',
		},
		{
			name: 'requests to the old version while the new one has no backend server', phase: RolloutPhase.Shift, candidates: old, expected: 'ab',
		},
		{
			name: 'requests to backend servers that replace others of the same version', phase: undefined, candidates: [backend('f', 'v1')], expected: 'f',
		},
	])('sends $name', ({phase, candidates, expected}) => {
		expect(idsOf(createRollouts(phase).filter('s', candidates, false, 0))).toBe(expected);
	});

	it.each([
		{
			name: 'the only version that runs, whatever was ordered', listed: updated, order: 'v2', expected: 'cd',
		},
		{
			name: 'the version that was not ordered, if two run', listed: [old[0], ...updated], order: 'v2', expected: 'a',
		},
		{
			name: 'the version that most backend servers run, if nothing was ordered', listed: [...old, updated[0]], order: undefined, expected: 'ab',
		},
	])('uses after a start $name', ({listed, order, expected}) => {
		const rollouts = new Rollouts({canaryShare: 0.1}, () => 0, noEvidence);
		if (order) {
			rollouts.noteOrder('s', {
				service: 's', version: order, durationMs: 12_000, orderId: 5, receivedAtMs: 0,
			});
		}

		rollouts.noteBackends(listed, 0);
		expect(idsOf(rollouts.filter('s', listed, false, 0))).toBe(expected);
	});

	it.each([
		{name: 'a later phase of the same order', update: {...rollout, phase: RolloutPhase.RolledBack}, expected: RolloutPhase.RolledBack},
		{name: 'no earlier phase of the same order', update: {...rollout, phase: RolloutPhase.Canary}, expected: RolloutPhase.Shift},
		{name: 'a later order', update: {...rollout, orderId: 9, phase: RolloutPhase.Canary}, expected: RolloutPhase.Canary},
		{name: 'no earlier order', update: {...rollout, orderId: 1, phase: RolloutPhase.Completed}, expected: RolloutPhase.Shift},
	])('learns $name from a late message', ({update, expected}) => {
		const rollouts = createRollouts(RolloutPhase.Shift);
		rollouts.applyUpdates([toUpdate(update, 3000)], 3000);
		expect(rollouts.get('s')?.phase).toBe(expected);
	});

	it('sends nothing to a version that an earlier order rolled back, whatever is ordered later', () => {
		const rollouts = new Rollouts({canaryShare: 0.1}, () => 0, {ordersViewAgeMs: () => 0, appearedAtMs: () => 0, wasListedBefore: () => true});
		rollouts.applyUpdates([toUpdate({
			...rollout, orderId: 9, version: 'v3', rejectedVersions: ['v2'],
		}, 0)], 0);
		expect(idsOf(rollouts.filter('s', [...old, ...updated], false, 60_000))).toBe('ab');
	});

	it('ignores a phase that it does not know', () => {
		const rollouts = createRollouts(RolloutPhase.Canary);
		rollouts.applyUpdates([{...toUpdate(rollout, 0), orderId: 9, phase: 'paused'}], 0);
		expect(rollouts.get('s')?.orderId).toBe(5);
	});

	it.each([
		{phase: undefined, pool: 'abcd'},
		{phase: RolloutPhase.Canary, pool: 'ab'},
		{phase: RolloutPhase.Shift, pool: 'cd'},
		{phase: RolloutPhase.Completed, pool: 'cd'},
		{phase: RolloutPhase.RolledBack, pool: 'ab'},
	])('counts $pool as the pool in phase $phase', ({phase, pool}) => {
		const rollouts = createRollouts(phase);
		expect(idsOf([...old, ...updated].filter(each => rollouts.belongsToPool(each)))).toBe(pool);
	});

	it.each([
		{phase: RolloutPhase.Canary, expected: [undefined, undefined]},
		{phase: RolloutPhase.Shift, expected: [11_500, undefined]},
	])('states when engines stop in phase $phase', ({phase, expected}) => {
		const rollouts = createRollouts(phase);
		expect([old[0], updated[0]].map(each => rollouts.stopsAtMs(each))).toEqual(expected);
	});

	it('compares answers by version, failure domain and route, also those that other daemons counted', () => {
		const [first, second] = [createRollouts(RolloutPhase.Canary), createRollouts(RolloutPhase.Canary)];
		for (let answer = 0; answer < 20; answer++) {
			first.noteAnswer(old[0], 'r', 200, 50);
		}

		second.noteAnswer(updated[0], 'r', 500, 50);
		second.noteAnswer(updated[0], 'r', undefined, 50);
		for (const [key, totals] of second.outcomes.ownTotals()) {
			first.outcomes.addPeerTotals(key, totals);
		}

		expect(first.outcomes.strata(5).map(({metric, current, next}) => ({metric, current, next}))).toEqual([
			{metric: 'failure', current: {answers: 20, bad: 0}, next: {answers: 2, bad: 1}},
			{metric: 'slow', current: {answers: 20, bad: 0}, next: {answers: 1, bad: 0}},
		]);
		first.apply({...rollout, phase: RolloutPhase.RolledBack}, 0);
		expect(first.outcomes.strata(5)).toEqual([]);
	});
});
