import {describe, expect, it} from 'vitest';
import {type Instant} from '../../clock.js';
import {type LeaseRecord, LeaseRecordKind} from '../../protocol/lease-records.js';
import {LeaseTable} from '../../state/lease-table.js';
import {PlatformLog} from '../../state/platform-log.js';
import {ControllerLease} from '../controller-lease.js';

const leaseMs = 1000;
const at = (ms: number): Instant => ({monotonicMs: ms, wallMs: ms});

/** Two gateways that share an in-memory log; the test decides when each reads and writes. */
class GatewayPair {
	readonly log: LeaseRecord[] = [];
	readonly gateways = ['a', 'b'].map(holder => new ControllerLease({
		platformLog: new PlatformLog('http://unused', holder), table: new LeaseTable(), holder, leaseMs,
	}, at(0)));

	private readonly nextOffsets = [0, 0];

	/** Reads to the end of the log, writes the gateway's next record if there is one, and reads again. */
	step(index: number, now: Instant): void {
		this.catchUp(index, now);
		this.write(index, now);
		this.catchUp(index, now);
	}

	write(index: number, now: Instant): void {
		const record = this.gateways[index].nextRecord(now);
		if (record) {
			this.gateways[index].noteSent(record, now);
			this.log.push(record);
		}
	}

	catchUp(index: number, now: Instant): void {
		for (; this.nextOffsets[index] < this.log.length; this.nextOffsets[index]++) {
			this.gateways[index].apply(this.nextOffsets[index], this.log[this.nextOffsets[index]], now);
		}
	}

	holders(now: Instant): string[] {
		return ['a', 'b'].filter((_, index) => this.gateways[index].tokenAt(now) !== undefined);
	}
}

describe('the controller lease', () => {
	it.each([
		{
			name: 'is won by the first claim in log order', run(pair: GatewayPair) {
				pair.write(0, at(600));
				pair.write(1, at(600));
				pair.catchUp(0, at(610));
				pair.catchUp(1, at(610));
			}, at: at(620), holders: ['a'],
		},
		{
			name: 'stays with a holder that renews', run(pair: GatewayPair) {
				for (let ms = 600; ms <= 4000; ms += 100) {
					pair.step(0, at(ms));
					pair.step(1, at(ms));
				}
			}, at: at(4010), holders: ['a'],
		},
		{
			name: 'is no longer used by a holder that cannot renew, before another gateway may claim', run(pair: GatewayPair) {
				pair.step(0, at(600));
				pair.step(1, at(600));
			}, at: at(600 + (leaseMs * 0.9)), holders: [],
		},
		{
			name: 'goes to another gateway once it expired', run(pair: GatewayPair) {
				pair.step(0, at(600));
				for (let ms = 600; ms <= 3000; ms += 100) {
					pair.step(1, at(ms));
				}
			}, at: at(3010), holders: ['b'],
		},
		{
			name: 'is not used after a suspension that only the wall clock shows', run(pair: GatewayPair) {
				pair.step(0, at(600));
			}, at: {monotonicMs: 610, wallMs: 600 + leaseMs}, holders: [],
		},
		{
			name: 'is lost by a holder that resumes and renews too late', run(pair: GatewayPair) {
				pair.step(0, at(600));
				for (let ms = 600; ms <= 3000; ms += 100) {
					pair.step(1, at(ms));
				}

				pair.write(0, at(3000));
				pair.catchUp(0, at(3010));
				pair.catchUp(1, at(3010));
			}, at: at(3020), holders: ['b'],
		},
	])('$name', ({run, at: now, holders}) => {
		const pair = new GatewayPair();
		run(pair);
		expect(pair.holders(now)).toEqual(holders);
	});
});

const renew = (base: number): LeaseRecord => ({
	kind: LeaseRecordKind.Renew, id: `renew-${base}`, holder: 'a', base, token: 7,
});
const claim = (base: number): LeaseRecord => ({
	kind: LeaseRecordKind.Claim, id: `claim-${base}`, holder: 'b', base,
});

describe('a lease reader that starts after older records expired', () => {
	it.each([
		{name: 'is uncertain after one record', records: [renew(40)], isCertain: false},
		{name: 'is certain once a record follows one that it has read', records: [renew(40), renew(50)], isCertain: true},
		{name: 'ignores a losing claim before the valid records', records: [claim(30), renew(40), renew(51)], isCertain: true},
		{name: 'ignores a losing claim between the valid records', records: [renew(40), claim(40), renew(50)], isCertain: true},
		{name: 'ignores losing claims before and between the valid records', records: [claim(40), renew(45), claim(40), renew(51)], isCertain: true},
	])('$name', ({records, isCertain}) => {
		const table = new LeaseTable();
		table.skipTo(50);
		for (const [index, value] of records.entries()) {
			table.apply(50 + index, value);
		}

		expect(table.isCertain).toBe(isCertain);
		expect(table.lease).toEqual({holder: 'a', token: 7});
	});
});
