/**
 * The records of the `journal` stream on the platform log: intents of
 * non-idempotent calls, written before the call is dispatched. For one client
 * account and idempotency key, the first intent in log order is the only one
 * that may be dispatched.
 */

/** The name of the stream that carries intents. */
export const journalStream = 'journal';

/** An intent to dispatch one non-idempotent call. */
export type Intent = {
	/** A unique id of this attempt. */
	id: string;
	account: string;
	/** The caller's idempotency key. */
	key: string;
	service: string;
	/** The gateway that wrote it, the only one that may dispatch it. */
	gateway: string;
};
