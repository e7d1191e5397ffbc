/**
 * Keeps the quarantined requests in the platform's store. If all daemons are lost at once,
 * their memory of these requests is lost too; without the record, each of them would crash as
 * many backend servers again before it is quarantined.
 */
import {Buffer} from 'node:buffer';
import {isSuspectUpdates, type SuspectUpdate} from '../../protocol/fleet-messages.js';
import {type Store, Topic} from '../../protocol/platform.js';
import {type SteadyClock} from '../../clock.js';
import {type LogEra} from '../../state/log-era.js';
import {type DutyLease} from '../duty-lease.js';
import {fieldsOf, decodeDaemonRecord} from '../daemon-record.js';
import {type Quarantine} from './quarantine.js';

/** Key of the record among the daemons' records; no daemon has this name. */
export const quarantineKey = '#quarantine';
/** Interval between checks whether the record must be written again, in milliseconds. */
export const quarantineCheckIntervalMs = 500;

/** The record in the store; ages in it count back from `atMs`, the time of writing in milliseconds since 1970. */
type StoredQuarantine = {atMs: number; suspects: SuspectUpdate[]};

/** Writes and reads the record of quarantined requests. */
export class QuarantineRecord {
	/** Summary of the record, without ages, as this daemon last wrote or read it. */
	private storedSummary = '';
	/** The era of the store in which that was. */
	private storedEra = 0;

	constructor(private readonly dependencies: {store: Store; logEra: LogEra; quarantine: Quarantine; lease: DutyLease; clock: SteadyClock}) {}

	/**
	 * Writes the record if this daemon holds the lease of the singleton duties and the quarantined requests have changed.
	 *
	 * @throws {StateError} When the store does not accept the record.
	 */
	async save(signal: AbortSignal): Promise<void> {
		const {quarantine, lease, clock, store, logEra} = this.dependencies;
		const nowMs = clock.now();
		const suspects = quarantine.quarantinedUpdates(nowMs);
		const content = summarize(suspects);
		const isStored = content === this.storedSummary && (content === '' || !logEra.isOutdated(this.storedEra));
		if (isStored || lease.tokenAt(nowMs) === undefined) {
			return;
		}

		const record: StoredQuarantine = {atMs: clock.wallTimeMs(), suspects};
		const result = await store.append(Topic.Members, {key: quarantineKey, value: Buffer.from(JSON.stringify(record))}, undefined, signal);
		this.storedSummary = content;
		this.storedEra = result.kind === 'appended' ? result.era : this.storedEra;
	}

	/** Applies a record that another daemon wrote, or that was written before this daemon started. */
	apply(value: Uint8Array, era: number): void {
		const {quarantine, clock} = this.dependencies;
		const record = decodeDaemonRecord(value, isStoredQuarantine, 'quarantined requests');
		if (record) {
			// If the clock was set back, crashes must not appear to be in the future.
			const ageMs = Math.max(0, clock.wallTimeMs() - record.atMs);
			const suspects = record.suspects.map(({fingerprint, crashes, clearedAgeMs}) => ({
				fingerprint, crashes: crashes.map(([backend, crashAgeMs]): [number, number] => [backend, crashAgeMs + ageMs]), clearedAgeMs: clearedAgeMs === undefined ? undefined : clearedAgeMs + ageMs,
			}));
			quarantine.applyUpdates(suspects, false, clock.now());
			this.storedSummary = summarize(record.suspects);
			this.storedEra = era;
		}
	}
}

function summarize(suspects: SuspectUpdate[]): string {
	return suspects.map(({fingerprint, crashes}) => `${fingerprint}:${crashes.map(([backend]) => backend).toSorted((a, b) => a - b).join('+')}`).toSorted((a, b) => a < b ? -1 : 1).join(' ');
}

function isStoredQuarantine(value: unknown): value is StoredQuarantine {
	const {atMs, suspects} = fieldsOf(value);
	return typeof atMs === 'number' && isSuspectUpdates(suspects);
}
