import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {computeFingerprints, formatFingerprint, type RequestIdentity} from '../request-fingerprint.js';

const identity: RequestIdentity = {
	account: 'team', host: 'h.example', method: 'POST', path: '/a/b?x=1', body: Buffer.from('body'), promptParts: [],
};

const computeFingerprint = (of: RequestIdentity) => computeFingerprints(of).request;

describe('the fingerprint of a request', () => {
	it('is the same for every retry of a request', () => {
		expect(computeFingerprint({...identity, body: Buffer.from('body')})).toBe(computeFingerprint(identity));
	});

	it.each<{name: string; change: Partial<RequestIdentity>}>([
		{name: 'another account', change: {account: 'other'}},
		{name: 'no account', change: {account: undefined}},
		{name: 'another host', change: {host: 'i.example'}},
		{name: 'another method', change: {method: 'GET'}},
		{name: 'another query', change: {path: '/a/b?x=2'}},
		{name: 'another body', change: {body: Buffer.from('bodz')}},
		{name: 'characters moved from one field to the next', change: {host: 'h.exampleP', method: 'OST'}},
	])('differs for $name', ({change}) => {
		expect(computeFingerprint({...identity, ...change})).not.toBe(computeFingerprint(identity));
	});

	it('is formatted with leading zeros', () => {
		expect(formatFingerprint(255)).toBe('0000000000ff');
	});
});

describe('the fingerprints of the parts of a prompt', () => {
	const partsOf = (...ids: string[]) => computeFingerprints({...identity, promptParts: ids.map(id => ({id, tokens: 100}))}).parts;

	it.each([
		{name: 'leave out the last part, which belongs to the request', parts: partsOf('a1', 'b2', 'c3'), expected: partsOf('a1', 'b2', 'd4')},
		{name: 'are the same in any order of the parts before it', parts: partsOf('a1', 'b2', 'c3').toSorted((a, b) => a - b), expected: partsOf('b2', 'a1', 'c3').toSorted((a, b) => a - b)},
		{name: 'are the same for both cases of the digits', parts: partsOf('a1', 'c3'), expected: partsOf('A1', 'c3')},
		{name: 'are none for a prompt of one part', parts: partsOf('a1'), expected: []},
		{name: 'are none without a prompt', parts: partsOf(), expected: []},
	])('$name', ({parts, expected}) => {
		expect(parts).toEqual(expected);
	});

	it('differ from part to part, and are limited in number', () => {
		const ids = Array.from({length: 1000}, (_, index) => index.toString(16));
		expect(new Set(partsOf(...ids)).size).toBe(64);
	});
});
