/**
 * Reorders the chunks of one run by their sequence numbers. Chunks from an engine may
 * arrive late, out of order or more than once.
 */
import {type EngineChunk} from '../protocol/engine-api.js';
import {CoordinationError} from './errors.js';

/** Maximum number of chunks buffered for one run while an earlier one is missing; beyond it the run fails. */
export const maxBufferedChunks = 1024;

/** The reorder buffer of one run. */
export class ChunkSequencer {
	private readonly buffered = new Map<number, EngineChunk>();

	/** @param next The sequence number of the first chunk to return. */
	constructor(private next: number) {}

	/**
	 * Accepts a chunk in order of arrival.
	 *
	 * @returns The chunks that can now be delivered, in order; duplicates are dropped.
	 * @throws {CoordinationError} When more than {@link maxBufferedChunks} chunks wait for a missing one.
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
