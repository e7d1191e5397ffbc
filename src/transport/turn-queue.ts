/**
 * Shares the turns of the event loop among connections that have more to process than one piece.
 * In each turn it takes a bounded time for them, one piece of each at a time, so that what arrives
 * on other connections is processed soon.
 */
import {performance} from 'node:perf_hooks';

/** Time that one turn may take, in milliseconds. */
const turnMs = 5;

/** Processes one piece; returns whether there is more to process. */
export type PieceProcessor = {processPiece(): boolean};

/** The connections that wait for a turn. */
export class TurnQueue {
	private readonly waiting = new Set<PieceProcessor>();
	private isScheduled = false;

	/** @param now Returns the present time in milliseconds. */
	constructor(private readonly now = () => performance.now()) {}

	/** Lets a connection process its next piece in a later turn. */
	add(processor: PieceProcessor): void {
		this.waiting.add(processor);
		this.schedule();
	}

	private schedule(): void {
		if (!this.isScheduled && this.waiting.size > 0) {
			this.isScheduled = true;
			setImmediate(() => {
				this.isScheduled = false;
				this.runTurn();
				this.schedule();
			});
		}
	}

	private runTurn(): void {
		const endMs = this.now() + turnMs;
		for (const processor of this.waiting) {
			this.waiting.delete(processor);
			if (processor.processPiece()) {
				this.waiting.add(processor);
			}

			if (this.now() >= endMs) {
				return;
			}
		}
	}
}
