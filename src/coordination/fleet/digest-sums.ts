/** Reads, writes and adds the totals and counts that digests carry. */
import {type Digest, type SentLoad} from '../../protocol/fleet-messages.js';
import {type UseTotals} from './merged-counters.js';

/** The totals of a digest. */
export function readUse(digest: Digest): UseTotals {
	return new Map(Object.entries(digest.use).map(([account, [admitted, refused]]) => [account, {admitted, refused}]));
}

/** Totals as messages carry them. */
export function writeUse(totals: UseTotals): Digest['use'] {
	return Object.fromEntries([...totals].map(([account, {admitted, refused}]) => [account, [admitted, refused]]));
}

/** Prompt tokens are told in units of this many: a tenth of the shortest prompts' reading time, which the news are late by anyway. */
const tokenUnit = 100;

/** Loads by key as messages carry them. */
export function packLoads(loads: ReadonlyMap<number, SentLoad>): number[] {
	return [...loads].flatMap(([key, {inFlight, unreadTokens}]) => [key, inFlight, Math.round(unreadTokens / tokenUnit)]);
}

/** Sums of packed loads, by key. */
export function sumLoads(packed: number[][]): Map<number, SentLoad> {
	const sums = new Map<number, SentLoad>();
	for (const loads of packed) {
		for (let index = 0; index + 2 < loads.length; index += 3) {
			const sum = sums.get(loads[index]) ?? {inFlight: 0, unreadTokens: 0};
			sum.inFlight += loads[index + 1];
			sum.unreadTokens += loads[index + 2] * tokenUnit;
			sums.set(loads[index], sum);
		}
	}

	return sums;
}
