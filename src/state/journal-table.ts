/**
 * The intents of non-idempotent calls as rebuilt from the `journal` stream: for each
 * client account and idempotency key, the first intent in log order that was not
 * released. Entries are forgotten `keptMs` after they were appended, by the log's own
 * clock, so that every reader forgets an entry at the same record and memory is bounded.
 */
import {type Intent, type JournalRecord, JournalRecordKind} from '../protocol/journal-records.js';
import {type LogRecord} from '../protocol/platform-log.js';

/** Where an intent stands in the log. */
export type IntentEntry = {offset: number; appendedAtMs: number; intent: Intent};

/** How long a key is remembered, in milliseconds of the log's clock. */
export const defaultJournalKeptMs = 900_000;

/** The first intent per key, and where each intent id landed. */
export class JournalTable {
	private static slot(account: string, key: string): string {
		return `${account}\0${key}`;
	}

	/** Offset of the last record applied; -1 before any. */
	appliedOffset = -1;
	/** Both maps keep their entries in log order, oldest first. */
	private readonly first = new Map<string, IntentEntry>();
	private readonly byId = new Map<string, {offset: number; appendedAtMs: number}>();
	private readonly released = new Map<string, number>();

	constructor(private readonly keptMs = defaultJournalKeptMs) {}

	/** Applies a record; offsets at or below the last applied one are ignored. */
	apply({offset, appendedAtMs, value}: LogRecord<JournalRecord>): void {
		if (offset <= this.appliedOffset) {
			return;
		}

		this.appliedOffset = offset;
		this.forget(appendedAtMs);
		if (value.kind === JournalRecordKind.Release) {
			this.release(value.id, appendedAtMs);
			return;
		}

		this.byId.set(value.id, {offset, appendedAtMs});
		const slot = JournalTable.slot(value.account, value.key);
		// A release may overtake its intent when the intent's append was delayed.
		if (!this.first.has(slot) && !this.released.has(value.id)) {
			this.first.set(slot, {offset, appendedAtMs, intent: value});
		}
	}

	/** The first intent for a client account's key, if any. */
	firstFor(account: string, key: string): IntentEntry | undefined {
		return this.first.get(JournalTable.slot(account, key));
	}

	/** The offset an intent id landed at, if it has been read. */
	offsetOf(intentId: string): number | undefined {
		return this.byId.get(intentId)?.offset;
	}

	/** Sizes for state dumps. */
	toJson(): Record<string, number> {
		return {appliedOffset: this.appliedOffset, keys: this.first.size, released: this.released.size};
	}

	private release(id: string, appendedAtMs: number): void {
		this.released.set(id, appendedAtMs);
		for (const [slot, entry] of this.first) {
			if (entry.intent.id === id) {
				this.first.delete(slot);
				return;
			}
		}
	}

	private forget(logNowMs: number): void {
		const before = logNowMs - this.keptMs;
		dropWhile(this.first, entry => entry.appendedAtMs < before);
		dropWhile(this.byId, entry => entry.appendedAtMs < before);
		dropWhile(this.released, appendedAtMs => appendedAtMs < before);
	}
}

/** Drops entries from the front of a map while they match. */
function dropWhile<V>(map: Map<string, V>, matches: (value: V) => boolean): void {
	for (const [key, value] of map) {
		if (!matches(value)) {
			return;
		}

		map.delete(key);
	}
}
