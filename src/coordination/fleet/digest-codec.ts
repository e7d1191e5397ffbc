/** Encodes, decodes and adds up the totals and counts of digests. */
import {type Digest} from '../../protocol/fleet-messages.js';
import {type UseTotals} from './merged-counters.js';

/** Decodes the totals of a digest. */
export function readUse(digest: Digest): UseTotals {
	return new Map(Object.entries(digest.use).map(([account, [admitted, refused]]) => [account, {admitted, refused}]));
}

/** Encodes totals as they stand in messages. */
export function writeUse(totals: UseTotals): Digest['use'] {
	return Object.fromEntries([...totals].map(([account, {admitted, refused}]) => [account, [admitted, refused]]));
}

/** Encodes counts by key as they stand in messages: keys and counts alternate. */
export function packCounts(counts: ReadonlyMap<number, number>): number[] {
	return [...counts].flat();
}

/** Adds up encoded counts, by key. */
export function sumPackedCounts(packed: number[][]): Map<number, number> {
	const sums = new Map<number, number>();
	for (const counts of packed) {
		for (let index = 0; index < counts.length; index += 2) {
			sums.set(counts[index], (sums.get(counts[index]) ?? 0) + counts[index + 1]);
		}
	}

	return sums;
}
