/**
 * Guards against sending more to a backend server than the rate limit that it states, above all
 * when many streams select their next engines at once, before any request has been sent.
 */
import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../../clock.js';
import {
	type Backend, BackendState, RequestKind, type Route,
} from '../../../protocol/serving.js';
import {BackendTable} from '../../../state/backend-table.js';
import {Cooldowns} from '../../cooldowns.js';
import {FleetTable} from '../../fleet/fleet-table.js';
import {OverloadTolerances} from '../../overload-tolerances.js';
import {SlotExchange} from '../../slots/slot-exchange.js';
import {Placement} from '../../placement.js';
import {Quarantine} from '../../quarantine/quarantine.js';
import {RetryPurpose, LocalRetryBudget} from '../../retry-budget.js';
import {Rollouts} from '../../rollout/rollouts.js';
import {StatedLimits} from '../../stated-limits.js';
import {BackendSelector} from '../backend-selector.js';
import {ServedRequest} from '../served-request.js';
import {RetryReservations} from '../retry-reservations.js';
import {noEvidence} from '../../rollout/__fixtures__/no-evidence.js';

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: RequestKind.Idempotent, timeoutMs: 1000, latencyTargetMs: 100, priority: 0, attempts: 2, isPublic: true, isResumable: false, targets: [],
};
const backend = (id: string): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', version: 'v1', host: '10.0.0.1', port: 1, failureDomain: 'fd-a', slots: 8, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
});
const createRequest = () => new ServedRequest({
	request: {
		id: 'q', host: 'h', path: '/', method: 'GET', apiKey: undefined, deadlineMs: 1000, promptTokens: undefined, maxOutputTokens: undefined, expectedOutputTokens: undefined, promptParts: [], lastEventId: undefined, resumedRequestId: undefined, forwardedHeaders: [],
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

/** Engines whose answers to orders to hold room the test gives. */
class HoldingEngines {
	readonly dropped: string[] = [];
	private answer: ((hold: string | undefined) => void) | undefined;

	async takeHold(): Promise<string | undefined> {
		return new Promise(resolve => {
			this.answer = resolve;
		});
	}

	async dropHold(_engine: Backend, hold: string): Promise<void> {
		this.dropped.push(hold);
	}

	answerHold(hold: string | undefined): void {
		this.answer?.(hold);
	}
}

/** Creates a selector over two backend servers, of which `limited` stated its rate limit `statedMsAgo`. */
function createSelector(isSender: boolean, statedMsAgo: number): {selector: BackendSelector; limits: StatedLimits; cooldowns: Cooldowns; reservations: RetryReservations; engines: HoldingEngines} {
	const nowMs = 100_000;
	const backends = new BackendTable({drainMs: 2000});
	backends.upsert(backend('limited'), 0);
	backends.upsert(backend('free'), 0);
	const limits = new StatedLimits(() => ({isSender, share: 1}));
	limits.noteStated('limited', 1, nowMs - statedMsAgo);
	const cooldowns = new Cooldowns();
	const clock = new SteadyClock({monotonicMs: () => nowMs, wallMs: () => nowMs, uptimeMs: () => nowMs});
	const placement = new Placement('fd-a');
	// The free one is more loaded, so it is selected only when the limited one is not allowed.
	placement.begin('free', 0, [], nowMs);
	const fleet = new FleetTable({name: 'd', failureDomain: 'fd-a', startedAtMs: 0});
	const quarantine = new Quarantine(() => false);
	const slots = new SlotExchange({
		tolerances: new OverloadTolerances(),
		fleet,
		clock,
		name: 'd',
		createSender() {
			throw new Error('no message is sent');
		},
		random: () => 0,
	});
	const selector = new BackendSelector({
		backends, placement, fleet, quarantine, statedLimits: limits, cooldowns, slots, rollouts: new Rollouts({canaryShare: 0.1}, () => 0, noEvidence), clock,
	});
	const retryBudget = new LocalRetryBudget({ratio: 0, windowMs: 10_000, slack: 100});
	const engines = new HoldingEngines();
	const reservations = new RetryReservations({
		selector, retryBudget, quarantine, slots, engines, routes: {service: name => ({name, engine: {canMove: false, tokensPerEvent: 1, holdMs: 2000}, scaling: undefined})}, clock, signal: new AbortController().signal,
	});
	return {
		selector, limits, cooldowns, reservations, engines,
	};
}

describe('BackendSelector', () => {
	it.each([
		{
			name: 'the rate-limited one while its limit allows a request', isSender: true, statedMsAgo: 500, excluded: [], expected: 'limited',
		},
		{
			name: 'an unlimited one when other daemons send to the rate-limited one', isSender: false, statedMsAgo: 500, excluded: [], expected: 'free',
		},
		{
			name: 'an unlimited one after the one whose limit needs confirming has failed the request', isSender: true, statedMsAgo: 5000, excluded: ['limited'], expected: 'free',
		},
		{
			name: 'none when only a rate-limited one is left and other daemons send to it', isSender: false, statedMsAgo: 500, excluded: ['free'], expected: undefined,
		},
	])('selects $name', ({isSender, statedMsAgo, excluded, expected}) => {
		const {selector} = createSelector(isSender, statedMsAgo);
		const served = createRequest();
		for (const id of excluded) {
			served.excluded.add(id);
		}

		expect(selector.select(served)?.backend.id).toBe(expected);
	});

	it('rejects a backend server that has reached its rate limit since it was selected, unless the request is already charged', () => {
		const {selector, limits} = createSelector(true, 500);
		const served = createRequest();
		expect(selector.isUsable(served, backend('limited'), false)).toBe(true);
		limits.noteSent('limited', 100_000);
		expect(selector.isUsable(served, backend('limited'), false)).toBe(false);
		expect(selector.isUsable(served, backend('limited'), true)).toBe(true);
	});
});

describe('BackendSelector with backend servers that cool down', () => {
	const nowMs = 100_000;

	it.each<{name: string; cooling: Record<string, number>; excluded: string[]; expected: string | undefined; waitMs: number | undefined}>([
		{
			name: 'selects another one', cooling: {free: 500}, excluded: [], expected: 'limited', waitMs: 500,
		},
		{
			name: 'selects none when all of them cool down', cooling: {free: 500, limited: 300}, excluded: [], expected: undefined, waitMs: 300,
		},
		{
			name: 'selects none when the others have failed the request', cooling: {free: 500}, excluded: ['limited'], expected: undefined, waitMs: 500,
		},
		{
			name: 'ignores a cooldown that is over', cooling: {free: 0}, excluded: ['limited'], expected: 'free', waitMs: undefined,
		},
	])('$name', ({cooling, excluded, expected, waitMs}) => {
		const {selector, limits, cooldowns} = createSelector(true, 500);
		limits.noteStated('limited', undefined, nowMs);
		const served = createRequest();
		for (const [id, delayMs] of Object.entries(cooling)) {
			cooldowns.note(backend(id), delayMs, nowMs, nowMs);
		}

		for (const id of excluded) {
			served.excluded.add(id);
		}

		expect(selector.select(served)?.backend.id).toBe(expected);
		expect(selector.waitMs(served, nowMs)).toBe(waitMs);
		expect(selector.isUsable(served, backend('free'), false)).toBe(cooling.free === 0);
	});
});

describe('RetryReservations', () => {
	it('replaces a reserved backend server that has begun to cool down', () => {
		const {reservations, limits, cooldowns} = createSelector(true, 500);
		limits.noteStated('limited', undefined, 100_000);
		const served = createRequest();
		expect(reservations.reserve(served, 'elsewhere', RetryPurpose.Retry, 0)).toBe(true);
		expect(reservations.reservedBackend(served)?.id).toBe('limited');
		cooldowns.note(backend('limited'), 1000, 100_000, 100_000);
		expect(reservations.isReservationUsable(served)).toBe(false);
		expect(reservations.reservedBackend(served)?.id).toBe('free');
	});

	// A hold that nothing uses would keep others from the engine's room.
	it.each([
		{
			name: 'keeps a hold for the attempt that follows', answered: 'hold-1', change: 'none', isHeld: true, dropped: [],
		},
		{
			name: 'has none when the engine refuses', answered: undefined, change: 'none', isHeld: false, dropped: [],
		},
		{
			name: 'drops one that is granted after the reservation was released', answered: 'hold-1', change: 'released before', isHeld: false, dropped: ['hold-1'],
		},
		{
			name: 'drops one when the reservation is released', answered: 'hold-1', change: 'released after', isHeld: true, dropped: ['hold-1'],
		},
		{
			name: 'drops one when the engine can no longer be used', answered: 'hold-1', change: 'cools down', isHeld: true, dropped: ['hold-1'],
		},
	])('$name', async ({answered, change, isHeld, dropped}) => {
		const {reservations, engines, limits, cooldowns} = createSelector(true, 500);
		limits.noteStated('limited', undefined, 100_000);
		const served = createRequest();
		reservations.reserve(served, 'elsewhere', RetryPurpose.Move, 0);
		const held = reservations.acquireHold(served);
		if (change === 'released before') {
			reservations.release(served);
		}

		engines.answerHold(answered);
		expect(await held).toBe(isHeld);
		if (change === 'released after') {
			reservations.release(served);
		} else if (change === 'cools down') {
			cooldowns.note(backend('limited'), 1000, 100_000, 100_000);
			expect(reservations.reservedBackend(served)?.id).toBe('free');
		}

		expect(engines.dropped).toEqual(dropped);
		expect(served.reservation?.hold).toBe(dropped.length === 0 ? answered : undefined);
	});

	it('reserves no more than its rate limit on a backend server for streams that leave an engine together', () => {
		const {reservations} = createSelector(true, 500);
		const reservedIds = Array.from({length: 20}, () => {
			const served = createRequest();
			expect(reservations.reserve(served, 'elsewhere', RetryPurpose.Move, 0)).toBe(true);
			return reservations.reservedBackend(served)!.id;
		});
		expect(reservedIds.filter(id => id === 'limited')).toHaveLength(1);
	});
});
