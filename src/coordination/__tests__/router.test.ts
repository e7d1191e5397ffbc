import {describe, expect, it} from 'vitest';
import {
	type LoadView, affinityScore, affinityTokens, chooseBackend,
} from '../router.js';
import {NoBackendError} from '../errors.js';
import {EngineRole} from '../../protocol/engine-api.js';
import {type BackendServer, BackendKind} from '../../protocol/gateway-settings.js';

const nowMs = 100_000;
const engine = (id: string): BackendServer => ({
	id, kind: BackendKind.Engine, name: 'desk', url: `http://${id}`, failureDomain: 'fd-a', checksFencing: true,
});
const engines = ['a', 'b', 'c'].map(id => engine(id));
const prompt = 'summarise the offtake contract for lot seven';
const affine = engines.toSorted((x, y) => affinityScore(prompt, y.id) - affinityScore(prompt, x.id))[0].id;
const view = (queued: number, ageMs = 0, healthy = true): LoadView => ({
	report: {
		id: 'any', model: 'desk', role: EngineRole.Serving, running: queued, waiting: 0, maxBatch: 32, cacheBlocksUsed: 0, cacheBlocks: 1, measuredAtMs: nowMs - ageMs,
	}, receivedAtMs: nowMs - ageMs, sentSinceReport: 0, healthy,
});
const loadsWith = (entries: Record<string, LoadView>) => new Map(engines.map(candidate => [candidate.id, entries[candidate.id] ?? view(0)]));

describe('chooseBackend', () => {
	it.each([
		{
			name: 'equal load goes to the prefix-affine engine', loads: loadsWith({}), excluded: [], slack: 4, expected: affine,
		},
		{
			name: 'an affine engine within the slack keeps the request', loads: loadsWith({[affine]: view(4)}), excluded: [], slack: 4, expected: affine,
		},
		{
			name: 'an affine engine beyond the slack loses it', loads: loadsWith({[affine]: view(9)}), excluded: [], slack: 4, expected: 'not-affine',
		},
		{
			name: 'a stale report is not trusted', loads: loadsWith({[affine]: view(50, 10_000)}), excluded: [], slack: 4, expected: affine,
		},
		{
			name: 'an unhealthy engine gets nothing', loads: loadsWith({[affine]: view(0, 0, false)}), excluded: [], slack: 4, expected: 'not-affine',
		},
		{
			name: 'an excluded engine gets nothing', loads: loadsWith({}), excluded: [affine], slack: 4, expected: 'not-affine',
		},
	])('$name', ({loads, excluded, slack, expected}) => {
		const choice = chooseBackend({
			candidates: engines, loads, excluded: new Set(excluded), prompt, affinitySlack: slack, nowMs,
		});
		if (expected === 'not-affine') {
			expect(choice.id).not.toBe(affine);
		} else {
			expect(choice.id).toBe(expected);
		}
	});

	it('prompts that share a prefix go to the same engine', () => {
		const prefix = Array.from({length: affinityTokens}, (_, index) => `word${index}`).join(' ');
		const choices = new Set(['tail one', 'another tail', 'third'].map(tail => chooseBackend({
			candidates: engines, loads: loadsWith({}), excluded: new Set(), prompt: `${prefix} ${tail}`, affinitySlack: 4, nowMs,
		}).id));
		expect(choices.size).toBe(1);
	});

	it('throws NoBackendError when every engine is excluded', () => {
		expect(() => chooseBackend({
			candidates: engines, loads: loadsWith({}), excluded: new Set(['a', 'b', 'c']), prompt, affinitySlack: 4, nowMs,
		})).toThrow(NoBackendError);
	});
});
