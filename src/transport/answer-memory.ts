/**
 * Bounds the memory that the answers of backend servers take together while they are buffered.
 * The first bytes of each answer are free, so that short answers are served whatever others
 * take; longer ones and very long ones take theirs from a part each, so that very long answers
 * leave room for longer ones.
 */

/** Bytes of each answer that are free. */
const ownBytes = 8192;
/** Length from which on an answer is very long, in bytes. */
const longBytes = 262_144;
/** Bytes of all answers together between these lengths. */
const defaultMediumBytes = 16 * 1024 * 1024;
/** Bytes of all answers together beyond {@link longBytes}. */
const defaultLongBytes = 16 * 1024 * 1024;

/** The memory for buffered answers of one daemon. */
export class AnswerMemory {
	private mediumUsed = 0;
	private longUsed = 0;

	constructor(private readonly maxLong = defaultLongBytes, private readonly maxMedium = defaultMediumBytes) {}

	/** Changes the length of an answer, unless that takes more than what is left. */
	tryResize(fromBytes: number, toBytes: number): boolean {
		const medium = this.mediumUsed + mediumPart(toBytes) - mediumPart(fromBytes);
		const long = this.longUsed + longPart(toBytes) - longPart(fromBytes);
		if (toBytes > fromBytes && (medium > this.maxMedium || long > this.maxLong)) {
			return false;
		}

		this.mediumUsed = medium;
		this.longUsed = long;
		return true;
	}

	/** Releases the memory of an answer that has grown to a length. */
	release(bytes: number): void {
		this.tryResize(bytes, 0);
	}
}

function mediumPart(bytes: number): number {
	return Math.min(longBytes, Math.max(ownBytes, bytes)) - ownBytes;
}

function longPart(bytes: number): number {
	return Math.max(0, bytes - longBytes);
}
