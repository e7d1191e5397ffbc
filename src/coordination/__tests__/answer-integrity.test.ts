import {
	afterAll, afterEach, beforeAll, describe, expect, it,
} from 'vitest';
import {generateCompletionText} from '../../standins/engine-output.js';
import {ScrambleMode} from '../../standins/chunk-scrambler.js';
import {
	readState, receiveStream, setFaults, buildSmallTopology, startTestStack, type TestStack,
} from '../../testing/stack.js';

const basePort = 26_000;
const engineUrls = [0, 1].map(index => `http://127.0.0.1:${basePort + 100 + index}`);
const noFaults = {
	refuse: false, dropAfterStart: false, dropWhileQueued: false, scramble: null,
};

let stack: TestStack;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(basePort));
});

afterAll(async () => {
	await stack?.running.stop();
});

afterEach(async () => {
	await Promise.all(engineUrls.map(async url => setFaults(url, noFaults)));
});

describe('a caller gets its whole answer although chunks arrive', () => {
	it.each(Object.values(ScrambleMode).map(scramble => ({scramble})))('$scramble', async ({scramble}) => {
		await Promise.all(engineUrls.map(async url => setFaults(url, {scramble})));
		const prompts = [0, 1, 2, 3].map(index => `gate check ${index} with chunks in ${scramble}`);
		const answers = await Promise.all(prompts.map(async prompt => receiveStream({url: stack.gateways[0].url, prompt, maxTokens: 43})));
		for (const [index, answer] of answers.entries()) {
			expect(answer.text).toBe(generateCompletionText(prompts[index], 43));
			expect(answer.seqs).toEqual([...Array.from({length: 43}).keys()]);
		}

		const {completions} = await readState<{completions: {resumes: number}}>(stack.gateways[0].adminUrl);
		expect(completions.resumes).toBe(0);
	});
});

describe('a failed request is answered with its true outcome', () => {
	it.each([
		{
			name: 'engines that refuse did not run it', faults: {refuse: true}, status: 503, outcome: 'not-run',
		},
		{
			name: 'engines that began it and broke off may have run it', faults: {dropAfterStart: true}, status: 502, outcome: 'unknown',
		},
		{
			name: 'engines that confirm it never began did not run it', faults: {dropWhileQueued: true}, status: 503, outcome: 'not-run',
		},
	])('$name', async ({name, faults, status, outcome}) => {
		await Promise.all(engineUrls.map(async url => setFaults(url, faults)));
		const answer = await receiveStream({url: stack.gateways[1].url, prompt: name, maxTokens: 8});
		expect(answer.status).toBe(status);
		expect(answer.outcome).toBe(outcome);
	});
});
