/** The identity of a request over its client's attempts, which all differ in their id. */
import {createHash} from 'node:crypto';

/** Bytes of the hash that are kept: a number holds them exactly, and two of a thousand requests share them once in 500 million times. */
const fingerprintBytes = 6;

/** What makes two attempts the same request. */
export type RequestIdentity = {
	/** Name of the client account; undefined where the route needs no key. */
	account: string | undefined;
	host: string;
	method: string;
	/** With the query. */
	path: string;
	body: Uint8Array;
};

/** The same number for every attempt of one request, at every daemon. */
export function fingerprintOf({account, host, method, path, body}: RequestIdentity): number {
	// A list keeps the parts apart, whatever they hold.
	const head = JSON.stringify([account, host, method, path]);
	return createHash('md5').update(head).update(body).digest().readUIntBE(0, fingerprintBytes);
}

/** How logs and dumps show a fingerprint. */
export function describeFingerprint(fingerprint: number): string {
	return fingerprint.toString(16).padStart(fingerprintBytes * 2, '0');
}
