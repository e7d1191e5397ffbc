/**
 * Keeps the quarantined requests in the platform's store. Daemons that are all lost at once
 * forget them; without the record each of these requests would crash as many backend servers
 * again until it is known.
 */
import {Buffer} from 'node:buffer';
import {isSuspectNews, type SuspectNews} from '../../protocol/fleet-messages.js';
import {type Store, Topic} from '../../protocol/platform.js';
import {type SteadyClock} from '../../clock.js';
import {type DutyLease} from '../duty-lease.js';
import {fieldsOf, readOwnRecord} from '../own-record.js';
import {type Quarantine} from './quarantine.js';

/** Key of the record among the daemons' records; no daemon is called so. */
export const quarantineKey = '#quarantine';
/** How often it is looked whether the record is still right, in milliseconds. */
export const quarantineCheckMs = 500;

/** Ages in it count from when it was written, in milliseconds since 1970. */
type WrittenQuarantine = {atMs: number; suspects: SuspectNews[]};

/** The record of quarantined requests, as one daemon writes and reads it. */
export class QuarantineRecord {
	/** What the record says, without ages, as this daemon last wrote or read it. */
	private written = '';

	constructor(private readonly parts: {store: Store; quarantine: Quarantine; lease: DutyLease; clock: SteadyClock}) {}

	/**
	 * Writes the record while this daemon holds the duties and what is quarantined has changed.
	 *
	 * @throws {StateError} When the store does not take it.
	 */
	async save(signal: AbortSignal): Promise<void> {
		const {quarantine, lease, clock, store} = this.parts;
		const nowMs = clock.now();
		const suspects = quarantine.quarantined(nowMs);
		const content = summarize(suspects);
		if (content === this.written || lease.tokenAt(nowMs) === undefined) {
			return;
		}

		const record: WrittenQuarantine = {atMs: clock.wallNow(), suspects};
		await store.append(Topic.Members, {key: quarantineKey, value: Buffer.from(JSON.stringify(record))}, undefined, signal);
		this.written = content;
	}

	/** Takes over what was written before this daemon started, or by another one. */
	take(value: Uint8Array): void {
		const {quarantine, clock} = this.parts;
		const record = readOwnRecord(value, isWrittenQuarantine, 'quarantined requests');
		if (record) {
			// A clock that was set back does not make a crash lie ahead.
			const ageMs = Math.max(0, clock.wallNow() - record.atMs);
			const suspects = record.suspects.map(({fingerprint, crashes, clearedAgeMs}) => ({
				fingerprint, crashes: crashes.map(([backend, crashAgeMs]): [number, number] => [backend, crashAgeMs + ageMs]), clearedAgeMs: clearedAgeMs === undefined ? undefined : clearedAgeMs + ageMs,
			}));
			quarantine.hear(suspects, false, clock.now());
			this.written = summarize(record.suspects);
		}
	}
}

function summarize(suspects: SuspectNews[]): string {
	return suspects.map(({fingerprint, crashes}) => `${fingerprint}:${crashes.map(([backend]) => backend).toSorted((a, b) => a - b).join('+')}`).toSorted((a, b) => a < b ? -1 : 1).join(' ');
}

function isWrittenQuarantine(value: unknown): value is WrittenQuarantine {
	const {atMs, suspects} = fieldsOf(value);
	return typeof atMs === 'number' && isSuspectNews(suspects);
}
