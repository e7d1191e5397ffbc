import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {EventSplitter} from '../event-splitter.js';

describe('EventSplitter', () => {
	const stream = 'id: 1\ndata: a\n\nversion: 3\nid:2\r\ndata: b\r\n\r\ndata: c\n\n';

	it.each([1, 2, 3, 7, 100])('splits a stream received in chunks of %i bytes without changing it', size => {
		const splitter = new EventSplitter();
		const events = [];
		for (let start = 0; start < stream.length; start += size) {
			events.push(...splitter.push(Buffer.from(stream.slice(start, start + size))));
		}

		expect(events.map(event => event.id)).toEqual(['1', '2', undefined]);
		expect(events.map(event => Buffer.from(event.bytes).toString()).join('')).toBe(stream);
		expect(splitter.hasPartialEvent).toBe(false);
	});

	it('reports a partial event', () => {
		const splitter = new EventSplitter();
		expect([...splitter.push(Buffer.from('id: 1\ndata: a\n'))]).toEqual([]);
		expect(splitter.hasPartialEvent).toBe(true);
	});
});
