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

/** What is known as an answer ends. */
type Situation = {
	isEndedByClose?: boolean;
	context?: AnswerContext;
	isRefused?: boolean;
};

/** Returns why an answer may have ended early, and what was counted. */
async function findEarlyEnd({isEndedByClose = true, context, isRefused = false}: Situation): Promise<{earlyEnd: EarlyEnd | undefined; counted: string[]}> {
	const counted: string[] = [];
	const dependencies = {
		crashWatch: {acceptsNoConnections: async () => isRefused},
		metrics: {recordConnectionEnd: (_: string, result: string) => counted.push(result)},
		clock: {now: () => 0},
	};
	const started = {answer: {isEndedByClose}, backend: {id: 'b', startedAtMs: 1000}, attempt: {}};
	const served = {inputs: {arrivedAtMs: 0, route: {name: 'r'}, signal: new AbortController().signal}};
	const earlyEnd = await new AnswerEnds(dependencies).findEarlyEnd(started as unknown as StartedAnswer, served as unknown as ServedRequest, context);
	return {earlyEnd, counted};
}

describe('an answer that has ended', () => {
	it.each<Situation & {name: string; expected: EarlyEnd | undefined}>([
		{
			name: 'with its length or last chunk is whole, whatever else is known', isEndedByClose: false, context: {mayBeStopped: true}, isRefused: true, expected: undefined,
		},
		{name: 'with its connection is whole if its backend server accepts connections', expected: undefined},
		{name: 'with its connection is not whole if an order may have stopped its run', context: {mayBeStopped: true}, expected: EarlyEnd.Stopped},
		{name: 'with its connection is not whole if its backend server accepts no connections', isRefused: true, expected: EarlyEnd.Exited},
	])('$name', async ({expected, ...situation}) => {
		const {earlyEnd, counted} = await findEarlyEnd(situation);
		expect(earlyEnd).toBe(expected);
		expect(counted).toEqual(situation.isEndedByClose === false ? [] : [expected ?? 'whole']);
	});
});
