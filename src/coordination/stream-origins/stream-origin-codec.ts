/** Packs the origins of streams for datagrams and for the store: few origins, and for each stream its key and the index of its origin. */
import {type PackedStreamOrigins, type StreamOriginEntry} from '../../protocol/fleet-messages.js';

/** Packs entries; each takes some ten bytes when encoded. */
export function packOrigins(entries: StreamOriginEntry[]): PackedStreamOrigins {
	const origins: PackedStreamOrigins['origins'] = [];
	const indexes = new Map<string, number>();
	const streams: number[] = [];
	for (const [key, {service, version}] of entries) {
		const id = JSON.stringify([service, version]);
		let index = indexes.get(id);
		if (index === undefined) {
			index = origins.push([service, version]) - 1;
			indexes.set(id, index);
		}

		streams.push(key, index);
	}

	return {origins, streams};
}

/** Unpacks entries. */
export function unpackOrigins({origins, streams}: PackedStreamOrigins): StreamOriginEntry[] {
	const entries: StreamOriginEntry[] = [];
	for (let position = 0; position < streams.length; position += 2) {
		const [service, version] = origins[streams[position + 1]];
		entries.push([streams[position], {service, version}]);
	}

	return entries;
}
