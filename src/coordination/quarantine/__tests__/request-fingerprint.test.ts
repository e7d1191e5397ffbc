import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {formatFingerprint, computeFingerprint, type RequestIdentity} from '../request-fingerprint.js';

const identity: RequestIdentity = {
	account: 'team', host: 'h.example', method: 'POST', path: '/a/b?x=1', body: Buffer.from('body'),
};

describe('computeFingerprint', () => {
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
