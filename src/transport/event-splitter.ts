/**
 * Splits a server-sent event stream into whole events without changing a byte, so that a
 * stream that stops in the middle of an event can go on elsewhere with the next one.
 */
import {Buffer} from 'node:buffer';

/** One event as it came, with the blank line that ends it. */
export type RawEvent = {
	bytes: Uint8Array;
	/** Its id, where it has one. */
	id: string | undefined;
};

const lineFeed = 0x0A;
const carriageReturn = 0x0D;

function readId(bytes: Uint8Array): string | undefined {
	const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1');
	return /(?:^|\n)id: ?([^\r\n]*)/v.exec(text)?.[1];
}

/** The splitter of one stream. */
export class EventSplitter {
	private pending: Uint8Array = new Uint8Array();

	/** Whether part of an event is still waiting for its end. */
	get hasPartial(): boolean {
		return this.pending.length > 0;
	}

	/** Takes the next bytes and returns the events that are whole now. */
	push(chunk: Uint8Array): RawEvent[] {
		const bytes = this.pending.length === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.pending, chunk]);
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

		this.pending = bytes.subarray(start);
		return events;
	}

	/** Drops a partial event. */
	reset(): void {
		this.pending = new Uint8Array();
	}
}
