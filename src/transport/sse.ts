/**
 * Reads server-sent events with `eventsource-parser`, and formats them.
 */
import {type Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {TransportError} from './errors.js';

/** Most bytes that are read without a complete event. */
const maxEventBytes = 1024 * 1024;

/**
 * Yields the `data` of each event of a server-sent event stream, in order.
 *
 * @throws {TransportError} When too many bytes arrive without a complete event.
 */
export async function * readEvents(stream: Readable): AsyncGenerator<string> {
	const parsedEvents: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(event) {
			parsedEvents.push(event);
		},
	});
	const decoder = new TextDecoder();
	let bytesSinceEvent = 0;
	for await (const chunk of stream) {
		bytesSinceEvent += (chunk as string | Uint8Array).length;
		parser.feed(typeof chunk === 'string' ? chunk : decoder.decode(chunk as Uint8Array, {stream: true}));
		if (parsedEvents.length > 0) {
			bytesSinceEvent = 0;
		} else if (bytesSinceEvent > maxEventBytes) {
			throw new TransportError(`${maxEventBytes} bytes without a complete event`);
		}

		while (parsedEvents.length > 0) {
			yield parsedEvents.shift()!.data;
		}
	}
}

/** Formats one event; a reconnecting client sends its id back as `Last-Event-ID`. */
export function formatEvent(data: string, id?: number): string {
	return id === undefined ? `data: ${data}\n\n` : `id: ${id}\ndata: ${data}\n\n`;
}

/** The event that ends a stream of the OpenAI API. */
export const doneEvent = formatEvent('[DONE]');
