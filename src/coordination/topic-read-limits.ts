/**
 * How long reads of a topic of the store may wait, and up to which age a daemon may use what
 * its relays report of the topic instead of reading. Both follow from the tightest bound that
 * the view of the topic must meet: a change comes into force within the bound even if the
 * connection stalls during the read that waits for the change, or if the relays can no longer
 * read the store.
 */

/** Timeout for the answer to a waiting read beyond the wait, in milliseconds: an answer takes 4 ms, and 250 ms from a store that is sixty times slower. */
export const answerTimeoutMs = 500;
/** Timeout for the answer to a read that does not wait, in milliseconds. */
export const immediateAnswerTimeoutMs = 900;
/** Timeout for the answer to a read that does not wait after several failures, in milliseconds: a read sent just before the store recovers delays the next one by no more than this. */
export const maxImmediateAnswerTimeoutMs = 1800;
/** Longest delay before the retry of a read after one failure, in milliseconds; it doubles with each failure in a row. */
export const firstRetryDelayMs = 200;
/** Longest delay before a retry after any number of failures, in milliseconds: retries must not add load to a store that refuses requests, and callers wait at most this long once it answers again. */
const maxRetryDelayMs = 800;
/** Interval at which a daemon that relies on its relays checks whether their reports are still recent enough, in milliseconds. */
export const reportCheckIntervalMs = 100;
/** Time reserved for the read that returns the change, in milliseconds: enough for a new connection whose first packet is lost. */
const finalReadMs = 300;
/** Shortest wait of a read, in milliseconds, so that a bound that is too tight to meet does not make a daemon read continuously. */
const minWaitMs = 100;

/**
 * Returns the delay before the retry of a read, in milliseconds: exponential backoff with jitter.
 *
 * @param failedInRow Failures since the last answer, 1 or more.
 * @param draw A uniform random number from 0 to 1, so that daemons do not retry in step.
 */
export function retryDelayMs(failedInRow: number, draw: number): number {
	return Math.min(maxRetryDelayMs, firstRetryDelayMs * (2 ** (failedInRow - 1))) * (0.5 + (draw / 2));
}

/** Time limits for following one topic, in milliseconds. */
export type TopicReadLimits = {
	/** Longest time that one read waits for new records. */
	waitMs: number;
	/** The same for a relay, on whose view other daemons rely. */
	relayWaitMs: number;
	/** Age up to which a daemon uses its relays' reports instead of reading. */
	maxReportAgeMs: number;
};

/**
 * Returns the time limits for following a topic.
 *
 * @param boundMs Time within which a change must be in force.
 * @param relayIntervalMs Longest time between two reports of a relay that has no changes.
 * @param maximums Upper limits from other requirements on the view.
 */
export function computeReadLimits(boundMs: number, relayIntervalMs: number, maximums: TopicReadLimits): TopicReadLimits {
	const maxReportAgeMs = Math.max(0, Math.min(maximums.maxReportAgeMs, boundMs - reportCheckIntervalMs - finalReadMs));
	// An answer confirms the view as of the time at which the read was sent, so between answers the view gets up to two waits old.
	const waitMs = Math.max(minWaitMs, Math.min(maximums.waitMs, boundMs - answerTimeoutMs - firstRetryDelayMs - finalReadMs, (boundMs - finalReadMs) / 2));
	const relayWaitMs = Math.max(minWaitMs, Math.min(maximums.relayWaitMs, waitMs, (maxReportAgeMs - relayIntervalMs) / 2));
	return {waitMs: Math.round(waitMs), relayWaitMs: Math.round(relayWaitMs), maxReportAgeMs: Math.round(maxReportAgeMs)};
}
