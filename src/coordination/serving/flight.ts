/** One stream on its way from an engine to a client. */
import {type ServerResponse} from 'node:http';
import {type MovedRun} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';
import {EventSplitter, type RawEvent} from '../../transport/event-splitter.js';
import {type BegunAnswer} from './dispatcher.js';
import {passedHeaders} from './final-answers.js';
import {type ServedRequest} from './served-request.js';

/** How the bytes of one engine ended. */
export enum PumpEnd {
	Complete = 'complete',
	Broken = 'broken',
	/** Events are missing between what was delivered and what came. */
	Gap = 'gap',
	/** The daemon ended the run itself. */
	Interrupted = 'interrupted',
}

/** Why the daemon ended a run itself. */
export enum InterruptCause {
	/** No event came for too long. */
	Silent = 'silent',
	/** The engine leaves, and the run cannot be moved. */
	Leaving = 'engine leaves',
	/** The engine has started anew, and holds nothing of the run. */
	Ended = 'engine restarted',
	/** The request's time is over. */
	Deadline = 'deadline',
}

/** A run whose KV cache was moved to another engine. */
export type Moved = {target: Backend; run: MovedRun};

/** A run that is being started in place of the one in progress. */
export type Takeover = {cause: InterruptCause; startedAtMs: number; abort: AbortController; begun: Promise<BegunAnswer | undefined>};

/** The state of one stream. */
export class Flight {
	/** The run in progress. */
	begun: BegunAnswer | undefined;
	/** When the last event came, or the run began. */
	progressAtMs = 0;
	/** When the first event of the stream came. */
	firstEventAtMs: number | undefined;
	events = 0;
	/** Id of the last event delivered. */
	lastEventId: string | undefined;
	/** Set while the run is being moved. */
	moving: Promise<Moved | undefined> | undefined;
	/** Whether it could not be moved; its engine then serves it as long as it can. */
	hasMoveFailed = false;
	/** Set while another engine is asked to go on with it. */
	takeover: Takeover | undefined;
	/** Whether the log says that it stays at its engine since nothing can take it over. */
	isKept = false;
	private interruptCause: InterruptCause | undefined;

	constructor(
		readonly served: ServedRequest,
		private readonly response: ServerResponse,
		private readonly onFirstEvent: () => void,
		private readonly now: () => number,
	) {}

	/** Whether the client takes events more slowly than they come, so that none is read from the engine. */
	get isPaused(): boolean {
		return this.response.writableNeedDrain;
	}

	get isHeadSent(): boolean {
		return this.response.headersSent;
	}

	/** Milliseconds that the stream should still take, from its pace and the client's estimate; undefined before it has a pace. */
	expectedRemainingMs(tokensPerEvent: number): number | undefined {
		const {expectedOutputTokens, maxOutputTokens} = this.served.inputs.request;
		const tokens = expectedOutputTokens ?? maxOutputTokens;
		if (tokens === undefined || this.firstEventAtMs === undefined || this.events < 2) {
			return undefined;
		}

		const msPerEvent = (this.progressAtMs - this.firstEventAtMs) / (this.events - 1);
		return Math.max(0, (tokens / tokensPerEvent) - this.events) * msPerEvent;
	}

	/** Whether the last run was ended since its engine had started anew. */
	get hasEngineEnded(): boolean {
		return this.interruptCause === InterruptCause.Ended;
	}

	/** Closes the connection of the run in progress. */
	interrupt(cause: InterruptCause): void {
		if (this.begun) {
			this.interruptCause = cause;
			this.begun.abort.abort();
		}
	}

	/** Takes the run that another engine has begun in place of the last one, once it is known whether it does. */
	async takeTakeover(): Promise<BegunAnswer | undefined> {
		const begun = await this.takeover?.begun;
		this.takeover = undefined;
		return begun;
	}

	/** Ends a takeover that is not needed. */
	async dropTakeover(): Promise<void> {
		this.takeover?.abort.abort();
		const begun = await this.takeTakeover();
		if (begun) {
			closeRun(begun);
		}
	}

	/** Says how a run ended, by whom, and how long it had been silent. */
	describeEnd(end: PumpEnd): string {
		const by = end === PumpEnd.Interrupted ? `${end}, ${this.interruptCause}` : end;
		return `${by}, after ${this.events} events and ${Math.round(this.now() - this.progressAtMs)} ms of silence`;
	}

	/** Passes the events of one run on until it ends. */
	async pump(begun: BegunAnswer): Promise<PumpEnd> {
		const {answer} = begun;
		const {response: source} = answer;
		const splitter = new EventSplitter();
		this.begun = begun;
		this.interruptCause = undefined;
		this.hasMoveFailed = false;
		this.progressAtMs = this.now();
		return new Promise(resolve => {
			let isOver = false;
			const end = (result: PumpEnd) => {
				if (!isOver) {
					isOver = true;
					this.begun = undefined;
					begun.running.end();
					if (result !== PumpEnd.Complete) {
						answer.destroy();
					}

					resolve(result);
				}
			};

			source.on('data', (chunk: Uint8Array) => {
				for (const event of isOver ? [] : splitter.push(chunk)) {
					if (!this.deliver(event, begun)) {
						end(PumpEnd.Gap);
						return;
					}
				}

				if (this.response.writableNeedDrain) {
					source.pause();
					this.response.once('drain', () => {
						source.resume();
					});
				}
			});
			const breakOff = () => {
				end(this.interruptCause === undefined ? PumpEnd.Broken : PumpEnd.Interrupted);
			};

			source.once('end', () => {
				// An answer that is closed while its client holds it back ends as if it were whole, its last events unread.
				const isClosed = this.interruptCause !== undefined || begun.abort.signal.aborted;
				if (isClosed || !answer.isWhole || splitter.hasPartial) {
					breakOff();
					return;
				}

				// A resumed stream may have no event left, and is still the engine's answer.
				this.writeHead(begun);
				end(PumpEnd.Complete);
			});
			source.once('error', breakOff);
			source.once('close', breakOff);
			if (source.destroyed) {
				// It broke off while the run before it was being ended.
				breakOff();
			}
		});
	}

	/** Writes the engine's head, once: a stream that goes on elsewhere keeps the first one. */
	private writeHead(begun: BegunAnswer): void {
		if (!this.response.headersSent) {
			const {response: head} = begun.answer;
			this.response.writeHead(begun.answer.status, head.statusMessage ?? '', passedHeaders(head.rawHeaders));
		}
	}

	/** Delivers one event in order; false when one before it is missing. */
	private deliver(event: RawEvent, begun: BegunAnswer): boolean {
		this.progressAtMs = this.now();
		if (event.id !== undefined && this.lastEventId !== undefined) {
			const expected = Number(this.lastEventId) + 1;
			if (Number(event.id) < expected) {
				return true;
			}

			if (Number(event.id) > expected) {
				return false;
			}
		}

		if (this.events === 0) {
			this.firstEventAtMs = this.progressAtMs;
			this.onFirstEvent();
		}

		begun.running.noteRead();
		this.writeHead(begun);
		this.events++;
		this.lastEventId = event.id ?? this.lastEventId;
		this.response.write(event.bytes);
		return true;
	}
}

/** Closes a run that has begun and whose events nobody reads. */
export function closeRun({running, answer}: BegunAnswer): void {
	running.end();
	answer.destroy();
}
