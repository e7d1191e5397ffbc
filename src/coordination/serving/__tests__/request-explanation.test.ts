import {describe, expect, it} from 'vitest';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {AssignmentKind} from '../../../protocol/assignment.js';
import {
	type Account, type Backend, BackendState, RequestKind, type Route,
} from '../../../protocol/serving.js';
import {AssignmentLedger} from '../../assignment/assignment-ledger.js';
import {Placement} from '../../placement.js';
import {
	ExplainedOutcome, type ExplanationQuery, readExplanationQuery, RequestExplainer, type RequestExplainerParts,
} from '../request-explanation.js';

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/a/', kind: RequestKind.Idempotent, timeoutMs: 4000, latencyTargetMs: 300, priority: 0, attempts: 2, isPublic: false, isResumable: false, targets: [{service: 's', weight: 1}],
};
const account: Account = {
	name: 'acme', apiKeys: ['secret-key'], priority: undefined, ratePerSecond: 100, burst: 100, countsTokens: false, defaultTokenCost: 1,
};
const query: ExplanationQuery = {
	host: 'h', path: '/a/x', account: 'acme', promptTokens: undefined, maxOutputTokens: undefined, promptParts: [],
};
const usable = {
	backend: 'b-1', failureDomain: 'fd-a', costMs: 5, waitMs: 0, cachedTokens: 0, inFlight: 1, excludedReason: undefined,
};
const group = {group: 's', coordinator: {name: 'd-2', host: '10.0.0.2'}, statedWaitMs: 0};
const id = {daemon: 'd', incarnation: 'd#1', id: 0};
const terms = {
	predictedMs: 50, waitMs: 0, queuedMs: 0, cachedTokens: 0, inFlight: 0, paceFactor: 1,
};

function createExplainer({isActive = false, groups = [], backends = [usable], admittedShare = 1}: {isActive?: boolean; groups?: ReturnType<RequestExplainerParts['exchange']['explain']>; backends?: Array<Omit<typeof usable, 'excludedReason'> & {excludedReason: string | undefined}>; admittedShare?: number}): RequestExplainer {
	return new RequestExplainer({
		routes: {
			current: undefined, version: 7, requiresApiKeys: true, match: host => host === 'h' ? route : undefined, accountNamed: name => name === 'acme' ? account : undefined,
		},
		configView: {ageMs: () => 12.4},
		quota: {admittedShare: () => admittedShare},
		quotaPeers: () => ({
			daemons: 1, silentDaemons: 0, reportDelayMs: 0, reportIntervalMs: 0, unreportedDaemons: 0, isIsolated: false,
		}),
		exchange: {isActive: () => isActive, explain: () => groups},
		selector: {explain: () => backends},
	});
}

describe('RequestExplainer', () => {
	it.each([
		{
			name: 'a host without routes', parts: {}, asked: {host: 'other'}, expected: {outcome: ExplainedOutcome.Rejected, reason: 'configuration not known yet'},
		},
		{
			name: 'a route that needs an account', parts: {}, asked: {account: undefined}, expected: {outcome: ExplainedOutcome.Rejected, reason: 'the route needs an account'},
		},
		{
			name: 'an unknown account', parts: {}, asked: {account: 'other'}, expected: {outcome: ExplainedOutcome.Rejected, reason: 'unknown account'},
		},
		{
			name: 'an account over its limit', parts: {admittedShare: 0}, asked: {}, expected: {outcome: ExplainedOutcome.Refused, reason: 'over the limit of acme'},
		},
		{
			name: 'a request that the daemon places by itself', parts: {}, asked: {}, expected: {outcome: ExplainedOutcome.Sent, backends: [usable]},
		},
		{
			name: 'a request that no backend server may receive', parts: {backends: [{...usable, excludedReason: 'cools down'}]}, asked: {}, expected: {outcome: ExplainedOutcome.Refused, reason: 'no backend server may receive it'},
		},
		{
			name: 'a request that the coordinator assigns', parts: {
				isActive: true, groups: [{
					...group, explanation: {
						decision: {
							...id, kind: AssignmentKind.Assigned as const, backend: 1, copyFrom: undefined, terms,
						}, candidates: [], queued: 0,
					},
				}],
			}, asked: {}, expected: {outcome: ExplainedOutcome.Sent},
		},
		{
			name: 'a request that waits', parts: {isActive: true, groups: [{...group, explanation: {decision: {...id, kind: AssignmentKind.Queued as const, expectedMs: 80}, candidates: [], queued: 2}}]}, asked: {}, expected: {outcome: ExplainedOutcome.Queued},
		},
		{
			name: 'a request that the coordinator refuses', parts: {
				isActive: true, groups: [{
					...group, explanation: {
						decision: {
							...id, kind: AssignmentKind.Refused as const, retryAfterMs: 250, reason: 'would wait 9000 ms',
						}, candidates: [], queued: 9,
					},
				}],
			}, asked: {}, expected: {outcome: ExplainedOutcome.Refused, retryAfterMs: 250},
		},
		{
			name: 'a request whose coordinator is another daemon', parts: {isActive: true, groups: [{...group, explanation: undefined}]}, asked: {}, expected: {outcome: ExplainedOutcome.DecidedElsewhere, reason: 'd-2 coordinates s'},
		},
	])('explains $name', ({parts, asked, expected}) => {
		const explanation = createExplainer(parts).explain({...query, ...asked}, 0);
		expect(explanation).toMatchObject({configVersion: 7, viewAgeMs: 12, ...expected});
		expect(JSON.stringify(explanation)).not.toContain('secret-key');
	});
});

describe('readExplanationQuery', () => {
	it('reads the parameters of a URL', () => {
		expect(readExplanationQuery(new URLSearchParams('host=h&path=/a/x&account=acme&tokens=12,5&parts=p1:10,p2:2'))).toEqual({
			host: 'h', path: '/a/x', account: 'acme', promptTokens: 12, maxOutputTokens: 5, promptParts: [{id: 'p1', tokens: 10}, {id: 'p2', tokens: 2}],
		});
	});

	it.each(['path=/a', 'host=h', 'host=h&path=a', 'host=h&path=/a&tokens=x', 'host=h&path=/a&tokens=-1', 'host=h&path=/a&parts=p', 'host=h&path=/a&parts=:5', 'host=h&path=/a&parts=p:1:2'])('rejects %s', text => {
		expect(() => readExplanationQuery(new URLSearchParams(text))).toThrow(RangeError);
	});
});

describe('an explanation', () => {
	const backends: Backend[] = Array.from({length: 8}, (_, index) => ({
		id: `b-${index}`, name: `b-${index}`, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: index % 2 === 0 ? 'fd-a' : 'fd-b', slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	}));

	it('names the backend server that the placement then chooses, in 200 states', () => {
		const generator = xoroshiro128plus(1);
		const random = () => uniformFloat64(generator);
		const placement = new Placement('fd-a');
		for (let step = 0; step < 200; step++) {
			const nowMs = step * 50;
			const promptParts = [{id: `p${Math.floor(random() * 5)}`, tokens: 4000}, {id: `own${step}`, tokens: 100}];
			const inputs = {
				candidates: backends, promptTokens: 4100, promptParts, peersInFlight: () => 0, nowMs,
			};
			const [first] = placement.estimateAll(inputs).toSorted((a, b) => a.costMs - b.costMs);
			const choice = placement.choose({
				...inputs, excluded: new Set(), isSuspect: false, random,
			})!;
			expect(choice.costMs).toBe(first.costMs);
			const running = placement.begin(choice.backend.id, 4100, promptParts, nowMs);
			if (random() < 0.8) {
				running.end();
			}
		}
	});

	it('tells what the coordinator then decides, in 200 states', () => {
		const generator = xoroshiro128plus(2);
		const random = () => uniformFloat64(generator);
		const ledger = new AssignmentLedger();
		ledger.update(backends.slice(0, 3).map((_, key) => ({
			key, slots: 4, kvTokens: undefined, paceFactor: 1 + key, inFlightElsewhere: 0, isEngine: false, isCold: false,
		})), 0);
		for (let step = 0; step < 200; step++) {
			const request = {
				daemon: 'd', incarnation: 'd#1', id: step, account: `a${step % 3}`, accountWeight: 1, priority: Math.floor(random() * 3), cost: 1, latencyTargetMs: 300, targetMs: 300, remainingMs: 100 + (random() * 900), route: 'r', promptTokens: 0, promptParts: [], excluded: [], returnKey: undefined,
			};
			const explained = ledger.explain(request, step * 5).decision;
			expect(ledger.request(request, step * 5)).toEqual([explained]);
		}
	});
});
