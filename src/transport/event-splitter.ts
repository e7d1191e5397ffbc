/**
 * Splits a stream of server-sent events into complete events without changing a byte, so
 * that a stream that ends within an event can be resumed at another backend server with
 * the next complete event.
 */
import {Buffer} from 'node:buffer';

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

/** Splits one stream. */
export class EventSplitter {
	private partialEvent: Uint8Array = new Uint8Array();

	/** Whether the bytes so far end within an event. */
	get hasPartialEvent(): boolean {
		return this.partialEvent.length > 0;
	}

	/** Adds the next bytes and returns the events that they complete. */
	push(chunk: Uint8Array): RawEvent[] {
		const bytes = this.partialEvent.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.partialEvent, chunk]);
		const events: RawEvent[] = [];
		let start = 0;
		let lineStart = 0;
		for (let end = bytes.indexOf(lineFeed); end !== -1; end = bytes.indexOf(lineFeed, lineStart)) {
			const isBlank = end === lineStart || (end === lineStart + 1 && bytes[lineStart] === carriageReturn);
			lineStart = end + 1;
			if (isBlank) {
				const event = bytes.subarray(start, lineStart);
				events.push({bytes: event, id: readId(event)});
				start = lineStart;
			}
		}

		this.partialEvent = bytes.subarray(start);
		return events;
	}

	/** Discards a partial event. */
	reset(): void {
		this.partialEvent = new Uint8Array();
	}
}
