import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {ReceivedBody} from '../received-body.js';

describe('ReceivedBody', () => {
	it.each([
		{name: 'nothing', lengths: []},
		{name: 'short chunks', lengths: [1, 2, 3000, 5000, 1]},
		{name: 'long chunks', lengths: [65_536, 65_536, 10_000]},
		{name: 'short ones between long ones', lengths: [1, 65_536, 7, 8, 20_000, 3]},
	])('joins $name in their order', ({lengths}) => {
		const chunks = lengths.map((length, index) => Buffer.alloc(length, index + 1));
		const body = new ReceivedBody();
		for (const chunk of chunks) {
			body.append(chunk);
		}

		const whole = Buffer.concat(chunks);
		expect(body.length).toBe(whole.length);
		expect(Buffer.compare(Buffer.from(body.take()), whole)).toBe(0);
		expect(body.length).toBe(0);
	});

	// Guards against a body in chunks of one byte that takes some hundred bytes of memory for each.
	it('does not keep the buffers of short chunks', () => {
		const body = new ReceivedBody();
		const chunk = Buffer.alloc(1, 'x');
		body.append(chunk);
		chunk.fill('y');
		expect(Buffer.from(body.take()).toString()).toBe('x');
	});

	it('takes no more memory than the expected length', () => {
		const body = new ReceivedBody(10);
		body.append(Buffer.alloc(4));
		body.append(Buffer.alloc(6));
		expect(body.take().buffer.byteLength).toBe(10);
	});
});
