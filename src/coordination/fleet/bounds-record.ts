/**
 * What the store keeps of the accounts' limits, for the case that all daemons are lost at
 * once and nobody remembers. The holder of the duties writes what was admitted and what may
 * be admitted until it writes again: a count alone is passed before the next one is written,
 * and daemons that start from it would grant the difference twice.
 */
import {Buffer} from 'node:buffer';
import {type Store, Topic} from '../../protocol/platform.js';
import {type SteadyClock} from '../../clock.js';
import {type DutyLease} from '../duty-lease.js';
import {fieldsOf, readOwnRecord} from '../own-record.js';
import {type QuotaLedger, type WindowBound} from '../quota-ledger.js';

/** Key of the record among the daemons' records; no daemon is called so. */
export const boundsKey = '#limits';
/** How often it is written, in milliseconds. */
const writeMs = 1500;
/** How often it is looked whether more was admitted than the record allows for, in milliseconds: a round of news. */
export const checkMs = 250;
/** Age up to which it is taken over at a start, in milliseconds: an older one misses too much. */
const freshMs = 6000;

type WrittenBounds = {
	/** When it was written, in milliseconds since 1970. */
	atMs: number;
	accounts: Record<string, WindowBound>;
};

/** The record of the accounts' limits, as one daemon writes and reads it. */
export class BoundsRecord {
	private written: {atMs: number; accounts: Record<string, WindowBound>} | undefined;

	constructor(private readonly parts: {store: Store; quota: QuotaLedger; lease: DutyLease; clock: SteadyClock; roundMs: number}) {}

	/**
	 * Writes the record while this daemon holds the duties and it is due.
	 *
	 * @throws {StateError} When the store does not take it.
	 */
	async save(signal: AbortSignal): Promise<void> {
		const {quota, lease, clock, store, roundMs} = this.parts;
		const nowMs = clock.now();
		if (lease.tokenAt(nowMs) === undefined) {
			this.written = undefined;
			return;
		}

		const accounts = this.isDue(nowMs) ? quota.writtenBounds(roundMs, nowMs) : undefined;
		if (accounts) {
			const record: WrittenBounds = {atMs: clock.wallNow(), accounts};
			await store.append(Topic.Members, {key: boundsKey, value: Buffer.from(JSON.stringify(record))}, undefined, signal);
			this.written = {atMs: nowMs, accounts};
		}
	}

	/** Takes over what was written shortly before this daemon started. */
	take(value: Uint8Array): void {
		const {quota, clock} = this.parts;
		const record = readOwnRecord(value, isWrittenBounds, 'bounds of the limits');
		if (record && Math.abs(clock.wallNow() - record.atMs) <= freshMs) {
			quota.adoptWritten(record.accounts, clock.now());
		}
	}

	private isDue(nowMs: number): boolean {
		return !this.written || nowMs - this.written.atMs >= writeMs || this.parts.quota.passes(this.written.accounts, nowMs);
	}
}

function isWrittenBounds(value: unknown): value is WrittenBounds {
	const {atMs, accounts} = fieldsOf(value);
	return typeof atMs === 'number' && typeof accounts === 'object' && Object.values(fieldsOf(accounts)).every(bound => isWindowBound(bound));
}

function isWindowBound(value: unknown): value is WindowBound {
	const {uses, ahead} = fieldsOf(value);
	return Array.isArray(uses) && uses.every(cost => typeof cost === 'number') && typeof ahead === 'number';
}
