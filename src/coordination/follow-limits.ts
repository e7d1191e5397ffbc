/**
 * How long reads of the store may wait, and how long a daemon may go by its relays' word.
 * Both follow from the tightest bound that a view serves: a change is in force within it
 * also where a connection goes silent under the read that waits for the change, and where
 * the relays can no longer read.
 */

/** Time that the answer to a waiting read may take beyond the wait, in milliseconds: an answer takes 4 ms, and 250 of a store that is sixty times slower. */
export const answerMs = 500;
/** The same for a read that does not wait, in milliseconds. */
export const doubtAnswerMs = 900;
/** The same after several failures, in milliseconds: one sent just before the store answers again delays the next by no more than this. */
export const mostAnswerMs = 1800;
/** Longest pause after a failed read, in milliseconds; it doubles with each failure in a row. */
export const retryPauseMs = 200;
/** Longest pause after any number of failures, in milliseconds: a store that turns daemons away is not made busier by them, and callers wait this long at most once it answers again. */
const longestPauseMs = 800;
/** How often a daemon that is told by relays looks whether it still is, in milliseconds. */
export const carriedStepMs = 100;
/** Time kept for the read that brings the change, in milliseconds: a new connection whose first packet is lost. */
const lastReadMs = 300;
/** Shortest wait of a read, in milliseconds, so that a bound too tight to keep does not make a daemon read without pause. */
const shortestWaitMs = 100;

/**
 * The pause before the next try of a read.
 *
 * @param failedInRow Failures since the last answer, 1 or more.
 * @param draw Drawn evenly from 0 to 1, so that daemons do not return in step.
 */
export function pauseAfter(failedInRow: number, draw: number): number {
	return Math.min(longestPauseMs, retryPauseMs * (2 ** (failedInRow - 1))) * (0.5 + (draw / 2));
}

/** Limits of following one topic, in milliseconds. */
export type FollowLimits = {
	/** How long one read waits for records. */
	waitMs: number;
	/** The same for a relay, whose view others go by. */
	relayWaitMs: number;
	/** Age of the relays' word up to which a daemon goes by it instead of reading. */
	carriedMs: number;
};

/**
 * The limits of following a topic.
 *
 * @param boundMs Within this, a change must be in force.
 * @param tellingMs Longest time between two words of a relay that stands by.
 * @param most What other needs of the view allow.
 */
export function limitsFor(boundMs: number, tellingMs: number, most: FollowLimits): FollowLimits {
	const carriedMs = Math.max(0, Math.min(most.carriedMs, boundMs - carriedStepMs - lastReadMs));
	// A view is confirmed as of the sending of a read, so reads that wait leave it up to two waits old.
	const waitMs = Math.max(shortestWaitMs, Math.min(most.waitMs, boundMs - answerMs - retryPauseMs - lastReadMs, (boundMs - lastReadMs) / 2));
	const relayWaitMs = Math.max(shortestWaitMs, Math.min(most.relayWaitMs, waitMs, (carriedMs - tellingMs) / 2));
	return {waitMs: Math.round(waitMs), relayWaitMs: Math.round(relayWaitMs), carriedMs: Math.round(carriedMs)};
}
