/**
 * The intents of non-idempotent calls as rebuilt from the `journal` stream: for
 * each client account and idempotency key, the first intent in log order.
 */
import {type Intent} from '../protocol/journal-records.js';

/** Where an intent stands in the log. */
export type IntentEntry = {offset: number; intent: Intent};

/** The first intent per key, and where each intent id landed. */
export class JournalTable {
	private static slot(account: string, key: string): string {
		return `${account}\0${key}`;
	}

	/** Offset of the last record applied; -1 before any. */
	appliedOffset = -1;
	private readonly first = new Map<string, IntentEntry>();
	private readonly byId = new Map<string, number>();

	/** Applies the record at `offset`; offsets at or below the last applied one are ignored. */
	apply(offset: number, intent: Intent): void {
		if (offset <= this.appliedOffset) {
			return;
		}

		this.appliedOffset = offset;
		this.byId.set(intent.id, offset);
		const slot = JournalTable.slot(intent.account, intent.key);
		if (!this.first.has(slot)) {
			this.first.set(slot, {offset, intent});
		}
	}

	/** The first intent for a client account's key, if any. */
	firstFor(account: string, key: string): IntentEntry | undefined {
		return this.first.get(JournalTable.slot(account, key));
	}

	/** The offset an intent id landed at, if it has been read. */
	offsetOf(intentId: string): number | undefined {
		return this.byId.get(intentId);
	}

	/** Sizes for state dumps. */
	toJson(): Record<string, number> {
		return {appliedOffset: this.appliedOffset, keys: this.first.size};
	}
}
