/**
 * The records of the `journal` stream on the platform log. Before a non-idempotent call
 * is dispatched, its intent is written here; for one client account and idempotency
 * key, the first intent in log order is the only one that may be dispatched. A release
 * withdraws an intent whose call was certainly never sent, so that the key is free again.
 */

/** The name of the stream that carries intents. */
export const journalStream = 'journal';

/** The kinds of record on the journal stream. */
export enum JournalRecordKind {
	Intent = 'intent',
	Release = 'release',
}

/** An intent to dispatch one non-idempotent call. */
export type Intent = {
	kind: JournalRecordKind.Intent;
	/** A unique id of this attempt. */
	id: string;
	account: string;
	/** The caller's idempotency key. */
	key: string;
	service: string;
	/** The gateway that wrote it, the only one that may dispatch it. */
	gateway: string;
};

/** The withdrawal of an intent by its own gateway. */
export type Release = {
	kind: JournalRecordKind.Release;
	/** The id of the intent. */
	id: string;
	account: string;
	key: string;
};

/** A record on the journal stream. */
export type JournalRecord = Intent | Release;
