/** Short keys of backend servers for messages between daemons: four bytes instead of an id of a dozen. */
import {createHash} from 'node:crypto';

/** Size of the cache of keys, which saves hashing an id repeatedly; larger than the number of replicas of any deployment. */
const maxCachedKeys = 10_000;

const cachedKeys = new Map<string, number>();

/** Returns the key of a backend server's id. Among 1,900 ids, two share a key in one of two thousand fleets; the load of both then counts at each. */
export function backendKey(id: string): number {
	let key = cachedKeys.get(id);
	if (key === undefined) {
		if (cachedKeys.size >= maxCachedKeys) {
			cachedKeys.clear();
		}

		key = createHash('md5').update(id).digest().readUInt32BE(0);
		cachedKeys.set(id, key);
	}

	return key;
}
