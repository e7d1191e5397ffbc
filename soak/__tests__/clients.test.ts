/** Guards against a soak that overlooks a stream which reaches its client as complete without all events, or with one twice. */
import {describe, expect, it} from 'vitest';
import {streamEvents} from '../../platform/__tests__/standins.js';
import {findAnswerViolation, type RequestRecord} from '../clients.js';

const writeEvents = (ids: number[]) => ids.map(id => `id: ${id}\ndata: v1\n\n`).join('');
const all = Array.from({length: streamEvents}, (_, index) => index + 1);
const record: RequestRecord = {
	id: 'a', kind: 'once', apiKey: 'key', host: 'h', sentAtMs: 0, endedAtMs: 1, status: 200, replicaSeal: 'seal', body: '', isComplete: true, isConnected: true, hasGivenUp: false,
};

describe('findAnswerViolation', () => {
	it.each<{name: string; body: string; isComplete?: boolean; lastEventId?: number; isViolation: boolean}>([
		{name: 'all events', body: writeEvents(all), isViolation: false},
		{
			name: 'all events from the one on at which it was taken up', body: writeEvents(all.slice(2)), lastEventId: 2, isViolation: false,
		},
		{
			name: 'the first events, broken off', body: writeEvents(all.slice(0, 2)), isComplete: false, isViolation: false,
		},
		{name: 'the first events, complete', body: writeEvents(all.slice(0, 2)), isViolation: true},
		{name: 'all events but the last, complete', body: writeEvents(all.slice(0, -1)), isViolation: true},
		{name: 'no event, complete', body: '', isViolation: true},
		{name: 'an event in the middle missing', body: writeEvents(all.filter(id => id !== 3)), isViolation: true},
		{name: 'an event twice', body: writeEvents([1, 2, 2, ...all.slice(2)]), isViolation: true},
		{name: 'the last event in part', body: writeEvents(all).slice(0, -6), isViolation: true},
	])('reports a stream with $name: $isViolation', ({body, isComplete = true, lastEventId, isViolation}) => {
		expect(findAnswerViolation({
			...record, body, isComplete, lastEventId,
		}) !== undefined).toBe(isViolation);
	});
});
