/**
 * Forwards requests that have one answer. The answer is read whole before any of it goes
 * to the client, so that one that breaks off can be replaced while that is allowed.
 */
import {RequestKind} from '../../protocol/serving.js';
import {TransportError} from '../../transport/errors.js';
import {RepeatPurpose} from '../retry-allowance.js';
import {
	type BegunAnswer, type Dispatcher, type FailedDispatch, DispatchKind, isFinal,
} from './dispatcher.js';
import {type ServedRequest} from './served-request.js';

/** Longest answer that is held, in bytes. */
const mostAnswerBytes = 8 * 1024 * 1024;
/** A first try of an idempotent request gets this many times its latency target before another backend server that is held for it is asked. */
const tryTargets = 2.5;
/** ... and at most this share of the time left. */
const tryShare = 0.45;
/** Shortest time worth sending a request for, in milliseconds. */
const leastUsefulMs = 10;

/** The answer of a backend server, read whole. */
export type WholeAnswer = {status: number; statusText: string; rawHeaders: string[]; body: Uint8Array; backendId: string};

/** How a call ended. */
export type CallResult
	= | {kind: 'answer'; answer: WholeAnswer}
	/** It has not run and never will. */
		| {kind: 'not-run'; reason: string}
	/** It may have run. */
		| {kind: 'unknown'; reason: string};

/** Forwards one call. */
export async function forwardCall(dispatcher: Dispatcher, served: ServedRequest, onBegun: () => void, now: () => number): Promise<CallResult> {
	try {
		return await tryCall(dispatcher, served, onBegun, now);
	} finally {
		dispatcher.successors.release(served);
	}
}

async function tryCall(dispatcher: Dispatcher, served: ServedRequest, onBegun: () => void, now: () => number): Promise<CallResult> {
	let failure: WholeAnswer | undefined;
	let reason = 'no time left';
	while (served.remainingMs(now()) > leastUsefulMs && !served.inputs.signal.aborted) {
		const remainingMs = served.remainingMs(now());
		const patienceMs = patienceOf(served, remainingMs);
		// eslint-disable-next-line no-await-in-loop -- one backend server after the other.
		const dispatched = await dispatcher.send(served, {purpose: RepeatPurpose.Retry, beginMs: remainingMs, patienceMs});
		if (dispatched.kind === DispatchKind.Answer || dispatched.kind === DispatchKind.Unknown) {
			onBegun();
		}

		if (dispatched.kind === DispatchKind.Answer) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await readWhole(dispatched, served.remainingMs(now()));
			noteEnd(dispatcher, served, dispatched, answer);
			if (answer && (answer.status < 500 || patienceMs === undefined)) {
				return {kind: 'answer', answer};
			}

			dispatcher.noteFailure(served, dispatched.backend.id);
			failure = answer ?? failure;
			reason = answer ? `failed with ${answer.status}` : 'broken';
		} else {
			({reason} = dispatched);
		}

		if (!mayGoOn(served, dispatched)) {
			break;
		}
	}

	if (failure) {
		return {kind: 'answer', answer: failure};
	}

	return served.mayHaveRun ? {kind: 'unknown', reason} : {kind: 'not-run', reason};
}

/** Notes how a run ended that was not ended here. */
function noteEnd(dispatcher: Dispatcher, served: ServedRequest, {backend, abort}: BegunAnswer, answer: WholeAnswer | undefined): void {
	if (!answer && !abort.signal.aborted) {
		dispatcher.noteBroken(served, backend);
	} else if (answer && answer.status < 500) {
		dispatcher.noteCompleted(served);
	}
}

/** Time after which another backend server is asked instead; undefined when none may be after this one. */
function patienceOf(served: ServedRequest, remainingMs: number): number | undefined {
	const {kind, attempts, latencyTargetMs} = served.inputs.route;
	const canRepeat = kind === RequestKind.Idempotent && served.runs + 1 < attempts && served.arrivals < attempts;
	return canRepeat ? Math.min(remainingMs * tryShare, latencyTargetMs * tryTargets) : undefined;
}

/** Whether another backend server may be asked. */
function mayGoOn(served: ServedRequest, dispatched: BegunAnswer | FailedDispatch): boolean {
	const {route} = served.inputs;
	if (isFinal(dispatched.kind)) {
		return false;
	}

	if (served.mayHaveRun && !served.isRepeatable) {
		return false;
	}

	// A refusal is no run, but each arrival loads a backend server: one more than the runs allowed.
	return served.runs < route.attempts && served.arrivals <= route.attempts;
}

async function readWhole(begun: BegunAnswer, remainingMs: number): Promise<WholeAnswer | undefined> {
	const {
		answer, running, attempt, abort, backend,
	} = begun;
	const timer = setTimeout(() => {
		abort.abort();
	}, Math.max(0, remainingMs));
	try {
		const body = await answer.read(mostAnswerBytes);
		attempt.result = String(answer.status);
		return {
			status: answer.status, statusText: answer.response.statusMessage ?? '', rawHeaders: answer.response.rawHeaders, body, backendId: backend.id,
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
