import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../../clock.js';
import {
	type Backend, BackendState, RequestKind, type Route,
} from '../../../protocol/serving.js';
import {BackendTable} from '../../../state/backend-table.js';
import {FleetTable} from '../../fleet/fleet-table.js';
import {Placement} from '../../placement.js';
import {Quarantine} from '../../quarantine/quarantine.js';
import {RepeatPurpose, RetryAllowance} from '../../retry-allowance.js';
import {StatedLimits} from '../../stated-limits.js';
import {BackendChoice} from '../backend-choice.js';
import {ServedRequest} from '../served-request.js';
import {Successors} from '../successors.js';

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: RequestKind.Idempotent, timeoutMs: 1000, latencyTargetMs: 100, priority: 0, attempts: 2, isPublic: true, isResumable: false, targets: [],
};
const backend = (id: string): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', host: '10.0.0.1', port: 1, failureDomain: 'fd-a', slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});
const createRequest = () => new ServedRequest({
	request: {
		id: 'q', host: 'h', path: '/', method: 'GET', apiKey: undefined, deadlineMs: 1000, promptTokens: undefined, maxOutputTokens: undefined, expectedOutputTokens: undefined, promptParts: [], lastEventId: undefined, forwardedHeaders: [],
	},
	route,
	service: 's',
	account: undefined,
	body: new Uint8Array(),
	response: undefined as never,
	signal: new AbortController().signal,
	arrivedAtMs: 0,
	configVersion: 1,
});

/** Two backend servers, of which `limited` stated its limit `statedMsAgo`. */
function createChoice(isSender: boolean, statedMsAgo: number): {choice: BackendChoice; limits: StatedLimits; successors: Successors} {
	const nowMs = 100_000;
	const backends = new BackendTable({drainMs: 2000});
	backends.upsert(backend('limited'), 0);
	backends.upsert(backend('free'), 0);
	const limits = new StatedLimits(() => ({isSender, senders: 1}));
	limits.noteStated('limited', 1, nowMs - statedMsAgo);
	const clock = new SteadyClock({monotonicMs: () => nowMs, wallMs: () => nowMs, uptimeMs: () => nowMs});
	const placement = new Placement('fd-a');
	// The free one costs more, so that it is chosen only where the other may not be.
	placement.begin('free', 0, [], nowMs);
	const fleet = new FleetTable({name: 'd', failureDomain: 'fd-a', startedAtMs: 0});
	const quarantine = new Quarantine(() => false);
	const choice = new BackendChoice({
		backends, placement, fleet, quarantine, statedLimits: limits, clock,
	});
	const allowance = new RetryAllowance({ratio: 0, windowMs: 10_000, slack: 100});
	const successors = new Successors({
		choice, allowance, fleet, quarantine, clock,
	});
	return {choice, limits, successors};
}

describe('BackendChoice', () => {
	it.each([
		{
			name: 'the limited one while its limit leaves room', isSender: true, statedMsAgo: 500, excluded: [], expected: 'limited',
		},
		{
			name: 'another one where others send to the limited one', isSender: false, statedMsAgo: 500, excluded: [], expected: 'free',
		},
		{
			name: 'another one after the one that is due has failed the request', isSender: true, statedMsAgo: 5000, excluded: ['limited'], expected: 'free',
		},
		{
			name: 'none where only a limited one is left that others send to', isSender: false, statedMsAgo: 500, excluded: ['free'], expected: undefined,
		},
	])('takes $name', ({isSender, statedMsAgo, excluded, expected}) => {
		const {choice} = createChoice(isSender, statedMsAgo);
		const served = createRequest();
		for (const id of excluded) {
			served.excluded.add(id);
		}

		expect(choice.choose(served)?.backend.id).toBe(expected);
	});

	it('passes over one that was chosen earlier and has reached its limit since', () => {
		const {choice, limits} = createChoice(true, 500);
		const served = createRequest();
		expect(choice.isUsable(served, backend('limited'), false)).toBe(true);
		limits.noteSent('limited', 100_000);
		expect(choice.isUsable(served, backend('limited'), false)).toBe(false);
		expect(choice.isUsable(served, backend('limited'), true)).toBe(true);
	});
});

describe('Successors', () => {
	it('of streams that leave an engine together pass no limit, though none is sent yet', () => {
		const {successors} = createChoice(true, 500);
		const held = Array.from({length: 20}, () => {
			const served = createRequest();
			expect(successors.hold(served, 'elsewhere', RepeatPurpose.Move, 0)).toBe(true);
			return successors.heldBackend(served)!.id;
		});
		expect(held.filter(id => id === 'limited')).toHaveLength(1);
	});
});
