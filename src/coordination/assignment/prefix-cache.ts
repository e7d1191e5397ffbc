/**
 * Estimates which prompt parts an engine has cached, from what was sent there: the least
 * recently used parts are evicted when its memory is full.
 */
import {type PromptPart} from '../../protocol/serving.js';

/** Share of an engine's memory that cached parts fill; the rest holds what running requests generate. */
const cacheShare = 0.85;
/** Capacity in tokens of an engine that does not state its memory. */
const defaultCapacityTokens = 200_000;
/** Parts tracked for each engine: clients choose how few tokens a part has. */
const maxParts = 4096;

/** The prompt parts cached at one engine. */
export class PrefixCache {
	/** Tokens by id of the part, the least recently used first. */
	private readonly parts = new Map<string, number>();
	private tokens = 0;

	/** Number of parts that are tracked. */
	get size(): number {
		return this.parts.size;
	}

	/** Counts the tokens of the leading parts that should be cached; a part counts only if all parts before it do. */
	cachedTokens(parts: PromptPart[]): number {
		let cached = 0;
		for (const {id, tokens} of parts) {
			if (!this.parts.has(id)) {
				break;
			}

			cached += tokens;
		}

		return cached;
	}

	/** Records that the engine reads a prompt, and evicts what no longer fits into its memory. */
	add(parts: PromptPart[], kvTokens: number | undefined): void {
		// The parts that come first are used last, since a part is of no use without those before it.
		for (const {id, tokens} of parts.toReversed()) {
			this.remove(id);
			this.parts.set(id, tokens);
			this.tokens += tokens;
		}

		const capacity = kvTokens === undefined ? defaultCapacityTokens : kvTokens * cacheShare;
		for (const id of this.parts.keys()) {
			if (this.tokens <= capacity && this.parts.size <= maxParts) {
				break;
			}

			this.remove(id);
		}
	}

	private remove(id: string): void {
		const tokens = this.parts.get(id);
		if (tokens !== undefined) {
			this.parts.delete(id);
			this.tokens -= tokens;
		}
	}
}
