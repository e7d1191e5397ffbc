import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {BackendKind} from '../../protocol/gateway-settings.js';
import {ActiveCompletion, stallTimeoutMs} from '../active-completion.js';

// Guards against aborting a stalled run while no other engine could resume the stream. The third
// such abort failed the request, so the caller's stream broke although its engine might still answer.
describe('a stalled run', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it.each([
		{name: 'is aborted if another engine could resume the stream', availableAfterMs: 0, abortedAfterMs: stallTimeoutMs},
		{name: 'continues while no other engine could, and is aborted once one can', availableAfterMs: stallTimeoutMs + 1, abortedAfterMs: 2 * stallTimeoutMs},
	])('$name', ({availableAfterMs, abortedAfterMs}) => {
		const startedAtMs = Date.now();
		const completion = new ActiveCompletion({
			requestId: 'r', account: 'a', model: 'm', prompt: '', maxTokens: 10, priority: 0, resumeFrom: 0,
		}, new AbortController().signal, () => Date.now() - startedAtMs >= availableAfterMs);
		const run = completion.beginRun({
			id: 'e', kind: BackendKind.Engine, name: 'm', url: '', failureDomain: 'fd', checksFencing: false,
		});
		completion.countToken(0);
		vi.advanceTimersByTime(abortedAfterMs - 1);
		expect(run.aborted).toBe(false);
		vi.advanceTimersByTime(1);
		expect(run.aborted).toBe(true);
		completion.endRun();
	});
});
