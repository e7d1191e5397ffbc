import {setTimeout as delay} from 'node:timers/promises';
import {
	beforeEach, describe, expect, it, vi,
} from 'vitest';
import {BackendKind, type BackendServer} from '../../protocol/gateway-settings.js';
import {type EngineChunk, type EngineCompletionRequest, type KvSnapshot} from '../../protocol/engine-api.js';
import {exportKv, streamCompletion} from '../../transport/engine-client.js';
import {TransportError} from '../../transport/errors.js';
import {BackendDirectory, LeavingSource} from '../backend-directory.js';
import {Completions} from '../completions.js';
import {LoadTracker} from '../load-tracker.js';

vi.mock('../../transport/engine-client.js');

const maxTokens = 200;
const noticeMs = 2500;
const engines: BackendServer[] = ['e-1', 'e-2'].map(id => ({
	id, kind: BackendKind.Engine, name: 'm', url: id, failureDomain: 'fd', checksFencing: false,
}));
const snapshot: KvSnapshot = {requestId: 'a.r', promptHash: 'h', tokens: 1};

/** Runs a stream whose first engine is announced to leave after `leaveAfterTokens` tokens, and returns the counters. */
async function runStream({tokenMs, acceptAfterMs, leaveAfterTokens}: {tokenMs: (delivered: number) => number; acceptAfterMs: number; leaveAfterTokens: number}): Promise<Record<string, number>> {
	const directory = new BackendDirectory(engines, () => new Set());
	const loads = new LoadTracker(directory, 1000);
	const completions = new Completions({directory, loads, affinitySlack: () => 4});
	const exported = new AbortController();
	let isAccepted = false;
	let firstEngine: string | undefined;
	vi.mocked(exportKv).mockImplementation(async () => {
		if (!isAccepted) {
			throw new TransportError('no such request');
		}

		exported.abort();
		return snapshot;
	});
	vi.mocked(streamCompletion).mockImplementation(async function * (url: string, request: EngineCompletionRequest, signal: AbortSignal): AsyncGenerator<EngineChunk> {
		const isFirst = firstEngine === undefined;
		firstEngine ??= url;
		if (isFirst) {
			await delay(acceptAfterMs, undefined, {signal});
			isAccepted = true;
		}

		for (let seq = request.resume_from ?? 0; seq < maxTokens; seq++) {
			if (isFirst && exported.signal.aborted) {
				return;
			}

			await delay(isFirst ? tokenMs(seq) : 1, undefined, {signal}); // eslint-disable-line no-await-in-loop -- the tokens are generated one by one.
			yield {
				id: 'r', object: 'text_completion', model: 'm', seq, choices: [{index: 0, text: 'x', finish_reason: 'length'}],
			};
		}
	});

	const announceLeaving = () => {
		directory.markLeaving(firstEngine!, LeavingSource.Notice, Date.now() + noticeMs, Date.now());
	};

	if (leaveAfterTokens === 0) {
		setTimeout(announceLeaving, 20);
	}

	let delivered = 0;
	const job = {
		requestId: 'r', account: 'a', model: 'm', prompt: 'p', maxTokens, priority: 0, resumeFrom: 0,
	};
	for await (const _ of completions.stream(job, new AbortController().signal)) {
		delivered++;
		if (delivered === leaveAfterTokens) {
			announceLeaving();
		}
	}

	return {...completions.toJson(), delivered};
}

describe('a stream whose engine is leaving', () => {
	beforeEach(() => {
		vi.resetAllMocks();
	});

	it.each([
		{
			name: 'before the engine accepts the request', tokenMs: () => 20, acceptAfterMs: 300, leaveAfterTokens: 0,
		},
		{
			name: 'while the engine is fast, and then slows down', tokenMs: (delivered: number) => delivered < 60 ? 1 : 40, acceptAfterMs: 0, leaveAfterTokens: 50,
		},
	])('is moved with its KV cache when the notice comes $name', async ({name: _, ...stream}) => {
		const counters = await runStream(stream);
		expect(counters).toMatchObject({
			delivered: maxTokens, moves: 1, kvMoves: 1, resumes: 0,
		});
	});
});
