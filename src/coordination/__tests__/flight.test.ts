import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {BackendKind} from '../../protocol/gateway-settings.js';
import {ActiveCompletion, stallTimeoutMs} from '../flight.js';

// A run that stalled was ended before anyone asked whether another engine could go on with it,
// and the third one for good: the caller's stream broke off though its engine might still answer.
describe('a stalled run', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});
	afterEach(() => {
		vi.useRealTimers();
	});

	it.each([
		{name: 'ends while another engine could go on with it', openAfterMs: 0, endsAfterMs: stallTimeoutMs},
		{name: 'stays while none could, and ends when one can', openAfterMs: stallTimeoutMs + 1, endsAfterMs: 2 * stallTimeoutMs},
	])('$name', ({openAfterMs, endsAfterMs}) => {
		const startedAtMs = Date.now();
		const flight = new ActiveCompletion({
			requestId: 'r', account: 'a', model: 'm', prompt: '', maxTokens: 10, priority: 0, resumeFrom: 0,
		}, new AbortController().signal, () => Date.now() - startedAtMs >= openAfterMs);
		const run = flight.beginRun({
			id: 'e', kind: BackendKind.Engine, name: 'm', url: '', failureDomain: 'fd', checksFencing: false,
		});
		flight.noteToken(0);
		vi.advanceTimersByTime(endsAfterMs - 1);
		expect(run.aborted).toBe(false);
		vi.advanceTimersByTime(1);
		expect(run.aborted).toBe(true);
		flight.endRun();
	});
});
