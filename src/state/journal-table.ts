/**
 * The intents of non-idempotent calls as rebuilt from the `journal` stream: for each
 * client account and idempotency key, the first intent in log order that was not
 * released. Entries are forgotten `keptMs` after they were appended, by the log's own
 * clock, so that every reader forgets an entry at the same record and memory is bounded.
 */
import {createHash} from 'node:crypto';
import {type JournalRecord, JournalRecordKind} from '../protocol/journal-records.js';
import {type LogRecord} from '../protocol/platform-log.js';

/** Characters of a key's digest: 132 bits, beyond chance and choice. */
const slotCharacters = 22;

/** The first intent of a key: which, and where it stands in the log. */
export type FirstIntent = {id: string; offset: number; appendedAtMs: number};

/** How long a key is remembered, in milliseconds of the log's clock. */
export const defaultJournalKeptMs = 900_000;

/** The first intent per key, and where each of this gateway's intents landed. */
export class JournalTable {
	/** A client account's key, as a digest: at scale the table is mostly keys. */
	private static slot(account: string, key: string): string {
		return createHash('sha256').update(account).update('\0').update(key).digest('base64').slice(0, slotCharacters);
	}

	/** Offset of the last record applied; -1 before any. */
	appliedOffset = -1;
	/** The maps keep their entries in log order, oldest first. */
	private readonly first = new Map<string, FirstIntent>();
	private readonly own = new Map<string, FirstIntent>();
	private readonly released = new Map<string, {appendedAtMs: number}>();

	/** @param gateway The gateway whose own intents can be looked up by id. */
	constructor(
		private readonly gateway: string,
		private readonly keptMs = defaultJournalKeptMs,
	) {}

	/** Applies a record; offsets at or below the last applied one are ignored. */
	apply({offset, appendedAtMs, value}: LogRecord<JournalRecord>): void {
		if (offset <= this.appliedOffset) {
			return;
		}

		this.appliedOffset = offset;
		this.forget(appendedAtMs);
		const slot = JournalTable.slot(value.account, value.key);
		if (value.kind === JournalRecordKind.Release) {
			this.release(value.id, slot, appendedAtMs);
			return;
		}

		const entry = {id: value.id, offset, appendedAtMs};
		if (value.gateway === this.gateway) {
			this.own.set(value.id, entry);
		}

		// A release may overtake its intent when the intent's append was delayed.
		if (!this.first.has(slot) && !this.released.has(value.id)) {
			this.first.set(slot, entry);
		}
	}

	/** The first intent for a client account's key, if any. */
	firstFor(account: string, key: string): FirstIntent | undefined {
		return this.first.get(JournalTable.slot(account, key));
	}

	/** The offset an intent of this gateway landed at, if it has been read. */
	offsetOf(intentId: string): number | undefined {
		return this.own.get(intentId)?.offset;
	}

	/** Sizes for state dumps. */
	toJson(): Record<string, number> {
		return {appliedOffset: this.appliedOffset, keys: this.first.size, released: this.released.size};
	}

	private release(id: string, slot: string, appendedAtMs: number): void {
		this.released.set(id, {appendedAtMs});
		if (this.first.get(slot)?.id === id) {
			this.first.delete(slot);
		}
	}

	private forget(logNowMs: number): void {
		const before = logNowMs - this.keptMs;
		dropBefore(this.first, before);
		dropBefore(this.own, before);
		dropBefore(this.released, before);
	}
}

/** Drops the entries at the front of a map that were appended before a time. */
function dropBefore(map: Map<string, {appendedAtMs: number}>, beforeMs: number): void {
	for (const [key, {appendedAtMs}] of map) {
		if (appendedAtMs >= beforeMs) {
			return;
		}

		map.delete(key);
	}
}
