/** Guards against more requests at a backend server than it has slots, whatever happens to the messages about them. */
import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {FleetMessageKind, type SlotClaim, type SlotDecision} from '../../../protocol/fleet-messages.js';
import {backendKey} from '../../fleet/backend-key.js';
import {SlotEnd, type SlotLease, SlotLeases} from '../slot-leases.js';
import {SlotLedger, takeoverMs} from '../slot-ledger.js';

const backend = {id: 'i-1', service: 's', slots: 6};
const key = backendKey(backend.id);
const roundMs = 250;
const alwaysBinding = {tolerance: () => 3, isBinding: () => true};
const claim = (fields: Partial<SlotClaim>): SlotClaim => ({
	kind: FleetMessageKind.SlotClaim,
	sender: {
		name: 'a', incarnation: 'a1', failureDomain: 'fd', address: {host: 'a', port: 1}, uptimeMs: 0, isStopping: false, cutOffServices: undefined,
	},
	backend: key, slots: backend.slots, sequence: 1, running: 0, lingeringMs: [], untilMs: 1000, pending: [], refusals: 0, load: undefined, ...fields,
});

/** Returns a ledger that has coordinated for long enough at 1000 ms. */
function createLedger(): SlotLedger {
	const ledger = new SlotLedger();
	for (let nowMs = 0; nowMs <= 1000; nowMs += roundMs) {
		ledger.update([key], nowMs);
	}

	return ledger;
}

describe('SlotLedger', () => {
	it.each([
		{name: 'as many as there are slots', claims: [claim({pending: [1, 2, 3, 4, 5, 6, 7, 8]})], granted: 6},
		{name: 'those that others do not use', claims: [claim({sender: {...claim({}).sender, name: 'b'}, running: 4}), claim({pending: [1, 2, 3]})], granted: 2},
		{name: 'none that a request given up a moment ago may occupy', claims: [claim({sender: {...claim({}).sender, name: 'b'}, lingeringMs: [300, 300, 300, 300, 300]}), claim({pending: [1, 2]})], granted: 1},
		{
			name: 'those of a silent daemon whose requests must have ended', claims: [claim({sender: {...claim({}).sender, name: 'b'}, running: 6, untilMs: 0}), claim({pending: [1, 2]})], granted: 2, waitMs: 300,
		},
		{name: 'none that an earlier start of a daemon may occupy', claims: [claim({running: 6, untilMs: 9000}), claim({sender: {...claim({}).sender, incarnation: 'a2'}, pending: [1]})], granted: 0},
		{name: 'none on an older claim than the last one', claims: [claim({sequence: 5, running: 6}), claim({sequence: 4, pending: [1]})], granted: 0},
		{name: 'none after a refusal', claims: [claim({sequence: 1}), claim({sequence: 2, refusals: 1, pending: [1]})], granted: 0},
	])('leases $name', ({claims, granted, waitMs = 0}) => {
		const ledger = createLedger();
		expect(claims.map((message, index) => ledger.receive(message, true, 1000 + (index * waitMs))).at(-1)!.granted).toHaveLength(granted);
	});

	it.each([
		{name: 'a daemon that is not the coordinator', isCoordinator: false, pauseMs: 0},
		{name: 'a coordinator that stood still', isCoordinator: true, pauseMs: 1000},
	])('leases nothing at $name', ({isCoordinator, pauseMs}) => {
		const ledger = createLedger();
		expect(ledger.receive(claim({pending: [1]}), isCoordinator, 1000 + pauseMs)).toMatchObject({granted: [], denied: [1]});
		ledger.update([key], 1000 + pauseMs);
		for (let nowMs = 1000 + pauseMs; nowMs <= 1000 + pauseMs + takeoverMs; nowMs += roundMs) {
			ledger.update([key], nowMs);
		}

		expect(ledger.receive(claim({sequence: 2, pending: [2]}), true, 1000 + pauseMs + takeoverMs)).toMatchObject({granted: [2], denied: []});
	});

	it.each([1, 2, 3, 4, 5])('never leases more than there are while messages are lost, late and out of order, seed %i', seed => {
		const generator = xoroshiro128plus(seed);
		const random = () => uniformFloat64(generator);
		const ledger = createLedger();
		const time = {nowMs: 1000};
		let transit: Array<{atMs: number; deliver: () => void}> = [];
		const send = (deliver: () => void) => {
			if (random() > 0.2) {
				transit.push({atMs: time.nowMs + 1 + Math.floor(random() * 60), deliver});
			}
		};

		const daemons = Array.from({length: 5}, (_, index) => {
			const sender = {...claim({}).sender, name: `d${index}`, incarnation: `d${index}`};
			const held: SlotLease[] = [];
			const report = (own: Omit<SlotClaim, 'kind' | 'sender'>) => {
				send(() => {
					const decision: Omit<SlotDecision, 'kind' | 'sender'> = {backend: key, ...ledger.receive(claim({...own, sender}), true, time.nowMs)};
					send(() => {
						leases.applyDecision(decision, time.nowMs);
					});
				});
			};

			const leases: SlotLeases = new SlotLeases(alwaysBinding, report, random);
			return {held, leases, report};
		});
		let most = 0;
		for (; time.nowMs < 21_000; time.nowMs++) {
			const {nowMs} = time;
			const due = transit.filter(({atMs}) => atMs <= nowMs);
			transit = transit.filter(({atMs}) => atMs > nowMs);
			for (const {deliver} of due) {
				deliver();
			}

			if (nowMs % roundMs === 0) {
				ledger.update([key], nowMs);
			}

			for (const {held, leases, report} of daemons) {
				leases.expire(nowMs);
				for (const own of nowMs % roundMs === 0 ? leases.createRoundClaims(nowMs) : []) {
					report(own);
				}

				if (random() < 0.02) {
					leases.request(backend, 30_000, nowMs, lease => {
						held.push(...(lease ? [lease] : []));
					});
				}

				if (random() < 0.02) {
					held.shift()?.end(SlotEnd.Free, nowMs);
				}
			}

			let total = 0;
			for (const {held} of daemons) {
				total += held.length;
			}

			most = Math.max(most, total);
		}

		expect(most).toBe(backend.slots);
	});
});
