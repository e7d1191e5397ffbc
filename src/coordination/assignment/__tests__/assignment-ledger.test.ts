import {describe, expect, it} from 'vitest';
import {AssignmentLedger} from '../assignment-ledger.js';
import {
	type AssignableBackend, type AssignmentDecision, type AssignmentEnd, AssignmentKind, type AssignmentRequest, AssignmentResult,
} from '../../../protocol/assignment.js';

function backend(key: number, fields: Partial<AssignableBackend> = {}): AssignableBackend {
	return {
		key, slots: 24, kvTokens: 572_719, paceFactor: 1, inFlightElsewhere: 0, isEngine: true, isCold: false, ...fields,
	};
}

let nextId = 1;

function request(fields: Partial<AssignmentRequest> = {}): AssignmentRequest {
	const promptTokens = fields.promptTokens ?? 800;
	return {
		id: nextId++, daemon: 'd', incarnation: 'd#1', account: 'a', accountWeight: 1, priority: 1, cost: promptTokens, latencyTargetMs: fields.targetMs ?? 500, targetMs: 500, remainingMs: 10_000, route: 'r', promptTokens, promptParts: [], excluded: [], returnKey: undefined, ...fields,
	};
}

function endOf({daemon, incarnation, id}: AssignmentRequest, result: AssignmentResult, firstEventMs?: number): AssignmentEnd {
	return {
		daemon, incarnation, id, backend: 0, result, firstEventMs,
	};
}

function createLedger(backends: AssignableBackend[]): AssignmentLedger {
	const ledger = new AssignmentLedger();
	ledger.update(backends, 0);
	return ledger;
}

function assignedTo(decision: AssignmentDecision): number | undefined {
	return decision.kind === AssignmentKind.Assigned ? decision.backend : undefined;
}

const call = {
	promptTokens: 0, cost: 1, targetMs: 336, remainingMs: 4000,
};
const sharedPart = {id: 'shared', tokens: 5000};
const otherPart = (id: string) => ({id, tokens: 6000});

describe('AssignmentLedger', () => {
	it.each([
		{
			name: 'the engine whose backlog ends first', backends: [backend(1), backend(2)], before: [{promptTokens: 20_000}], next: {}, expected: 2,
		},
		{
			name: 'the faster of two idle engines', backends: [backend(1, {paceFactor: 1.7}), backend(2, {paceFactor: 0.7})], before: [], next: {}, expected: 2,
		},
		{
			name: 'a free slot at a slow backend server rather than the queue', backends: [backend(1, {isEngine: false, slots: 1}), backend(2, {isEngine: false, slots: 1, paceFactor: 2.5})], before: [call], next: call, expected: 2,
		},
		{
			name: 'the engine that holds the prefix, while its backlog is short', backends: [backend(1), backend(2)], before: [{promptTokens: 11_000, promptParts: [sharedPart, otherPart('x')]}], next: {promptTokens: 11_000, promptParts: [sharedPart, otherPart('y')], targetMs: 2000}, expected: 1, afterMs: 300,
		},
		{
			name: 'another engine than the one that holds the prefix, once its backlog exceeds what the prefix saves', backends: [backend(1), backend(2)], before: [{promptTokens: 11_000, promptParts: [sharedPart, otherPart('x')]}, {promptTokens: 11_000, promptParts: [sharedPart, otherPart('z')], excluded: [2]}], next: {promptTokens: 11_000, promptParts: [sharedPart, otherPart('y')], targetMs: 2000}, expected: 2, afterMs: 0,
		},
		{
			name: 'an engine that has evicted the prefix without counting it as cached', backends: [backend(1, {kvTokens: 12_000})], before: [{promptTokens: 11_000, promptParts: [sharedPart, otherPart('x')]}, {promptTokens: 6000, promptParts: [otherPart('w')]}], next: {promptTokens: 11_000, promptParts: [sharedPart, otherPart('y')]}, expected: 1, afterMs: 1000, cached: 0, hasEnded: true,
		},
		{
			name: 'an engine that does not run short of memory', backends: [backend(1, {kvTokens: 30_000, paceFactor: 0.1}), backend(2)], before: [{promptTokens: 20_000}], next: {promptTokens: 20_000}, expected: 2, afterMs: 1000,
		},
		{
			name: 'a warm backend server before a cold one', backends: [backend(1, {isCold: true}), backend(2)], before: [], next: {}, expected: 2,
		},
		{
			name: 'no backend server that the request excludes', backends: [backend(1), backend(2, {paceFactor: 3})], before: [], next: {excluded: [1]}, expected: 2,
		},
		{
			name: 'the one with fewer requests of others in flight', backends: [backend(1, {isEngine: false, slots: 6, inFlightElsewhere: 6}), backend(2, {isEngine: false, slots: 6})], before: [], next: call, expected: 2,
		},
	])('assigns $name', ({backends, before, next, expected, afterMs = 0, cached, hasEnded = false}) => {
		const ledger = createLedger(backends);
		for (const fields of before) {
			const earlier = request(fields);
			ledger.request(earlier, 0);
			if (hasEnded) {
				ledger.end(endOf(earlier, AssignmentResult.Completed), 0);
			}
		}

		const [decision] = ledger.request(request(next), afterMs);
		expect(assignedTo(decision)).toBe(expected);
		if (cached !== undefined && decision.kind === AssignmentKind.Assigned) {
			expect(decision.terms.cachedTokens).toBe(cached);
		}
	});

	it('sends no more calls to a plain service than it has slots, and assigns waiting ones as slots come free', () => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 2})]);
		const calls = Array.from({length: 3}, () => request(call));
		const kinds = calls.map(each => ledger.request(each, 0)[0].kind);
		expect(kinds).toEqual([AssignmentKind.Assigned, AssignmentKind.Assigned, AssignmentKind.Queued]);
		const decisions = ledger.end(endOf(calls[0], AssignmentResult.Completed, 60), 60);
		expect(decisions).toMatchObject([{id: calls[2].id, kind: AssignmentKind.Assigned, terms: {queuedMs: 60}}]);
	});

	it('keeps less urgent prompts in the queue while backlogs are long, and assigns an urgent one at once', () => {
		const ledger = createLedger([backend(1), backend(2)]);
		ledger.request(request({priority: 0}), 0);
		const digests = Array.from({length: 6}, () => request({priority: 2, promptTokens: 10_000, targetMs: 2000}));
		const kinds = digests.map(digest => ledger.request(digest, 1000)[0].kind);
		expect(kinds.filter(kind => kind === AssignmentKind.Queued).length).toBeGreaterThan(0);
		const [urgent] = ledger.request(request({priority: 0}), 1000);
		expect(urgent).toMatchObject({kind: AssignmentKind.Assigned});
		expect(urgent.kind === AssignmentKind.Assigned && urgent.terms.waitMs).toBeLessThan(300);
		const later = [1250, 1500, 1750, 2000].flatMap(nowMs => ledger.expire(nowMs));
		expect(later.map(({kind}) => kind)).toEqual(kinds.filter(kind => kind === AssignmentKind.Queued).map(() => AssignmentKind.Assigned));
	});

	it.each([
		{name: 'the most urgent', first: {priority: 2}, second: {priority: 0}},
		{name: 'one that can still meet its target', first: {targetMs: -100}, second: {}},
		{name: 'the account that has received less for its weight', first: {account: 'busy'}, second: {account: 'other'}},
		{name: 'one whose account has the larger weight', first: {account: 'busy'}, second: {account: 'busy large'}},
		{name: 'the one with the earlier target', first: {targetMs: 330}, second: {targetMs: 200}},
	])('assigns $name first of those that wait', ({first, second}) => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1})]);
		const running = request(call);
		ledger.request(running, 0);
		const served = [request({...call, account: 'busy'}), request({...call, account: 'busy'}), request({...call, account: 'busy large', accountWeight: 100})];
		const last = [request({...call, ...first}), request({...call, ...second})];
		const fill = request({
			...call, account: 'filler', priority: 9, remainingMs: 100_000,
		});
		for (const each of [fill, ...served]) {
			ledger.request(each, 0);
		}

		let current = running;
		for (const _ of served) {
			const [decision] = ledger.end(endOf(current, AssignmentResult.Completed, 1), 1);
			current = served.find(({id}) => id === decision.id)!;
		}

		for (const each of last) {
			ledger.request(each, 2);
		}

		const [decision] = ledger.end(endOf(current, AssignmentResult.Completed, 1), 3);
		expect(decision.id).toBe(last[1].id);
	});

	it('assigns one that came back after a refusal before later ones', () => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1})]);
		const running = request({...call});
		ledger.request(running, 0);
		expect(ledger.request(request({...call, remainingMs: 20, returnKey: 'k'}), 0)[0].kind).toBe(AssignmentKind.Refused);
		ledger.request(request({...call, targetMs: 300}), 10);
		const returned = request({...call, returnKey: 'k'});
		ledger.request(returned, 20);
		expect(ledger.end(endOf(running, AssignmentResult.Completed), 30)[0]).toMatchObject({id: returned.id, kind: AssignmentKind.Assigned});
	});

	it('refuses at once what cannot begin in time, and has refused clients come back one after the other', () => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 2})]);
		const decisions = Array.from({length: 200}, () => ledger.request(request({...call, remainingMs: 1000}), 0)[0]);
		const refused = decisions.filter(decision => decision.kind === AssignmentKind.Refused);
		const queued = decisions.filter(decision => decision.kind === AssignmentKind.Queued);
		expect(refused.length).toBeGreaterThan(100);
		expect(queued.every(({expectedMs}) => expectedMs <= 800)).toBe(true);
		const returns = refused.map(({retryAfterMs}) => retryAfterMs);
		expect(returns).toEqual(returns.toSorted((a, b) => a - b));
		// Two slots serve a call every 25 ms.
		expect(returns.at(-1)! - returns[0]).toBeGreaterThan((refused.length - 1) * 20);
	});

	it.each([
		{name: 'the daemon is gone', act: (ledger: AssignmentLedger) => ledger.drop('d', undefined, 50)},
		{name: 'the daemon has restarted', act: (ledger: AssignmentLedger) => ledger.drop('d', 'd#2', 50)},
		{name: 'the client of the running request has left', act: (ledger: AssignmentLedger, running: AssignmentRequest) => ledger.end(endOf(running, AssignmentResult.Failed), 50)},
		{name: 'the end of the running request was lost', act: (ledger: AssignmentLedger) => ledger.expire(3500)},
		{name: 'another backend server appears', act: (ledger: AssignmentLedger) => ledger.update([backend(1, {isEngine: false, slots: 1}), backend(2, {isEngine: false, slots: 1})], 50)},
	])('gives the room to a waiting request when $name', ({act}) => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1})]);
		const running = request({...call, remainingMs: 2000});
		ledger.request(running, 0);
		const waiting = request({
			...call, daemon: 'other', incarnation: 'other#1', remainingMs: 60_000,
		});
		ledger.request(waiting, 10);
		expect(act(ledger, running)).toMatchObject([{id: waiting.id, kind: AssignmentKind.Assigned}]);
	});

	it('forgets waiting requests of a daemon that is gone, and those whose clients have left', () => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1})]);
		const running = request({...call, daemon: 'other'});
		ledger.request(running, 0);
		ledger.request(request(call), 0);
		const left = request({...call, daemon: 'other'});
		ledger.request(left, 0);
		ledger.withdraw(left, 10);
		ledger.drop('d', undefined, 20);
		expect(ledger.queued).toBe(0);
		expect(ledger.end(endOf(running, AssignmentResult.Completed), 30)).toEqual([]);
	});

	it('drops what was assigned to a backend server that vanishes', () => {
		const ledger = createLedger([backend(1), backend(2)]);
		ledger.request(request({promptTokens: 50_000, excluded: [2]}), 0);
		ledger.update([backend(2)], 10);
		ledger.update([backend(1), backend(2, {paceFactor: 2})], 20);
		expect(assignedTo(ledger.request(request(), 30)[0])).toBe(1);
	});

	it('learns the reading rate of an engine from requests that met no wait', () => {
		const ledger = createLedger([backend(1), backend(2)]);
		for (let index = 0; index < 30; index++) {
			const long = request({promptTokens: 10_000, excluded: [2 - (index % 2)]});
			const [decision] = ledger.request(long, index * 1000);
			const rate = assignedTo(decision) === 1 ? 100 : 30;
			ledger.end(endOf(long, AssignmentResult.Completed, 60 + (10_000 / rate)), (index * 1000) + 900);
		}

		const {candidates} = ledger.explain(request({promptTokens: 10_000}), 40_000);
		const [fast, slow] = candidates.map(({terms}) => terms.predictedMs);
		expect(fast).toBeLessThan(250);
		expect(slow).toBeGreaterThan(300);
	});

	it('learns the reading rate of an engine that is never idle', () => {
		const ledger = createLedger([backend(1)]);
		const rate = 100;
		const running: Array<{prompt: AssignmentRequest; sentAtMs: number; prefilledAtMs: number}> = [];
		let prefilledAtMs = 0;
		for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
			const prompt = request({promptTokens: 10_000, cost: 1, remainingMs: 1_000_000});
			ledger.request(prompt, nowMs);
			prefilledAtMs = Math.max(nowMs, prefilledAtMs) + (10_000 / rate);
			running.push({prompt, sentAtMs: nowMs, prefilledAtMs});
			while (running[0]?.prefilledAtMs <= nowMs) {
				const {prompt: read, sentAtMs, prefilledAtMs: firstEventAtMs} = running.shift()!;
				ledger.end(endOf(read, AssignmentResult.Completed, 60 + firstEventAtMs - sentAtMs), nowMs);
			}
		}

		const [{terms}] = ledger.explain(request({promptTokens: 10_000}), 20_000).candidates;
		expect(terms.predictedMs).toBeGreaterThan(155);
		expect(terms.predictedMs).toBeLessThan(165);
	});

	it('scales the backlog of an engine whose pace changes', () => {
		const ledger = createLedger([backend(1)]);
		ledger.request(request({promptTokens: 10_000}), 0);
		ledger.update([backend(1, {paceFactor: 2.5})], 100);
		const [{terms}] = ledger.explain(request(), 100).candidates;
		// 200 ms of reading, of which 100 ms are left.
		expect(terms.waitMs).toBe(250);
	});

	it('shortens a backlog whose prompts were read sooner than predicted', () => {
		const ledger = createLedger([backend(1)]);
		const first = request({promptTokens: 20_000});
		ledger.request(first, 0);
		ledger.request(request({promptTokens: 5000}), 0);
		ledger.end(endOf(first, AssignmentResult.Completed, 210), 220);
		const [{terms}] = ledger.explain(request(), 220).candidates;
		expect(terms.waitMs).toBeLessThan(100);
	});

	it.each([
		{name: 'would be assigned at once', waitedMs: 0},
		{name: 'has waited', waitedMs: 180},
	])('refuses a request that cannot be served before its deadline, although there is room, if it $name', ({waitedMs}) => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1})]);
		const running = request(call);
		ledger.request(running, 0);
		const waiting = request({...call, remainingMs: 200});
		const queued = waitedMs > 0 ? ledger.request(waiting, 0) : [];
		const ended = ledger.end(endOf(running, AssignmentResult.Abandoned), waitedMs);
		const later = waitedMs > 0 ? ledger.expire(waitedMs) : ledger.request(request({...call, remainingMs: 50}), 0);
		const decisions = [...queued, ...ended, ...later];
		expect(decisions.at(-1)!.kind).toBe(AssignmentKind.Refused);
	});

	it('explains a decision without changing anything', () => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1}), backend(2, {isEngine: false, slots: 1})]);
		ledger.request(request(call), 0);
		const before = JSON.stringify(ledger.toJson(10));
		const {decision, candidates} = ledger.explain(request(call), 10);
		expect(JSON.stringify(ledger.toJson(10))).toBe(before);
		expect(decision.kind).toBe(AssignmentKind.Assigned);
		expect(candidates.map(({excludedReason}) => excludedReason)).toEqual(['no slot', undefined]);
	});

	it('goes by the latency target of a route, however little of it is left to one of its requests', () => {
		const ledger = createLedger([backend(1)]);
		ledger.request(request({priority: 0, latencyTargetMs: 500, targetMs: 2}), 0);
		ledger.request(request({priority: 0, latencyTargetMs: 500, targetMs: 500}), 10);
		// The backlog of the two is shorter than a quarter of 500 ms, and longer than one of 2 ms.
		expect(ledger.request(request({priority: 2, targetMs: 2000}), 20)[0].kind).toBe(AssignmentKind.Assigned);
	});

	it.each([
		{name: 'assigned', before: 0},
		{name: 'waiting', before: 1},
	])('gives a request that arrives twice the decision that it has, when it is $name', ({before}) => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1})]);
		for (let index = 0; index < before; index++) {
			ledger.request(request(call), 0);
		}

		const twice = request(call);
		const [first] = ledger.request(twice, 0);
		expect(ledger.request(twice, 1)).toEqual([first]);
		expect(ledger.queued).toBe(before);
		expect(ledger.assigned(1)).toBe(1);
	});

	it('lets an account without a limit receive as much as the one with the largest', () => {
		const ledger = createLedger([backend(1, {isEngine: false, slots: 1})]);
		let running = request({...call, account: 'first'});
		ledger.request(running, 0);
		const waiting = Array.from({length: 20}, (_, index) => index % 2 === 0 ? request({...call, account: 'limited', accountWeight: 5000}) : request({...call, account: 'unlimited', accountWeight: undefined}));
		for (const each of waiting) {
			ledger.request(each, 0);
		}

		const order: Array<string | undefined> = [];
		for (let index = 0; index < 12; index++) {
			const [decision] = ledger.end(endOf(running, AssignmentResult.Completed), index);
			running = waiting.find(({id}) => id === decision.id)!;
			order.push(running.account);
		}

		expect(Math.abs(order.filter(account => account === 'unlimited').length - 6)).toBeLessThanOrEqual(1);
	});
});
