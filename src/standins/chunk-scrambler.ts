/**
 * Scrambles the chunks of one stream on the way out of the engine stand-in, so that
 * tests can show that callers still get their whole answer in order.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type EngineChunk} from '../protocol/engine-api.js';

/** How chunks are scrambled. */
export enum ScrambleMode {
	/** Groups of four leave in reverse order. */
	Reorder = 'reorder',
	/** Each chunk leaves twice. */
	Duplicate = 'duplicate',
	/** Every third chunk leaves late, after its successors. */
	Delay = 'delay',
}

const groupSize = 4;
const delayMs = 60;

/** One stream's scrambler. */
export class ChunkScrambler {
	private group: EngineChunk[] = [];

	constructor(
		private readonly mode: ScrambleMode,
		private readonly write: (chunk: EngineChunk) => void,
	) {}

	push(chunk: EngineChunk): void {
		switch (this.mode) {
			case ScrambleMode.Reorder: {
				this.group.push(chunk);
				if (this.group.length >= groupSize) {
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
					void this.writeLate(chunk);
				} else {
					this.write(chunk);
				}

				break;
			}
		}
	}

	/** Sends what is held back, so that the stream can end. */
	flush(): void {
		for (const chunk of this.group.toReversed()) {
			this.write(chunk);
		}

		this.group = [];
	}

	private async writeLate(chunk: EngineChunk): Promise<void> {
		this.group.push(chunk);
		await delay(delayMs);
		const index = this.group.indexOf(chunk);
		if (index !== -1) {
			this.group.splice(index, 1);
			this.write(chunk);
		}
	}
}
