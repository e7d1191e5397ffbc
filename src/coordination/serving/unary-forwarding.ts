/**
 * Forwards requests that have a single answer. The answer is buffered completely before any
 * of it is sent to the client, so that a request whose answer breaks off can still be retried
 * where that is allowed.
 */
import {RequestKind} from '../../protocol/serving.js';
import {TransportError} from '../../transport/errors.js';
import {RetryPurpose} from '../retry-budget.js';
import {
	type StartedAnswer, type Dispatcher, type FailedDispatch, DispatchKind, isFinal,
} from './dispatcher.js';
import {type ServedRequest} from './served-request.js';

/** Longest answer that is buffered, in bytes. */
const maxAnswerBytes = 8 * 1024 * 1024;
/** Soft timeout of an attempt at an idempotent request, after which it is retried on a reserved backend server; a multiple of the route's latency target. */
const softTimeoutLatencyFactor = 2.5;
/** Upper bound of the soft timeout, as a share of the request's remaining time. */
const softTimeoutShare = 0.45;
/** A request with no more remaining time than this is not sent, in milliseconds. */
const minRemainingMs = 10;

/** The complete answer of a backend server. */
export type BufferedAnswer = {status: number; rawHeaders: string[]; body: Uint8Array; backendId: string};

/** How a unary request ended. */
export type UnaryResult
	= | {kind: 'answer'; answer: BufferedAnswer}
	/** The request has not run and never will. */
		| {kind: 'not-run'; reason: string}
	/** The request may have run. */
		| {kind: 'unknown'; reason: string};

/** Forwards one unary request. */
export async function forwardUnary(dispatcher: Dispatcher, served: ServedRequest, onStarted: () => void, now: () => number): Promise<UnaryResult> {
	try {
		return await attemptUnary(dispatcher, served, onStarted, now);
	} finally {
		dispatcher.reservations.release(served);
	}
}

async function attemptUnary(dispatcher: Dispatcher, served: ServedRequest, onStarted: () => void, now: () => number): Promise<UnaryResult> {
	let errorAnswer: BufferedAnswer | undefined;
	let reason = 'no time left';
	while (served.remainingMs(now()) > minRemainingMs && !served.inputs.signal.aborted) {
		const remainingMs = served.remainingMs(now());
		const softTimeoutMs = calculateSoftTimeoutMs(served, remainingMs);
		// eslint-disable-next-line no-await-in-loop -- one backend server after the other.
		const dispatched = await dispatcher.send(served, {purpose: RetryPurpose.Retry, firstByteTimeoutMs: remainingMs, softTimeoutMs});
		if (dispatched.kind === DispatchKind.Answer || dispatched.kind === DispatchKind.Unknown) {
			onStarted();
		}

		if (dispatched.kind === DispatchKind.Answer) {
			dispatched.attempt.writingSinceMs = now();
			// eslint-disable-next-line no-await-in-loop
			const answer = await bufferAnswer(dispatcher, dispatched, served, served.remainingMs(now()));
			recordRunEnd(dispatcher, served, dispatched, answer);
			if (answer && (answer.status < 500 || softTimeoutMs === undefined)) {
				return {kind: 'answer', answer};
			}

			dispatcher.recordFailure(served, dispatched.backend.id);
			errorAnswer = answer ?? errorAnswer;
			reason = answer ? `failed with ${answer.status}` : 'broken';
		} else {
			({reason} = dispatched);
		}

		if (!canRetry(served, dispatched)) {
			break;
		}
	}

	if (errorAnswer) {
		return {kind: 'answer', answer: errorAnswer};
	}

	return served.mayHaveRun ? {kind: 'unknown', reason} : {kind: 'not-run', reason};
}

/** Records how a run ended, unless this daemon closed it itself. */
function recordRunEnd(dispatcher: Dispatcher, served: ServedRequest, {backend, attempt, abort}: StartedAnswer, answer: BufferedAnswer | undefined): void {
	if (!answer && !abort.signal.aborted) {
		dispatcher.recordBrokenRun(served, backend, attempt);
	} else if (answer && answer.status < 500) {
		dispatcher.recordCompletedRun(served, backend, attempt);
	}
}

/** Calculates the soft timeout of the next attempt in milliseconds; undefined when no retry may follow it. */
function calculateSoftTimeoutMs(served: ServedRequest, remainingMs: number): number | undefined {
	const {kind, attempts, latencyTargetMs} = served.inputs.route;
	const isRetryAllowed = kind === RequestKind.Idempotent && served.runs + 1 < attempts && served.deliveries < attempts;
	return isRetryAllowed ? Math.min(remainingMs * softTimeoutShare, latencyTargetMs * softTimeoutLatencyFactor) : undefined;
}

/** Whether the request may be sent to another backend server. */
function canRetry(served: ServedRequest, dispatched: StartedAnswer | FailedDispatch): boolean {
	const {route} = served.inputs;
	if (isFinal(dispatched.kind)) {
		return false;
	}

	if (served.mayHaveRun && !served.isRetryable) {
		return false;
	}

	// A refused attempt is no run, but it loads a backend server all the same: deliveries may exceed the runs allowed by one.
	return served.runs < route.attempts && served.deliveries <= route.attempts;
}

async function bufferAnswer(dispatcher: Dispatcher, started: StartedAnswer, served: ServedRequest, remainingMs: number): Promise<BufferedAnswer | undefined> {
	const {
		answer, running, attempt, abort, backend,
	} = started;
	const timer = setTimeout(() => {
		abort.abort();
	}, Math.max(0, remainingMs));
	try {
		const body = await answer.read(maxAnswerBytes);
		if (await dispatcher.answerEnds.findEarlyEnd(started, served)) {
			attempt.result = 'broken';
			return undefined;
		}

		attempt.result = String(answer.status);
		return {
			status: answer.status, rawHeaders: answer.response.rawHeaders, body, backendId: backend.id,
		};
	} catch (error) {
		if (!(error instanceof TransportError)) {
			throw error;
		}

		attempt.result = 'broken';
		return undefined;
	} finally {
		clearTimeout(timer);
		running.end();
	}
}
