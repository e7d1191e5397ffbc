/** Collects bytes in one buffer, so that memory follows the number of bytes and not that of the chunks, each of which costs far more than its bytes when it is small. */
import {Buffer} from 'node:buffer';

const initialCapacity = 4096;

/** A buffer to which bytes are appended. */
export class GrowingBuffer {
	length = 0;
	private buffer = Buffer.alloc(0);

	/** The bytes so far; later calls of other methods may change them. */
	get bytes(): Uint8Array {
		return this.buffer.subarray(0, this.length);
	}

	append(chunk: Uint8Array): void {
		const length = this.length + chunk.length;
		if (length > this.buffer.length) {
			const grown = Buffer.allocUnsafe(Math.max(length, 2 * this.buffer.length, initialCapacity));
			this.buffer.copy(grown, 0, 0, this.length);
			this.buffer = grown;
		}

		this.buffer.set(chunk, this.length);
		this.length = length;
	}
}
