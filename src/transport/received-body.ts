/** Collects a body that is being received, with little more memory than its bytes. */
import {Buffer} from 'node:buffer';

/** Share of its buffer that a long chunk must take to be kept as it is: a shorter one would keep the whole buffer. */
const minBufferShare = 0.5;
/** Lengths of the blocks into which shorter chunks are copied, in bytes; they grow with the body. */
const minBlockBytes = 4096;
const maxBlockBytes = 16_384;

/** A body that is being received. */
export class ReceivedBody {
	length = 0;
	private readonly parts: Uint8Array[] = [];
	/** The block that is being filled, and the number of bytes in it. */
	private block: Uint8Array = Buffer.alloc(0);
	private blockLength = 0;

	/** @param expectedBytes The length in the end, beyond which no memory is taken ahead. */
	constructor(private readonly expectedBytes = Number.POSITIVE_INFINITY) {}

	append(chunk: Uint8Array): void {
		if (chunk.length >= minBlockBytes && chunk.length >= chunk.buffer.byteLength * minBufferShare) {
			this.endBlock();
			this.parts.push(chunk);
		} else {
			this.copy(chunk);
		}

		this.length += chunk.length;
	}

	/** Returns the whole body, and forgets it. */
	take(): Uint8Array {
		this.endBlock();
		const [first = Buffer.alloc(0), ...others] = this.parts;
		const body = others.length === 0 ? first : Buffer.concat(this.parts, this.length);
		this.clear();
		return body;
	}

	/** Forgets what has been received. */
	clear(): void {
		this.parts.length = 0;
		this.block = Buffer.alloc(0);
		this.blockLength = 0;
		this.length = 0;
	}

	private copy(chunk: Uint8Array): void {
		let rest = chunk;
		while (rest.length > 0) {
			if (this.blockLength === this.block.length) {
				this.endBlock();
				const expectedRest = this.expectedBytes - this.length - (chunk.length - rest.length);
				this.block = Buffer.allocUnsafeSlow(Math.min(Math.max(1, expectedRest), maxBlockBytes, Math.max(minBlockBytes, this.length)));
			}

			const copied = rest.subarray(0, this.block.length - this.blockLength);
			this.block.set(copied, this.blockLength);
			this.blockLength += copied.length;
			rest = rest.subarray(copied.length);
		}
	}

	private endBlock(): void {
		if (this.blockLength > 0) {
			this.parts.push(this.block.subarray(0, this.blockLength));
			this.block = Buffer.alloc(0);
			this.blockLength = 0;
		}
	}
}
