/**
 * Forwards streams. Nothing goes to the client before the first event, so that a failure
 * until then is still answered with a status. A stream that breaks later goes on at another
 * engine: from its moved KV cache where there is one, otherwise by a new run from the last
 * event delivered where the route allows it.
 */
import {type ServerResponse} from 'node:http';
import {RepeatPurpose} from '../retry-allowance.js';
import {type WholeAnswer} from './call-forwarding.js';
import {
	type BegunAnswer, type Dispatcher, DispatchKind, type DispatchOptions, type FailedDispatch, isFinal,
} from './dispatcher.js';
import {
	closeRun, Flight, InterruptCause, type Moved, PumpEnd,
} from './flight.js';
import {type ServedRequest} from './served-request.js';
import {type StreamRegistry} from './stream-registry.js';

/** An engine gets this many times the latency target to begin before a resumable stream is sent to another that is held for it. */
const beginTargets = 3;
/** Longest answer of an engine that is no stream, in bytes. */
const mostAnswerBytes = 1024 * 1024;
/** Shortest time worth sending a request for, in milliseconds. */
const leastUsefulMs = 20;

/** How a stream ended. */
export type StreamResult
	= | {kind: 'complete'; events: number}
	/** An answer that is no stream, to be passed on whole. */
		| {kind: 'answer'; answer: WholeAnswer}
		| {kind: 'not-run'; reason: string}
		| {kind: 'unknown'; reason: string}
	/** Broken off after events were delivered. */
		| {kind: 'broken'; reason: string; events: number};

/** Forwards one stream. */
export async function forwardStream(parts: {dispatcher: Dispatcher; registry: StreamRegistry; now: () => number}, served: ServedRequest, response: ServerResponse, onBegun: () => void): Promise<StreamResult> {
	const {dispatcher, registry, now} = parts;
	const flight = new Flight(served, response, onBegun, now);
	flight.lastEventId = served.inputs.request.lastEventId;
	const deadline = setTimeout(() => {
		flight.interrupt(InterruptCause.Deadline);
	}, Math.max(0, served.remainingMs(now())));
	registry.add(flight);
	try {
		return await runStream(dispatcher, flight, now);
	} finally {
		clearTimeout(deadline);
		registry.remove(flight);
		await flight.dropTakeover();
		dispatcher.successors.release(served);
	}
}

/** Runs a stream at one engine after the other, until it has ended or none may follow. */
async function runStream(dispatcher: Dispatcher, flight: Flight, now: () => number): Promise<StreamResult> {
	const {served} = flight;
	let next: Partial<DispatchOptions> = {};
	let reason = 'no time left';
	let failure: WholeAnswer | undefined;
	let taken: BegunAnswer | undefined;
	while (served.remainingMs(now()) > leastUsefulMs && !served.inputs.signal.aborted) {
		// eslint-disable-next-line no-await-in-loop -- one engine after the other.
		const dispatched: BegunAnswer | FailedDispatch = taken ?? await dispatcher.send(served, {
			purpose: RepeatPurpose.Retry, beginMs: served.remainingMs(now()), patienceMs: patienceMs(served, flight), lastEventId: flight.lastEventId, ...next,
		});
		taken = undefined;
		if (dispatched.kind !== DispatchKind.Answer && isFinal(dispatched.kind)) {
			({reason} = dispatched);
			break;
		}

		if (dispatched.kind === DispatchKind.Answer) {
			// eslint-disable-next-line no-await-in-loop
			const end = await takeAnswer(dispatched, flight);
			if (end.kind === 'complete') {
				dispatcher.noteCompleted(served);
				return end;
			}

			if (end.kind === 'ended' && end.isBroken) {
				dispatcher.noteBroken(served, dispatched.backend);
			}

			failure = end.kind === 'answer' ? end.answer : failure;
			reason = end.kind === 'answer' ? `failed with ${end.answer.status}` : end.reason;
			dispatcher.noteFailure(served, dispatched.backend.id);
		} else {
			({reason} = dispatched);
		}

		// eslint-disable-next-line no-await-in-loop
		const moved = await takeMove(flight);
		// eslint-disable-next-line no-await-in-loop
		taken = await flight.takeTakeover();
		if (taken) {
			continue;
		}

		if (moved) {
			next = {target: moved.target, kvSource: moved.run.kvSource, purpose: RepeatPurpose.Move};
		} else if (served.mayHaveRun && !served.mayRunAgain) {
			break;
		} else {
			next = flight.events > 0 ? {purpose: RepeatPurpose.Move} : {};
		}
	}

	if (taken) {
		// It began too late to be of use.
		closeRun(taken);
	}

	if (flight.isHeadSent) {
		return {kind: 'broken', reason, events: flight.events};
	}

	if (failure) {
		return {kind: 'answer', answer: failure};
	}

	return served.mayHaveRun ? {kind: 'unknown', reason} : {kind: 'not-run', reason};
}

/** How one run ended: whole, with an answer that is no stream, or broken off. */
type RunEnd = Extract<StreamResult, {kind: 'complete' | 'answer'}> | {kind: 'ended'; reason: string; isBroken: boolean};

/** Passes the events of one run on. */
async function takeAnswer(begun: BegunAnswer, flight: Flight): Promise<RunEnd> {
	const {attempt} = begun;
	const {status} = begun.answer;
	if (status >= 200 && status < 300) {
		const end = await flight.pump(begun);
		attempt.result = flight.describeEnd(end);
		return end === PumpEnd.Complete ? {kind: 'complete', events: flight.events} : {kind: 'ended', reason: attempt.result, isBroken: end === PumpEnd.Broken || flight.hasEngineEnded};
	}

	const answer = await readFailure(begun);
	attempt.result = String(status);
	return answer ? {kind: 'answer', answer} : {kind: 'ended', reason: `failed with ${status}`, isBroken: !begun.abort.signal.aborted};
}

/** Time after which another engine is asked to begin a stream instead; undefined when none may be. */
function patienceMs(served: ServedRequest, flight: Flight): number | undefined {
	const {attempts, latencyTargetMs} = served.inputs.route;
	const canRepeat = served.isRepeatable && served.runs + 1 < attempts;
	return canRepeat && flight.events === 0 ? latencyTargetMs * beginTargets : undefined;
}

/** Waits for a move in progress and takes its result. */
async function takeMove(flight: Flight): Promise<Moved | undefined> {
	const moved = await flight.moving;
	flight.moving = undefined;
	return moved;
}

async function readFailure(begun: BegunAnswer): Promise<WholeAnswer | undefined> {
	const {answer, running, backend} = begun;
	try {
		const body = await answer.read(mostAnswerBytes);
		return {
			status: answer.status, statusText: answer.response.statusMessage ?? '', rawHeaders: answer.response.rawHeaders, body, backendId: backend.id,
		};
	} catch {
		// A failure that broke off is no answer; the caller goes on as after any broken run.
		return undefined;
	} finally {
		running.end();
	}
}
