/**
 * Counts the tokens of a prompt without a tokenizer: one token per whitespace-separated
 * word. The engine stand-in, the router and the bench share this approximation.
 */

/** Splits a prompt into words, each of which counts as one token. */
export function tokenizePrompt(prompt: string): string[] {
	return prompt.split(/\s+/v).filter(word => word.length > 0);
}
