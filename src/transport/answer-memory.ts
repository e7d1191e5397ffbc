/** Bounds the memory that the answers of backend servers take together while they are buffered. */

/** Part of each answer that is buffered in any case, in bytes, so that sound answers are served while long ones fill the memory. */
const reservedBytes = 262_144;
/** Bytes of all answers together beyond these parts. */
const defaultSharedBytes = 16 * 1024 * 1024;

/** The memory for buffered answers of one daemon. */
export class AnswerMemory {
	private usedBytes = 0;

	constructor(private readonly sharedBytes = defaultSharedBytes) {}

	/** Returns whether an answer may grow from one length to another. */
	tryGrow(fromBytes: number, toBytes: number): boolean {
		const bytes = sharedPart(toBytes) - sharedPart(fromBytes);
		if (this.usedBytes + bytes > this.sharedBytes) {
			return false;
		}

		this.usedBytes += bytes;
		return true;
	}

	/** Releases the memory of an answer that has grown to a length. */
	release(bytes: number): void {
		this.usedBytes -= sharedPart(bytes);
	}
}

function sharedPart(bytes: number): number {
	return Math.max(0, bytes - reservedBytes);
}
