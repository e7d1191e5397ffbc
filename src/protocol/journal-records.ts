/**
 * The records of the `journal` stream of the platform's log. Before a gateway dispatches a
 * non-idempotent call, it appends an intent. Of several intents with the same client account
 * and idempotency key, only the first in log order may be dispatched. A release withdraws an
 * intent whose call was certainly never sent, so that the key can be used again.
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
	/** A unique id of the intent. */
	id: string;
	account: string;
	/** The caller's idempotency key. */
	key: string;
	service: string;
	/** The gateway that appended the intent; only this gateway may dispatch the call. */
	gateway: string;
};

/** The withdrawal of an intent by the gateway that appended it. */
export type Release = {
	kind: JournalRecordKind.Release;
	/** The id of the intent. */
	id: string;
	account: string;
	key: string;
};

/** A record on the journal stream. */
export type JournalRecord = Intent | Release;
