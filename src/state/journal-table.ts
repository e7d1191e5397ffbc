/**
 * The intents of non-idempotent calls, rebuilt from the `journal` stream: for each
 * client account and idempotency key, the first intent in log order that was not
 * released. Entries expire `retentionMs` after they were appended, by the log's clock,
 * so that every reader drops an entry at the same record and memory use is bounded.
 */
import {createHash} from 'node:crypto';
import {type JournalRecord, JournalRecordKind} from '../protocol/journal-records.js';
import {type LogRecord} from '../protocol/platform-log.js';

/** Base64 characters kept of a key's digest: 132 bits, so that collisions neither happen by chance nor can be constructed. */
const digestCharacters = 22;

/** An intent's id and its position in the log. */
export type FirstIntent = {id: string; offset: number; appendedAtMs: number};

/** How long the intents of a key are kept, in milliseconds of the log's clock. */
export const defaultJournalRetentionMs = 900_000;

/** The first intent of each key, and the offsets of this gateway's own intents. */
export class JournalTable {
	/** Returns the digest of a client account's key; digests bound the table's memory, which consists mostly of keys. */
	private static digestOf(account: string, key: string): string {
		return createHash('sha256').update(account).update('\0').update(key).digest('base64').slice(0, digestCharacters);
	}

	/** Offset of the last record applied; -1 before any. */
	appliedOffset = -1;
	/** This map and the two below hold their entries in log order, oldest first. */
	private readonly firstIntents = new Map<string, FirstIntent>();
	private readonly ownIntents = new Map<string, FirstIntent>();
	private readonly releasedIntents = new Map<string, {appendedAtMs: number}>();

	/** @param gateway The gateway whose own intents can be looked up by id. */
	constructor(
		private readonly gateway: string,
		private readonly retentionMs = defaultJournalRetentionMs,
	) {}

	/** Applies a record; offsets at or below the last applied one are ignored. */
	apply({offset, appendedAtMs, value}: LogRecord<JournalRecord>): void {
		if (offset <= this.appliedOffset) {
			return;
		}

		this.appliedOffset = offset;
		this.dropExpired(appendedAtMs);
		const digest = JournalTable.digestOf(value.account, value.key);
		if (value.kind === JournalRecordKind.Release) {
			this.release(value.id, digest, appendedAtMs);
			return;
		}

		const entry = {id: value.id, offset, appendedAtMs};
		if (value.gateway === this.gateway) {
			this.ownIntents.set(value.id, entry);
		}

		// A release may precede its intent in the log if the intent's append was delayed.
		if (!this.firstIntents.has(digest) && !this.releasedIntents.has(value.id)) {
			this.firstIntents.set(digest, entry);
		}
	}

	/** Returns the first intent of a client account's key, if any. */
	firstIntentFor(account: string, key: string): FirstIntent | undefined {
		return this.firstIntents.get(JournalTable.digestOf(account, key));
	}

	/** Returns the offset at which an intent of this gateway was stored, if it has been read back. */
	offsetOf(intentId: string): number | undefined {
		return this.ownIntents.get(intentId)?.offset;
	}

	/** Returns the table's sizes for state dumps. */
	toJson(): Record<string, number> {
		return {appliedOffset: this.appliedOffset, keys: this.firstIntents.size, released: this.releasedIntents.size};
	}

	private release(id: string, digest: string, appendedAtMs: number): void {
		this.releasedIntents.set(id, {appendedAtMs});
		if (this.firstIntents.get(digest)?.id === id) {
			this.firstIntents.delete(digest);
		}
	}

	private dropExpired(logNowMs: number): void {
		const before = logNowMs - this.retentionMs;
		dropBefore(this.firstIntents, before);
		dropBefore(this.ownIntents, before);
		dropBefore(this.releasedIntents, before);
	}
}

/** Drops the entries of a map that were appended before a time; the map's entries are in order of their append. */
function dropBefore(map: Map<string, {appendedAtMs: number}>, beforeMs: number): void {
	for (const [key, {appendedAtMs}] of map) {
		if (appendedAtMs >= beforeMs) {
			return;
		}

		map.delete(key);
	}
}
