/**
 * Splits a stream of server-sent events into complete events without changing a byte, so
 * that a stream that ends within an event can be resumed at another backend server with
 * the next complete event.
 */
import {Buffer} from 'node:buffer';
import {GrowingBuffer} from './growing-buffer.js';

/** One event as received, with the blank line that ends it. */
export type RawEvent = {
	bytes: Uint8Array;
	/** The event's id, if it has one. */
	id: string | undefined;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

function readId(bytes: Uint8Array): string | undefined {
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
	return /(?:^|\n)id: ?([^\r\n]*)/v.exec(text)?.[1];
}

/** Splits one stream; each byte is scanned once, however the bytes are divided into chunks. */
export class EventSplitter {
	private partialEvent = new GrowingBuffer();
	/** Number of bytes in the current line, and whether its first byte is a carriage return. */
	private lineLength = 0;
	private beginsWithReturn = false;

	/** Number of bytes of the event that is not complete yet. */
	get partialBytes(): number {
		return this.partialEvent.length;
	}

	/** Whether the bytes so far end within an event. */
	get hasPartialEvent(): boolean {
		return this.partialEvent.length > 0;
	}

	/** Adds the next bytes and yields the events that they complete; those after one at which the caller stops are lost. */
	* push(chunk: Uint8Array): Generator<RawEvent, void> {
		let start = 0;
		let lineStart = 0;
		for (let end = chunk.indexOf(lineFeed); end !== -1; end = chunk.indexOf(lineFeed, lineStart)) {
			this.noteLine(chunk, lineStart, end);
			const isBlank = this.lineLength === 0 || (this.lineLength === 1 && this.beginsWithReturn);
			lineStart = end + 1;
			this.lineLength = 0;
			if (isBlank) {
				yield this.completeEvent(chunk.subarray(start, lineStart));
				start = lineStart;
			}
		}

		this.noteLine(chunk, lineStart, chunk.length);
		if (start < chunk.length) {
			this.partialEvent.append(chunk.subarray(start));
		}
	}

	/** Counts the bytes of a chunk that belong to the current line. */
	private noteLine(chunk: Uint8Array, start: number, end: number): void {
		if (this.lineLength === 0) {
			this.beginsWithReturn = end > start && chunk[start] === carriageReturn;
		}

		this.lineLength += end - start;
	}

	private completeEvent(lastBytes: Uint8Array): RawEvent {
		let bytes = lastBytes;
		if (this.hasPartialEvent) {
			this.partialEvent.append(lastBytes);
			({bytes} = this.partialEvent);
			this.partialEvent = new GrowingBuffer();
		}

		return {bytes, id: readId(bytes)};
	}
}
