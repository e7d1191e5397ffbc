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
const preferred = engines.toSorted((x, y) => affinityScore(prompt, y.id) - affinityScore(prompt, x.id))[0].id;
const view = (queued: number, ageMs = 0, healthy = true): LoadView => ({
	report: {
		id: 'any', model: 'desk', role: EngineRole.Serving, running: queued, waiting: 0, maxBatch: 32, cacheBlocksUsed: 0, cacheBlocks: 1, measuredAtMs: nowMs - ageMs,
	}, receivedAtMs: nowMs - ageMs, sentSinceReport: 0, healthy,
});
const loadsWith = (entries: Record<string, LoadView>) => new Map(engines.map(candidate => [candidate.id, entries[candidate.id] ?? view(0)]));

describe('chooseBackend', () => {
	it.each([
		{
			name: 'chooses the engine with prefix affinity when loads are equal', loads: loadsWith({}), excluded: [], slack: 4, expected: preferred,
		},
		{
			name: 'chooses the engine with affinity while its load is within the slack', loads: loadsWith({[preferred]: view(4)}), excluded: [], slack: 4, expected: preferred,
		},
		{
			name: 'chooses another engine when the load exceeds the slack', loads: loadsWith({[preferred]: view(9)}), excluded: [], slack: 4, expected: 'other',
		},
		{
			name: 'ignores a stale load report', loads: loadsWith({[preferred]: view(50, 10_000)}), excluded: [], slack: 4, expected: preferred,
		},
		{
			name: 'avoids an unhealthy engine', loads: loadsWith({[preferred]: view(0, 0, false)}), excluded: [], slack: 4, expected: 'other',
		},
		{
			name: 'avoids an excluded engine', loads: loadsWith({}), excluded: [preferred], slack: 4, expected: 'other',
		},
	])('$name', ({loads, excluded, slack, expected}) => {
		const choice = chooseBackend({
			candidates: engines, loads, excluded: new Set(excluded), prompt, affinitySlack: slack, nowMs,
		});
		if (expected === 'other') {
			expect(choice.id).not.toBe(preferred);
		} else {
			expect(choice.id).toBe(expected);
		}
	});

	it('chooses the same engine for prompts that share a prefix', () => {
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
