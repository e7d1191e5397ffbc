/**
 * Reading and writing server-sent events. Reading uses `eventsource-parser`;
 * writing is the `data:` framing of the format.
 */
import {type Readable} from 'node:stream';
import {createParser, type EventSourceMessage} from 'eventsource-parser';

/** Yields the `data` of each event of a server-sent event stream, in order. */
export async function * readEvents(stream: Readable): AsyncGenerator<string> {
	const pending: EventSourceMessage[] = [];
	const parser = createParser({
		onEvent(event) {
			pending.push(event);
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of stream) {
		parser.feed(typeof chunk === 'string' ? chunk : decoder.decode(chunk as Uint8Array, {stream: true}));
		while (pending.length > 0) {
			yield pending.shift()!.data;
		}
	}
}

/** Frames one event, with the id a reconnecting reader gives back. */
export function formatEvent(data: string, id?: number): string {
	return id === undefined ? `data: ${data}\n\n` : `id: ${id}\ndata: ${data}\n\n`;
}

/** The event that ends an OpenAI stream. */
export const doneEvent = formatEvent('[DONE]');
