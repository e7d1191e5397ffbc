/**
 * Reorders, duplicates or delays the chunks of a stream that the engine stand-in sends, so
 * that tests can check that callers still receive the whole answer in order.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type EngineChunk} from '../protocol/engine-api.js';

/** The ways in which chunks are scrambled. */
export enum ScrambleMode {
	/** Each group of four chunks is sent in reverse order. */
	Reorder = 'reorder',
	/** Each chunk is sent twice. */
	Duplicate = 'duplicate',
	/** Every third chunk is sent late, after the chunks that follow it. */
	Delay = 'delay',
}

const reorderGroupSize = 4;
const lateChunkDelayMs = 60;

/** Scrambles the chunks of one stream. */
export class ChunkScrambler {
	private heldChunks: EngineChunk[] = [];

	constructor(
		private readonly mode: ScrambleMode,
		private readonly write: (chunk: EngineChunk) => void,
	) {}

	/** Sends a chunk, now or later, as the mode says. */
	push(chunk: EngineChunk): void {
		switch (this.mode) {
			case ScrambleMode.Reorder: {
				this.heldChunks.push(chunk);
				if (this.heldChunks.length >= reorderGroupSize) {
					this.flush();
				}

				break;
			}

			case ScrambleMode.Duplicate: {
				this.write(chunk);
				this.write(chunk);
				break;
			}

			case ScrambleMode.Delay: {
				if (chunk.seq % 3 === 2) {
					void this.writeDelayed(chunk);
				} else {
					this.write(chunk);
				}

				break;
			}
		}
	}

	/** Sends all chunks that are held back, so that the stream can end. */
	flush(): void {
		for (const chunk of this.heldChunks.toReversed()) {
			this.write(chunk);
		}

		this.heldChunks = [];
	}

	private async writeDelayed(chunk: EngineChunk): Promise<void> {
		this.heldChunks.push(chunk);
		await delay(lateChunkDelayMs);
		const index = this.heldChunks.indexOf(chunk);
		if (index !== -1) {
			this.heldChunks.splice(index, 1);
			this.write(chunk);
		}
	}
}
