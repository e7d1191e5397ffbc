import {describe, expect, it} from 'vitest';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {ReadingRate} from '../reading-rate.js';

describe('ReadingRate', () => {
	it.each([{name: 'half as fast', tokensPerMs: 25}, {name: 'as fast', tokensPerMs: 50}, {name: 'twice as fast', tokensPerMs: 100}])('learns the speed of engines $name, though half of the first events also wait', ({tokensPerMs}) => {
		const generator = xoroshiro128plus(7);
		const rate = new ReadingRate();
		for (let index = 0; index < 300; index++) {
			const tokens = 4000 + (uniformFloat64(generator) * 16_000);
			const waitedMs = index % 2 === 0 ? 0 : uniformFloat64(generator) * 400;
			rate.note(tokens, (tokens / tokensPerMs) + 20 + waitedMs);
		}

		expect(rate.tokensPerMs).toBeGreaterThan(tokensPerMs * 0.85);
		expect(rate.tokensPerMs).toBeLessThan(tokensPerMs * 1.1);
	});

	it('learns nothing from short prompts', () => {
		const rate = new ReadingRate();
		const {tokensPerMs} = rate;
		rate.note(300, 500);
		expect(rate.tokensPerMs).toBe(tokensPerMs);
	});
});
