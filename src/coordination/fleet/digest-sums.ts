/** Reads, writes and adds the totals and counts that digests carry. */
import {type Digest} from '../../protocol/fleet-messages.js';
import {type UseTotals} from './merged-counters.js';

/** The totals of a digest. */
export function readUse(digest: Digest): UseTotals {
	return new Map(Object.entries(digest.use).map(([account, [admitted, refused]]) => [account, {admitted, refused}]));
}

/** Totals as messages carry them. */
export function writeUse(totals: UseTotals): Digest['use'] {
	return Object.fromEntries([...totals].map(([account, {admitted, refused}]) => [account, [admitted, refused]]));
}

/** Counts by key as messages carry them. */
export function packCounts(counts: ReadonlyMap<number, number>): number[] {
	return [...counts].flat();
}

/** Sums of packed counts, by key. */
export function sumCounts(packed: number[][]): Map<number, number> {
	const sums = new Map<number, number>();
	for (const counts of packed) {
		for (let index = 0; index < counts.length; index += 2) {
			sums.set(counts[index], (sums.get(counts[index]) ?? 0) + counts[index + 1]);
		}
	}

	return sums;
}
