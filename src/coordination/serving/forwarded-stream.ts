/** Forwards one stream of events from an engine to a client; the engine may change on the way. */
import {type ServerResponse} from 'node:http';
import {type MovedRun, type MoveResult} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';
import {TransportError} from '../../transport/errors.js';
import {EventSplitter, type RawEvent} from '../../transport/event-splitter.js';
import {BodyPieces} from '../../transport/body-pieces.js';
import {type StartedAnswer} from './dispatcher.js';
import {filterForwardedHeaders} from './final-answers.js';
import {type ServedRequest} from './served-request.js';
import {StopOrders} from './stop-orders.js';

/** Longest event, in bytes. */
const maxEventBytes = 262_144;
/** Time after the last event of a run in which its end is noticed promptly, in milliseconds: engines need longer than that to start again. */
const promptEndMs = 500;
/** Most bytes of one run. */
const maxRunBytes = 16 * 1024 * 1024;

/** How one engine's run of the stream ended. */
export enum RunEnd {
	Complete = 'complete',
	Broken = 'broken',
	/** The engine sent bytes that are not events of the stream in ascending order, or too many. */
	Malformed = 'malformed',
	/** Events are missing between the last one delivered and the one received. */
	Gap = 'gap',
	/** The run is of another software version than the events delivered so far. */
	OtherVersion = 'other version',
	/** The daemon closed the run itself. */
	Interrupted = 'interrupted',
	/** The engine stopped the run, or may have, since it was ordered to. */
	Stopped = 'stopped',
}

/** Why the daemon closed a run itself. */
export enum InterruptCause {
	/** No event was received for too long. */
	Silent = 'silent',
	/** The engine is leaving, and the run cannot be moved. */
	Leaving = 'engine leaves',
	/** The engine has restarted and has lost the run. */
	Restarted = 'engine restarted',
	/** The request's deadline has passed. */
	Deadline = 'deadline',
	/** The request has become known to crash engines, and its answer has not begun. */
	Quarantined = 'quarantined',
}

/** What has been received of the body of one run. */
type ReceivedBody = {
	splitter: EventSplitter;
	pieces: BodyPieces;
	/** The number of the run's last event. */
	lastEventId: number;
	/** Bytes that are kept of an event that is not complete yet. */
	keptBytes: number;
};

/** A stream whose KV cache was moved to the target engine. */
export type MovedStream = {target: Backend; run: MovedRun};

/** A copy of a stream's KV cache at another engine, from which the stream may continue after its run at the source has ended. */
export type SpareCopy = MovedStream & {source: Backend};

/** A run that is being started at another engine to replace the current one. */
export type Takeover = {cause: InterruptCause; startedAtMs: number; abort: AbortController; run: Promise<StartedAnswer | undefined>};

/** A stream that is being forwarded, across all of its runs. */
export class ForwardedStream {
	/** The run whose events are being forwarded. */
	currentRun: StartedAnswer | undefined;
	/** When the last event was received, or the run began. */
	lastProgressAtMs = 0;
	/** When the first event of the stream was received. */
	firstEventAtMs: number | undefined;
	events = 0;
	/** Id of the last event delivered to the client. */
	lastEventId: string | undefined;
	/** Set while the run is being moved to another engine. */
	pendingMove: Promise<MovedStream | undefined> | undefined;
	/** Whether moving the run failed; its engine then serves it as long as it can. */
	hasMoveFailed = false;
	/** The orders that stop its runs. */
	readonly stopOrders = new StopOrders();
	/** The copy that was made before an order to stop the run, if it is not known what became of the order. */
	spareCopy: SpareCopy | undefined;
	/** Set while another engine is being asked to continue the stream. */
	takeover: Takeover | undefined;
	/** When another engine may be asked again after a takeover that did not come about. */
	nextTakeoverAtMs = Number.NEGATIVE_INFINITY;
	/** Whether it has been logged that no takeover is possible, so that this is logged once only. */
	hasLoggedNoTakeover = false;
	/** Whether reading from the engine of the last run was paused at some time. */
	private hasPausedReading = false;
	private interruptCause: InterruptCause | undefined;
	/** Cancels the attempt that waits for its answer. */
	private waitingAttempt = new AbortController();

	constructor(
		readonly served: ServedRequest,
		private readonly response: ServerResponse,
		private readonly onFirstEvent: () => void,
		private readonly now: () => number,
	) {}

	/** Whether reading from the engine is paused, since the client reads more slowly than events arrive. */
	get isPaused(): boolean {
		return this.response.writableNeedDrain;
	}

	get isHeadSent(): boolean {
		return this.response.headersSent;
	}

	/** Estimates the remaining time of the stream in milliseconds, from its event rate and the client's token estimate or maximum; undefined before there are two events, or without either token count. */
	expectedRemainingMs(tokensPerEvent: number): number | undefined {
		const {expectedOutputTokens, maxOutputTokens} = this.served.inputs.request;
		const tokens = expectedOutputTokens ?? maxOutputTokens;
		if (tokens === undefined || this.firstEventAtMs === undefined || this.events < 2) {
			return undefined;
		}

		const msPerEvent = (this.lastProgressAtMs - this.firstEventAtMs) / (this.events - 1);
		return Math.max(0, (tokens / tokensPerEvent) - this.events) * msPerEvent;
	}

	/** Whether the last run was closed for what its request does to engines, so that its engine is not to blame. */
	get isQuarantined(): boolean {
		return this.interruptCause === InterruptCause.Quarantined;
	}

	/** Whether the end of the last run may have been noticed long after it: the client reads slowly, or nothing arrived for a while. */
	get hasEndedLate(): boolean {
		return this.hasPausedReading || this.now() - this.lastProgressAtMs > promptEndMs;
	}

	/** Whether the last run was closed because its engine had restarted. */
	get hasEngineRestarted(): boolean {
		return this.interruptCause === InterruptCause.Restarted;
	}

	/** Closes the connection of the current run. */
	interrupt(cause: InterruptCause): void {
		if (this.currentRun) {
			this.interruptCause = cause;
			this.currentRun.abort.abort();
		}
	}

	/** Records that the engine of a run is ordered to stop it; returns a function that records the result, with a description of the answer. */
	noteStopOrder(run: StartedAnswer, description: string): (result: MoveResult, answer: string) => void {
		const noteResult = this.stopOrders.noteOrder(run);
		run.attempt.stopOrders ??= [];
		const descriptions = run.attempt.stopOrders;
		const index = descriptions.push(`${description} (no answer)`) - 1;
		return (result, answer) => {
			noteResult(result);
			descriptions[index] = `${description} (${answer})`;
		};
	}

	/** Returns the spare copy, which can be used once. */
	takeSpareCopy(): SpareCopy | undefined {
		const copy = this.spareCopy;
		this.spareCopy = undefined;
		return copy;
	}

	/** Returns the signal that cancels the next attempt until its answer begins. */
	createAttemptSignal(): AbortSignal {
		this.waitingAttempt = new AbortController();
		return this.waitingAttempt.signal;
	}

	/** Cancels the run in progress unless its answer has begun, since it would crash its engine. */
	cancelBeginning(): void {
		this.waitingAttempt.abort();
		if (this.currentRun?.attempt.writingSinceMs === undefined) {
			this.interrupt(InterruptCause.Quarantined);
		}
	}

	/** Waits for the takeover in progress; returns the run that another engine has started, if any. */
	async awaitTakeover(): Promise<StartedAnswer | undefined> {
		const run = await this.takeover?.run;
		this.takeover = undefined;
		return run;
	}

	/** Cancels a takeover that is not needed. */
	async cancelTakeover(): Promise<void> {
		this.takeover?.abort.abort();
		const run = await this.awaitTakeover();
		if (run) {
			closeRun(run);
		}
	}

	/** Describes how a run ended, why the daemon closed it if it did, and how long it had been silent. */
	describeEnd(end: RunEnd): string {
		const by = end === RunEnd.Interrupted ? `${end}, ${this.interruptCause}` : end;
		return `${by}, after ${this.events} events and ${Math.round(this.now() - this.lastProgressAtMs)} ms of silence`;
	}

	/** Writes the head of the engine's answer once: a stream that continues at another engine keeps the first head. */
	writeHead(run: StartedAnswer): void {
		if (!this.response.headersSent) {
			const {response: head} = run.answer;
			this.response.writeHead(run.answer.status, filterForwardedHeaders(head.rawHeaders));
		}
	}

	/** Forwards the events of one run until it ends. */
	async forwardRun(run: StartedAnswer): Promise<RunEnd> {
		const {answer} = run;
		const {response: source} = answer;
		const received: ReceivedBody = {
			splitter: new EventSplitter(), pieces: new BodyPieces(), lastEventId: -1, keptBytes: 0,
		};
		this.currentRun = run;
		this.interruptCause = undefined;
		this.hasMoveFailed = false;
		this.hasPausedReading = false;
		this.lastProgressAtMs = this.now();
		return new Promise((resolve, reject) => {
			let hasEnded = false;
			const end = (result: RunEnd) => {
				if (!hasEnded) {
					hasEnded = true;
					answer.tryKeep(received.keptBytes, 0);
					this.currentRun = undefined;
					run.running.end();
					if (result !== RunEnd.Complete) {
						answer.destroy();
					}

					resolve(result);
				}
			};

			source.on('data', (chunk: Uint8Array) => {
				try {
					const failure = hasEnded ? undefined : this.receive(chunk, received, run);
					if (failure) {
						end(failure);
					}
				} catch (error) {
					// Thrown in a listener, the error would end the process.
					reject(new TransportError('the events of a stream cannot be forwarded', {cause: error}));
					end(RunEnd.Broken);
				}

				if (hasEnded) {
					return;
				}

				if (this.response.writableNeedDrain) {
					this.hasPausedReading = true;
					source.pause();
					this.response.once('drain', () => {
						source.resume();
					});
				}
			});
			if (!this.served.fitsVersion(run.backend)) {
				end(RunEnd.OtherVersion);
				return;
			}

			const endAsBroken = () => {
				end(this.interruptCause === undefined ? RunEnd.Broken : RunEnd.Interrupted);
			};

			source.once('end', () => {
				// An answer that is closed while paused by a slow client ends as if it were complete, with its last events unread.
				const isClosed = this.interruptCause !== undefined || run.abort.signal.aborted;
				if (isClosed || !answer.isComplete || received.splitter.hasPartialEvent) {
					endAsBroken();
					return;
				}

				end(RunEnd.Complete);
			});
			source.once('error', endAsBroken);
			source.once('close', endAsBroken);
			if (source.destroyed) {
				// It broke off while the previous run was being closed.
				endAsBroken();
			}
		});
	}

	/** Forwards the events that a chunk of a run's body completes; returns how the run ends if the chunk is not part of the stream. */
	private receive(chunk: Uint8Array, received: ReceivedBody, run: StartedAnswer): RunEnd | undefined {
		const {splitter, pieces} = received;
		pieces.add(chunk, run.answer.response.socket.bytesRead);
		for (const event of splitter.push(chunk)) {
			const id = readEventId(event);
			// An event without an id belongs to no stream, and one that does not follow the event before it not to this run.
			const failure = id > received.lastEventId ? this.deliver(event, id, run) : RunEnd.Malformed;
			if (failure) {
				return failure;
			}

			received.lastEventId = id;
		}

		const {partialBytes} = splitter;
		if (partialBytes > maxEventBytes || pieces.bytes > maxRunBytes || pieces.areTooSmall || !run.answer.tryKeep(received.keptBytes, partialBytes)) {
			return RunEnd.Malformed;
		}

		received.keptBytes = partialBytes;
		return undefined;
	}

	/** Writes one event to the client, skipping those already delivered; returns how the run ends if the event does not follow them. */
	private deliver(event: RawEvent, id: number, run: StartedAnswer): RunEnd | undefined {
		this.lastProgressAtMs = this.now();
		run.attempt.writingSinceMs ??= this.lastProgressAtMs;
		if (this.lastEventId !== undefined) {
			const expected = Number(this.lastEventId) + 1;
			if (id < expected) {
				return undefined;
			}

			if (id > expected) {
				return RunEnd.Gap;
			}
		}

		this.served.noteDelivery(run.backend);
		if (this.events === 0) {
			this.firstEventAtMs = this.lastProgressAtMs;
			this.onFirstEvent();
		}

		run.running.notePrefilled();
		this.writeHead(run);
		this.events++;
		this.lastEventId = String(id);
		this.response.write(event.bytes);
		return undefined;
	}
}

/** Returns the number of an event; NaN if it has none. */
function readEventId({id}: RawEvent): number {
	const number = id === undefined || id === '' ? Number.NaN : Number(id);
	return Number.isSafeInteger(number) ? number : Number.NaN;
}

/** Closes a run that has started and whose events are not needed. */
export function closeRun({running, answer}: StartedAnswer): void {
	running.end();
	answer.destroy();
}
