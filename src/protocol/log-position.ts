/**
 * Positions in the topics of the platform's store. A store that is restored from a copy loses its
 * last records and gives their offsets out again, so offsets are comparable within one era only.
 */

/** The place of a record, or of the end of a topic. */
export type LogPosition = {
	/** How often the store had been restored when the offset was given out. */
	era: number;
	offset: number;
};

/** Offsets by which a later era is ahead of an earlier one; a copy lacks far fewer records. */
const offsetsPerEra = 2 ** 20;

/** Returns a number that is higher for each later record, also over restores. */
export function toSequenceNumber({era, offset}: LogPosition): number {
	return (era * offsetsPerEra) + offset;
}
