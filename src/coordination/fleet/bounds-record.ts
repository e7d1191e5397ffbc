/**
 * Stores what was used of the accounts' limits and the retry budgets, so that they also hold
 * when all daemons are lost at once together with their memory. The duty holder writes what was admitted, and a bound on
 * what may be admitted until its next write: a count alone is exceeded before the next write,
 * and daemons that start from it would grant the difference twice.
 */
import {Buffer} from 'node:buffer';
import {type Store, Topic} from '../../protocol/platform.js';
import {type SteadyClock} from '../../clock.js';
import {type LogEra} from '../../state/log-era.js';
import {type DutyLease} from '../duty-lease.js';
import {fieldsOf, decodeDaemonRecord} from '../daemon-record.js';
import {type SharedUse, type WindowBound} from '../shared-windows.js';

/** Key of the record in the topic of the daemons' addresses; no daemon has this name. */
export const boundsKey = '#limits';
/** Longest time between two writes of the record, in milliseconds. */
const writeIntervalMs = 1500;
/** Time between two checks whether more was admitted than the record allows for, in milliseconds: one round of reports. */
export const boundsCheckMs = 250;
/** Age up to which a starting daemon adopts the record, in milliseconds: an older one lacks too many admissions. */
const maxAgeMs = 6000;

type WrittenBounds = {
	/** When it was written, in milliseconds since 1970. */
	atMs: number;
	/** The era of the store in which it was written. */
	era?: number;
	accounts: Record<string, WindowBound>;
};

/** Writes and reads the record of what was admitted to the accounts. */
export class BoundsRecord {
	private written: {atMs: number; accounts: Record<string, WindowBound>} | undefined;

	constructor(private readonly parts: {store: Store; logEra: LogEra; sharedUse: SharedUse; lease: DutyLease; clock: SteadyClock; reportIntervalMs: number}) {}

	/**
	 * Writes the record if this daemon holds the duties and a write is due.
	 *
	 * @throws {StateError} When the store does not accept the record.
	 */
	async save(signal: AbortSignal): Promise<void> {
		const {sharedUse, lease, clock, store, logEra, reportIntervalMs} = this.parts;
		const nowMs = clock.now();
		if (lease.tokenAt(nowMs) === undefined) {
			this.written = undefined;
			return;
		}

		const accounts = this.isDue(nowMs) ? sharedUse.boundsToStore(reportIntervalMs, nowMs) : undefined;
		if (accounts) {
			const record: WrittenBounds = {atMs: clock.wallTimeMs(), era: logEra.current, accounts};
			await store.append(Topic.Members, {key: boundsKey, value: Buffer.from(JSON.stringify(record))}, undefined, signal);
			this.written = {atMs: nowMs, accounts};
		}
	}

	/**
	 * Adopts a record that was written shortly before this daemon started; an older one is ignored.
	 * So is one of an earlier era than that of the store: a later one of that era may be lost.
	 */
	restore(value: Uint8Array, logEra: number): void {
		const {sharedUse, clock} = this.parts;
		const record = decodeDaemonRecord(value, isWrittenBounds, 'bounds of the limits');
		if (record && (record.era ?? 0) >= logEra && Math.abs(clock.wallTimeMs() - record.atMs) <= maxAgeMs) {
			sharedUse.adoptStoredBounds(record.accounts, clock.now());
		}
	}

	private isDue(nowMs: number): boolean {
		return !this.written || nowMs - this.written.atMs >= writeIntervalMs || this.parts.sharedUse.exceedsBounds(this.written.accounts, nowMs);
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
