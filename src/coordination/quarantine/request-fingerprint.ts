/** Computes a fingerprint that is the same for all of a client's retries of a request, whose ids all differ. */
import {createHash} from 'node:crypto';

/** Number of bytes of the hash that are kept: a number holds them exactly, and among a thousand requests the probability of a collision is 1 in 500 million. */
const fingerprintBytes = 6;

/** The fields that two retries of the same request have in common. */
export type RequestIdentity = {
	/** Name of the client account; undefined where the route needs no key. */
	account: string | undefined;
	host: string;
	method: string;
	/** Includes the query. */
	path: string;
	body: Uint8Array;
};

/** Computes the fingerprint, which is the same for every retry of one request at every daemon. */
export function computeFingerprint({account, host, method, path, body}: RequestIdentity): number {
	// JSON keeps the fields apart, whatever they contain.
	const head = JSON.stringify([account, host, method, path]);
	return createHash('md5').update(head).update(body).digest().readUIntBE(0, fingerprintBytes);
}

/** Formats a fingerprint for logs and state dumps, as hexadecimal digits. */
export function formatFingerprint(fingerprint: number): string {
	return fingerprint.toString(16).padStart(fingerprintBytes * 2, '0');
}
