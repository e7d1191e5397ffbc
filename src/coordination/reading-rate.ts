/**
 * How fast the engines of a service read prompts, learned from how long first events take.
 * Most first events also wait for what was read before and for other requests' tokens, so
 * the rate is taken from the fast ones. It answers engines of any speed: with a rate that is
 * twice too high or too low, queues are taken to be half or twice as long as they are.
 */

/** Taken until requests tell, in tokens a millisecond: an engine of the first deployments, whose sheets give 56.6 without other requests. A sixth of the difference to half or twice of it is left after some 100 requests. */
const priorTokensPerMs = 50;
/** Prompts shorter than this tell nothing, in tokens: the rest of a first event takes as long as reading them. */
const leastTokens = 2000;
/** Time of a first event that is not spent reading, in milliseconds: the way there and back, and the first token. */
const overheadMs = 20;
/** A faster sample raises the rate by this factor and a slower one lowers it by the other, so that a fifth of the samples are faster. */
const raise = 1.04;
const lower = 0.99;

/** The rate of one service's engines. */
export class ReadingRate {
	tokensPerMs = priorTokensPerMs;

	/** Notes how long a request's first event took at an engine with nothing else of this daemon to read. */
	note(unreadTokens: number, tookMs: number): void {
		if (unreadTokens < leastTokens) {
			return;
		}

		const sample = unreadTokens / Math.max(1, tookMs - overheadMs);
		this.tokensPerMs *= sample > this.tokensPerMs ? raise : lower;
	}
}
