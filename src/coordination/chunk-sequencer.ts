/**
 * Puts the chunks of one run back in order by their sequence numbers. Between an engine
 * and the gateway chunks may come late, out of order or twice.
 */
import {type EngineChunk} from '../protocol/engine-api.js';
import {CoordinationError} from './errors.js';

/** Chunks held for one run while an earlier one is missing; more than this is a broken run. */
export const maxBufferedChunks = 1024;

/** The reorder buffer of one run. */
export class ChunkSequencer {
	private readonly buffered = new Map<number, EngineChunk>();

	/** @param next The sequence number that is due first. */
	constructor(private next: number) {}

	/**
	 * Takes a chunk in whatever order it came.
	 *
	 * @returns The chunks now due, in order; repeats are dropped.
	 * @throws {CoordinationError} When too many chunks wait for a missing one.
	 */
	accept(chunk: EngineChunk): EngineChunk[] {
		if (chunk.seq < this.next) {
			return [];
		}

		this.buffered.set(chunk.seq, chunk);
		const due: EngineChunk[] = [];
		for (let next = this.buffered.get(this.next); next; next = this.buffered.get(this.next)) {
			this.buffered.delete(this.next);
			this.next++;
			due.push(next);
		}

		if (this.buffered.size > maxBufferedChunks) {
			throw new CoordinationError(`${this.buffered.size} chunks wait for chunk ${this.next}`);
		}

		return due;
	}
}
