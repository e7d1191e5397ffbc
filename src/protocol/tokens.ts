/**
 * How the project counts tokens of a prompt without a tokenizer: one token per
 * whitespace-separated word. The engine stand-in, routing and the bench agree on it.
 */

/** Splits a prompt into the words that stand for its tokens. */
export function promptTokens(prompt: string): string[] {
	return prompt.split(/\s+/v).filter(word => word.length > 0);
}
