/**
 * Reads server-sent events with `eventsource-parser`, and formats them.
 */
import {type Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** Yields the `data` of each event of a server-sent event stream, in order. */
export async function * readEvents(stream: Readable): AsyncGenerator<string> {
	const parsedEvents: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(event) {
			parsedEvents.push(event);
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of stream) {
		parser.feed(typeof chunk === 'string' ? chunk : decoder.decode(chunk as Uint8Array, {stream: true}));
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
