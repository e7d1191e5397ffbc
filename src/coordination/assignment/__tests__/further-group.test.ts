/** Guards against a request that is refused although a further group of engines has assigned one, and against the place there that nobody gives back. */
import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../../clock.js';
import {AssignmentResult} from '../../../protocol/assignment.js';
import {type Backend, BackendState} from '../../../protocol/serving.js';
import {type FleetTable} from '../../fleet/fleet-table.js';
import {BackendPaces} from '../../paces/backend-paces.js';
import {AssignmentExchange, type AssignmentQuery} from '../assignment-exchange.js';
import {isInGroup} from '../assignment-groups.js';

const query: AssignmentQuery = {
	service: 's', account: undefined, accountWeight: undefined, priority: 0, cost: 800, latencyTargetMs: 500, targetMs: 500, remainingMs: 1000, route: 'r', promptTokens: 800, promptParts: [], excluded: new Set(), returnKey: undefined,
};

/** Creates the exchange of the only daemon of a fleet, with one engine in each of two failure domains. */
function createExchange(inFlight: Record<string, number | undefined>): AssignmentExchange {
	let nowMs = 0;
	const clock = new SteadyClock({monotonicMs: () => nowMs, wallMs: () => nowMs, uptimeMs: () => nowMs});
	const address = {host: '10.0.0.1', port: 1};
	const engines: Backend[] = ['fd-a', 'fd-b'].map(failureDomain => ({
		id: `e-${failureDomain}`, name: `e-${failureDomain}`, startedAtMs: 1, service: 's', version: 'v1', host: '10.0.0.9', port: 1, failureDomain, slots: 24, state: BackendState.Ready, isReclaimable: false, leavesInMs: undefined, coldForMs: 0,
	}));
	const fleet = {
		actingDaemons: () => [{name: 'd', address}], isMajorityResponsive: () => true, isGone: () => false, noteAskedByName: () => undefined, noteAnswered: () => undefined,
	} as unknown as FleetTable;
	const exchange = new AssignmentExchange({
		activation: {isActive: () => true},
		services: () => ['s'],
		backends: group => engines.filter(engine => isInGroup(group, engine)),
		inFlight: ({failureDomain}) => inFlight[failureDomain] ?? 0,
		engine: () => ({}),
		paces: new BackendPaces(),
		fleet,
		clock,
		name: 'd',
		incarnation: 'd#1',
		failureDomain: 'fd-a',
		createSender: () => ({
			name: 'd', incarnation: 'd#1', failureDomain: 'fd-a', address, uptimeMs: nowMs, isStopping: false,
		}),
	});
	for (; nowMs < 1000; nowMs += 250) {
		exchange.sendRound(nowMs);
	}

	return exchange;
}

describe('AssignmentExchange with several groups', () => {
	it.each([
		{name: 'the first group has room', inFlight: {}, expected: 's/fd-a'},
		{name: 'the first group refuses and a further one has room', inFlight: {'fd-a': 1000}, expected: 's/fd-b'},
		{name: 'both groups refuse', inFlight: {'fd-a': 1000, 'fd-b': 1000}, expected: 'refused'},
	])('when $name, the outcome is $expected, and no place stays taken after the end', async ({inFlight, expected}) => {
		const exchange = createExchange(inFlight);
		const outcome = await exchange.assign(query, new AbortController().signal);
		expect(outcome.kind === 'assigned' ? outcome.assignment.group : outcome.kind).toBe(expected);
		if (outcome.kind === 'assigned') {
			outcome.assignment.end(AssignmentResult.Completed, 60);
		}

		expect(JSON.stringify(exchange.toJson(1000))).not.toContain('"assigned":1');
	});
});
