/** Guards against bodies whose values take far more memory than their bytes, and against limits that refuse other ones. */
import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {
	MalformedJsonError, maxJsonValues, parseJsonBody, TooManyValuesError,
} from '../json-body.js';

const commas = ','.repeat(2 * maxJsonValues);

describe('parseJsonBody', () => {
	it.each([
		{name: 'an object', value: {model: 'desk', messages: [{role: 'user', content: 'a "quoted" text'}]}},
		{name: 'a long text with commas', value: {prompt: commas}},
		{name: 'a long text with quotes and backslashes', value: {prompt: String.raw`\",[{:`.repeat(maxJsonValues)}},
		{name: 'a text that ends with a backslash', value: [`${commas}\\`, commas]},
		{name: 'as many values as are allowed', value: Array.from({length: maxJsonValues - 1}, () => 0)},
	])('reads $name', ({value}) => {
		expect(parseJsonBody(Buffer.from(JSON.stringify(value)))).toEqual(value);
	});

	it('reads an empty body as null', () => {
		expect(parseJsonBody(Buffer.alloc(0))).toBeNull();
	});

	it.each([
		{name: 'arrays', body: `[${'[],'.repeat(maxJsonValues)}[]]`},
		{name: 'nested arrays', body: '['.repeat(2 * maxJsonValues)},
		{name: 'objects', body: `[${'{},'.repeat(maxJsonValues)}{}]`},
		{name: 'numbers', body: `[${'0,'.repeat(maxJsonValues)}0]`},
		{name: 'keys', body: `{${'"a":0,'.repeat(maxJsonValues)}"b":0}`},
		{name: 'numbers after a text that ends with a backslash', body: `[${JSON.stringify('\\')},${'0,'.repeat(maxJsonValues)}0]`},
	])('refuses too many $name', ({body}) => {
		expect(() => parseJsonBody(Buffer.from(body))).toThrow(TooManyValuesError);
	});

	it.each(['{', '[1,]', 'text', '{"__proto__": {}}'])('refuses what is not JSON: %s', body => {
		expect(() => parseJsonBody(Buffer.from(body))).toThrow(MalformedJsonError);
	});
});
