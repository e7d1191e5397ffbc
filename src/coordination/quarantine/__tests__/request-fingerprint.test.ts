import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {describeFingerprint, fingerprintOf, type RequestIdentity} from '../request-fingerprint.js';

const identity: RequestIdentity = {
	account: 'team', host: 'h.example', method: 'POST', path: '/a/b?x=1', body: Buffer.from('body'),
};

describe('fingerprintOf', () => {
	it('is the same for every attempt of a request', () => {
		expect(fingerprintOf({...identity, body: Buffer.from('body')})).toBe(fingerprintOf(identity));
	});

	it.each<{name: string; change: Partial<RequestIdentity>}>([
		{name: 'another account', change: {account: 'other'}},
		{name: 'no account', change: {account: undefined}},
		{name: 'another host', change: {host: 'i.example'}},
		{name: 'another method', change: {method: 'GET'}},
		{name: 'another query', change: {path: '/a/b?x=2'}},
		{name: 'another body', change: {body: Buffer.from('bodz')}},
		{name: 'a part that begins where the one before it ends', change: {host: 'h.exampleP', method: 'OST'}},
	])('differs for $name', ({change}) => {
		expect(fingerprintOf({...identity, ...change})).not.toBe(fingerprintOf(identity));
	});

	it('is shown with all its digits', () => {
		expect(describeFingerprint(255)).toBe('0000000000ff');
	});
});
