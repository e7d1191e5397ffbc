/** Detects bodies in pieces of a few bytes without end, whose processing costs far more than that of their bytes. */

/** Number of pieces in one read of the socket, and in a whole body, up to which their size does not matter. */
const toleratedInRead = 1024;
const toleratedInBody = 16_384;
/** Least mean size of the pieces beyond that, in bytes. */
const minMeanBytes = 16;

/** The pieces of one body so far. */
export class BodyPieces {
	bytes = 0;
	private count = 0;
	private readPosition = 0;
	private bytesInRead = 0;
	private countInRead = 0;

	/** Whether the pieces are many and small. */
	get areTooSmall(): boolean {
		return (this.countInRead > toleratedInRead && this.bytesInRead < this.countInRead * minMeanBytes) || (this.count > toleratedInBody && this.bytes < this.count * minMeanBytes);
	}

	/** @param readPosition Number of bytes that the socket has read so far. */
	add(piece: Uint8Array, readPosition: number): void {
		if (readPosition !== this.readPosition) {
			this.readPosition = readPosition;
			this.bytesInRead = 0;
			this.countInRead = 0;
		}

		this.bytes += piece.length;
		this.count++;
		this.bytesInRead += piece.length;
		this.countInRead++;
	}
}
