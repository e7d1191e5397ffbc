/**
 * Computes fingerprints of what may crash backend servers: of a request, the same for all of a
 * client's retries, whose ids all differ, and of the parts of its prompt, the same for all
 * requests that share a part.
 */
import {createHash} from 'node:crypto';
import {type PromptPart} from '../../protocol/serving.js';

/** Number of bytes of the hash that are kept: a number holds them exactly, and among a thousand requests the probability of a collision is 1 in 500 million. */
const fingerprintBytes = 6;
/** Number of parts of a prompt that get fingerprints, the first ones: a client chooses how many it names. */
const maxParts = 64;

/** The fields that two retries of the same request have in common. */
export type RequestIdentity = {
	/** Name of the client account; undefined where the route needs no key. */
	account: string | undefined;
	host: string;
	method: string;
	/** Includes the query. */
	path: string;
	body: Uint8Array;
	promptParts: readonly PromptPart[];
};

/** The fingerprints of a request. */
export type RequestFingerprints = {
	request: number;
	/** The parts of its prompt that other requests may share: all but the last. */
	parts: number[];
};

/** Computes the fingerprints of a request. */
export function computeFingerprints({account, host, method, path, body, promptParts}: RequestIdentity): RequestFingerprints {
	const sharedIds = new Set(promptParts.slice(0, Math.min(promptParts.length - 1, maxParts)).map(({id}) => id.toLowerCase()));
	// JSON keeps the fields apart, whatever they contain.
	return {request: hash(JSON.stringify([account, host, method, path]), body), parts: [...sharedIds].map(id => hash(JSON.stringify({part: id})))};
}

/** Returns all fingerprints of a request. */
export function listFingerprints({request, parts}: RequestFingerprints): number[] {
	return [request, ...parts];
}

/** Formats a fingerprint for logs and state dumps, as hexadecimal digits. */
export function formatFingerprint(fingerprint: number): string {
	return fingerprint.toString(16).padStart(fingerprintBytes * 2, '0');
}

function hash(...contents: Array<string | Uint8Array>): number {
	const md5 = createHash('md5');
	for (const content of contents) {
		md5.update(content);
	}

	return md5.digest().readUIntBE(0, fingerprintBytes);
}
