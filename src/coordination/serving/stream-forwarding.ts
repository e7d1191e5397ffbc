/**
 * Forwards streams. Nothing is sent to the client before the first event, so that an earlier
 * failure can still be answered with an error status. A stream that breaks off later continues
 * at another engine: from its moved KV cache if there is one, otherwise with a new run after
 * the last event delivered, if the route allows that.
 */
import {type ServerResponse} from 'node:http';
import {RetryPurpose} from '../retry-budget.js';
import {type BufferedAnswer} from './unary-forwarding.js';
import {
	type StartedAnswer, type Dispatcher, DispatchKind, type DispatchOptions, type FailedDispatch, isFinal,
} from './dispatcher.js';
import {
	closeRun, ForwardedStream, InterruptCause, type MovedStream, RunEnd,
} from './forwarded-stream.js';
import {type ServedRequest} from './served-request.js';
import {type StreamRegistry} from './stream-registry.js';

/** Soft timeout for a resumable stream's answer to begin, after which it is retried on a reserved engine; a multiple of the route's latency target. */
const softTimeoutLatencyFactor = 3;
/** Longest answer other than a stream that is buffered, in bytes. */
const maxAnswerBytes = 1024 * 1024;
/** A stream with no more remaining time than this is not sent, in milliseconds. */
const minRemainingMs = 20;

/** How a stream ended. */
export type StreamResult
	= | {kind: 'complete'; events: number}
	/** An answer other than a stream, to be passed on as it is. */
		| {kind: 'answer'; answer: BufferedAnswer}
		| {kind: 'not-run'; reason: string}
		| {kind: 'unknown'; reason: string}
	/** The stream broke off after the head of its answer was sent to the client. */
		| {kind: 'broken'; reason: string; events: number};

/** Forwards one stream. */
export async function forwardStream(dependencies: {dispatcher: Dispatcher; registry: StreamRegistry; now: () => number}, served: ServedRequest, response: ServerResponse, onFirstEvent: () => void): Promise<StreamResult> {
	const {dispatcher, registry, now} = dependencies;
	const stream = new ForwardedStream(served, response, onFirstEvent, now);
	stream.lastEventId = served.inputs.request.lastEventId;
	const deadline = setTimeout(() => {
		stream.interrupt(InterruptCause.Deadline);
	}, Math.max(0, served.remainingMs(now())));
	registry.add(stream);
	try {
		return await runStream(dispatcher, stream, now);
	} finally {
		clearTimeout(deadline);
		registry.remove(stream);
		await stream.cancelTakeover();
		dispatcher.reservations.release(served);
	}
}

/** Runs a stream on one engine after another, until it has ended or no further run is allowed. */
async function runStream(dispatcher: Dispatcher, stream: ForwardedStream, now: () => number): Promise<StreamResult> {
	const {served} = stream;
	let next: Partial<DispatchOptions> = {};
	let reason = 'no time left';
	let errorAnswer: BufferedAnswer | undefined;
	let takenOver: StartedAnswer | undefined;
	let isStopped = false;
	while (served.remainingMs(now()) > minRemainingMs && !served.inputs.signal.aborted) {
		// eslint-disable-next-line no-await-in-loop -- one engine after the other.
		const dispatched: StartedAnswer | FailedDispatch = takenOver ?? await dispatcher.send(served, {
			purpose: RetryPurpose.Retry, firstByteTimeoutMs: served.remainingMs(now()), softTimeoutMs: calculateSoftTimeoutMs(served, stream), lastEventId: stream.lastEventId, signal: stream.createAttemptSignal(), ...next,
		});
		takenOver = undefined;
		isStopped = false;
		if (dispatched.kind !== DispatchKind.Answer && isFinal(dispatched.kind)) {
			({reason} = dispatched);
			break;
		}

		if (dispatched.kind === DispatchKind.Answer) {
			// eslint-disable-next-line no-await-in-loop
			const end = await forwardAnswer(dispatcher, dispatched, stream, now);
			if (end.kind === 'complete') {
				dispatcher.recordCompletedRun(served, dispatched.backend, dispatched.attempt);
				return end;
			}

			if (end.kind === 'ended' && end.isBroken) {
				dispatcher.recordBrokenRun(served, dispatched.backend, dispatched.attempt);
			}

			errorAnswer = end.kind === 'answer' ? end.answer : errorAnswer;
			reason = end.kind === 'answer' ? `failed with ${end.answer.status}` : end.reason;
			isStopped = end.kind === 'ended' && end.isStopped;
			if (!stream.isQuarantined && !isStopped) {
				dispatcher.recordFailure(served, dispatched.backend.id);
			}
		} else {
			({reason} = dispatched);
		}

		// eslint-disable-next-line no-await-in-loop
		const pending = await awaitMove(stream);
		// eslint-disable-next-line no-await-in-loop
		takenOver = await stream.awaitTakeover();
		if (takenOver) {
			continue;
		}

		const moved = pending ?? (isStopped ? stream.takeSpareCopy() : undefined);
		if (moved) {
			next = {target: moved.target, kvSource: moved.run.kvSource, purpose: RetryPurpose.Move};
		} else if (served.mayHaveRun && !served.canRunAgain) {
			break;
		} else {
			next = stream.events > 0 ? {purpose: RetryPurpose.Move} : {};
		}
	}

	if (takenOver) {
		// It started too late to be of use.
		closeRun(takenOver);
	}

	if (stream.isHeadSent) {
		return {kind: 'broken', reason, events: stream.events};
	}

	if (errorAnswer) {
		return {kind: 'answer', answer: errorAnswer};
	}

	return served.mayHaveRun ? {kind: 'unknown', reason} : {kind: 'not-run', reason};
}

/** The result of one run: complete, an answer other than a stream, or ended early. */
type RunResult = Extract<StreamResult, {kind: 'complete' | 'answer'}> | {kind: 'ended'; reason: string; isBroken: boolean; isStopped: boolean};

/** Forwards the events of one run, or reads its error answer. */
async function forwardAnswer(dispatcher: Dispatcher, started: StartedAnswer, stream: ForwardedStream, now: () => number): Promise<RunResult> {
	const {attempt} = started;
	const {status} = started.answer;
	if (status >= 200 && status < 300) {
		const end = await checkEnd(dispatcher, started, stream, await stream.forwardRun(started));
		attempt.result = stream.describeEnd(end);
		if (end === RunEnd.Complete) {
			// A resumed stream may have no events left, and its answer is complete all the same.
			stream.writeHead(started);
			return {kind: 'complete', events: stream.events};
		}

		return {
			kind: 'ended', reason: attempt.result, isBroken: end === RunEnd.Broken || stream.hasEngineRestarted, isStopped: end === RunEnd.Stopped,
		};
	}

	const answer = await readErrorAnswer(dispatcher, started, stream.served, now());
	attempt.result = String(status);
	return answer
		? {kind: 'answer', answer}
		: {
			kind: 'ended', reason: `failed with ${status}`, isBroken: !started.abort.signal.aborted, isStopped: false,
		};
}

/** Returns how a run ended, after what is known besides its events: a run that an order stops ends as a complete one if its answer has neither a length nor chunks. */
async function checkEnd(dispatcher: Dispatcher, started: StartedAnswer, stream: ForwardedStream, end: RunEnd): Promise<RunEnd> {
	const {stopOrders, served} = stream;
	const isComplete = end === RunEnd.Complete;
	if ((isComplete && !started.answer.isEndedByClose) || (!isComplete && end !== RunEnd.Broken)) {
		return end;
	}

	if (stopOrders.mayHaveStopped(started)) {
		// The answer to the order may show that the run had ended by itself.
		await stream.pendingMove;
	}

	const mayBeStopped = stopOrders.mayHaveStopped(started);
	const earlyEnd = isComplete
		? await dispatcher.answerEnds.findEarlyEnd(started, served, {mayBeStopped, isStartInDoubt: stopOrders.hasOrdered(started) || stream.hasEndedLate, isEmptyStream: stream.lastEventId === undefined})
		: undefined;
	// The engine may still work on a run whose connection was reset on the way.
	if (mayBeStopped && !started.answer.isReset) {
		return RunEnd.Stopped;
	}

	return earlyEnd === undefined ? end : RunEnd.Broken;
}

/** Calculates the soft timeout for a stream's answer to begin, in milliseconds; undefined when no retry may follow or events were already delivered. */
function calculateSoftTimeoutMs(served: ServedRequest, stream: ForwardedStream): number | undefined {
	const {attempts, latencyTargetMs} = served.inputs.route;
	const isRetryAllowed = served.isRetryable && served.runs + 1 < attempts;
	return isRetryAllowed && stream.events === 0 ? latencyTargetMs * softTimeoutLatencyFactor : undefined;
}

/** Waits for a move in progress and returns its result. */
async function awaitMove(stream: ForwardedStream): Promise<MovedStream | undefined> {
	const moved = await stream.pendingMove;
	stream.pendingMove = undefined;
	return moved;
}

async function readErrorAnswer(dispatcher: Dispatcher, started: StartedAnswer, served: ServedRequest, nowMs: number): Promise<BufferedAnswer | undefined> {
	const {
		answer, running, backend, abort,
	} = started;
	const timer = setTimeout(() => {
		abort.abort();
	}, Math.max(0, served.remainingMs(nowMs)));
	try {
		const body = await answer.read(maxAnswerBytes);
		if (await dispatcher.answerEnds.findEarlyEnd(started, served)) {
			return undefined;
		}

		return {
			status: answer.status, rawHeaders: answer.response.rawHeaders, body, backendId: backend.id,
		};
	} catch {
		// An error answer that broke off is treated like any broken run.
		return undefined;
	} finally {
		clearTimeout(timer);
		running.end();
	}
}
