/**
 * Guards against part of an answer that is taken for the whole one: an answer without length and
 * chunks ends with its connection, which also ends for other reasons that the daemon can know.
 */
import {describe, expect, it} from 'vitest';
import {type StartedAnswer} from '../dispatcher.js';
import {type ServedRequest} from '../served-request.js';
import {
	AnswerEnds, type AnswerContext, type AnswerEndsDependencies, EarlyEnd,
} from '../answer-ends.js';

const startedAtMs = 1000;

/** What is known as an answer ends. */
type Situation = {
	isEndedByClose?: boolean;
	remainingMs?: number;
	context?: AnswerContext;
	isListedEnded?: boolean;
	isRefused?: boolean;
	hasBacklog?: boolean;
	/** The start time that the backend server reports; undefined if it does not answer. */
	reportedStartMs?: number;
	/** Whether its entry states no start time. */
	hasNoStart?: boolean;
};

/** Returns why an answer may have ended early, and what was counted. */
async function findEarlyEnd({isEndedByClose = true, remainingMs = 1000, context, isListedEnded = false, isRefused = false, hasBacklog = false, reportedStartMs, hasNoStart = false}: Situation): Promise<{earlyEnd: EarlyEnd | undefined; counted: string[]}> {
	const counted: string[] = [];
	const dependencies = {
		backends: {get: () => ({isEnded: isListedEnded})},
		crashWatch: {refusesConnections: async () => isRefused},
		engines: {readStartTime: async () => reportedStartMs},
		pauses: {hasBacklog: () => hasBacklog},
		metrics: {recordConnectionEnd: (_: string, result: string) => counted.push(result)},
		clock: {now: () => 0},
	};
	const started = {answer: {isEndedByClose}, backend: {id: 'b', startedAtMs: hasNoStart ? undefined : startedAtMs}, attempt: {}};
	const served = {inputs: {arrivedAtMs: 0, route: {name: 'r'}, signal: new AbortController().signal}, remainingMs: () => remainingMs};
	const earlyEnd = await new AnswerEnds(dependencies as unknown as AnswerEndsDependencies).findEarlyEnd(started as unknown as StartedAnswer, served as unknown as ServedRequest, context);
	return {earlyEnd, counted};
}

describe('an answer that has ended', () => {
	it.each<Situation & {name: string; expected: EarlyEnd | undefined}>([
		{
			name: 'with its length or last chunk is whole, whatever else is known', isEndedByClose: false, context: {mayBeStopped: true, isEmptyStream: true}, remainingMs: 0, isListedEnded: true, isRefused: true, expected: undefined,
		},
		{name: 'with its connection is whole if its backend server accepts connections', expected: undefined},
		{name: 'with its connection is not whole if an order may have stopped its run', context: {mayBeStopped: true}, expected: EarlyEnd.Stopped},
		{name: 'with its connection is not whole at the deadline', remainingMs: 1, expected: EarlyEnd.Deadline},
		{name: 'with its connection is not whole if it is a new stream without events', context: {isEmptyStream: true}, expected: EarlyEnd.Empty},
		{name: 'with its connection is not whole if its backend server accepts no connections', isRefused: true, expected: EarlyEnd.Exited},
		{name: 'with its connection is not whole if a later start of its backend server is listed', isListedEnded: true, expected: EarlyEnd.Restarted},
		{
			name: 'with its connection during a pause is not whole if its backend server has restarted', hasBacklog: true, reportedStartMs: startedAtMs + 1, expected: EarlyEnd.Restarted,
		},
		{name: 'with its connection during a pause is not whole if its backend server does not say when it started', hasBacklog: true, expected: EarlyEnd.Restarted},
		{
			name: 'with its connection during a pause is whole if its backend server is the same start', hasBacklog: true, reportedStartMs: startedAtMs, expected: undefined,
		},
		{
			name: 'with its connection during a pause is whole if no start times are known', hasBacklog: true, hasNoStart: true, expected: undefined,
		},
		{
			name: 'with its connection is not whole if a later start answers that it has no such run', context: {isStartInDoubt: true}, reportedStartMs: startedAtMs + 1, expected: EarlyEnd.Restarted,
		},
		{
			name: 'with its connection is whole if the same start answers that it has no such run', context: {isStartInDoubt: true}, reportedStartMs: startedAtMs, expected: undefined,
		},
	])('$name', async ({expected, ...situation}) => {
		const {earlyEnd, counted} = await findEarlyEnd(situation);
		expect(earlyEnd).toBe(expected);
		expect(counted).toEqual(situation.isEndedByClose === false ? [] : [expected ?? 'whole']);
	});
});
