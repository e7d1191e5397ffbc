/** Guards against forgetting an order to stop a run: an order without an answer may be carried out long after it was given up. */
import {describe, expect, it} from 'vitest';
import {MoveResult} from '../../../protocol/platform.js';
import {StopOrders} from '../stop-orders.js';

const createRun = (port = 1) => ({backend: {host: '10.0.0.1', port}});

describe('StopOrders', () => {
	it.each([
		{results: [undefined], expected: true},
		{results: [MoveResult.Done], expected: true},
		{results: [MoveResult.Stopped], expected: true},
		{results: [MoveResult.Unanswered], expected: true},
		{results: [MoveResult.Refused], expected: false},
		{results: [MoveResult.NotRunning], expected: false},
		{results: [MoveResult.Unanswered, MoveResult.Refused], expected: true},
		{results: [MoveResult.Unanswered, MoveResult.NotRunning], expected: true},
	])('a run may have been stopped: $expected, after $results', ({results, expected}) => {
		const orders = new StopOrders();
		const run = createRun();
		for (const result of results) {
			const noteResult = orders.noteOrder(run);
			if (result) {
				noteResult(result);
			}
		}

		expect(orders.mayHaveStopped(run)).toBe(expected);
		expect(orders.hasOrdered(run)).toBe(true);
	});

	it.each([
		{
			name: 'one that goes on where the run before was stopped, as its engine answered', result: MoveResult.Stopped, port: 1, expected: false,
		},
		{
			name: 'one at the address of an order without an answer', result: MoveResult.Unanswered, port: 1, expected: true,
		},
		{
			name: 'one at another address', result: MoveResult.Unanswered, port: 2, expected: false,
		},
	])('a later run may have been stopped: $expected, for $name', ({result, port, expected}) => {
		const orders = new StopOrders();
		orders.noteOrder(createRun())(result);
		expect(orders.mayHaveStopped(createRun(port))).toBe(expected);
	});
});
