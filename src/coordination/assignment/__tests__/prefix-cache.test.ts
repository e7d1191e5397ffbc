/** Guards against estimates of an engine's cache that grow with every prompt that clients send. */
import {describe, expect, it} from 'vitest';
import {PrefixCache} from '../prefix-cache.js';

const promptCount = 1000;
const partsPerPrompt = 100;
const maxParts = 4096;

describe('PrefixCache', () => {
	it.each([
		{name: 'no tokens', tokens: 0, size: maxParts},
		{name: 'one token', tokens: 1, size: maxParts},
		{name: 'many tokens', tokens: 1000, size: 510},
	])('tracks $size parts of $name in an engine of 600,000 tokens', ({tokens, size}) => {
		const cache = new PrefixCache();
		let prompt = [{id: '', tokens}];
		for (let index = 0; index < promptCount; index++) {
			prompt = Array.from({length: partsPerPrompt}, (_, part) => ({id: `${index}-${part}`, tokens}));
			cache.add(prompt, 600_000);
		}

		expect(cache.size).toBe(size);
		expect(cache.cachedTokens(prompt)).toBe(tokens * partsPerPrompt);
	});
});
