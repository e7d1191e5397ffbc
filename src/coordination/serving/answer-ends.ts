/**
 * Decides whether an answer is whole that has neither a length nor chunks, so that only the end
 * of its connection ends it. A connection also ends so when the backend server exits or crashes,
 * stops the run by order, or stops work at the deadline. Such an answer is whole only if none of
 * these is possible: a client takes part of an answer for the whole one, but can try again after
 * one that broke off.
 */
import {type EngineClient} from '../../protocol/platform.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {type PauseWatch} from '../../pause-watch.js';
import {type CrashWatch} from '../quarantine/crash-watch.js';
import {type StartedAnswer} from './dispatcher.js';
import {type RequestMetrics} from './request-metrics.js';
import {type ServedRequest} from './served-request.js';

/** Time before the deadline in which a backend server may have stopped work for it, in milliseconds: it is told the time left in whole milliseconds. */
const deadlineMarginMs = 5;

/** Why the connection of an answer may have ended before the answer did. */
export enum EarlyEnd {
	/** An order to move the run may have stopped it. */
	Stopped = 'stopped',
	/** The backend server stops work at the request's deadline. */
	Deadline = 'deadline',
	/** A new stream ended without an event. */
	Empty = 'empty',
	/** The backend server refuses connections. */
	Exited = 'exited',
	/** The backend server has started again, or it cannot be told whether it has. */
	Restarted = 'restarted',
}

/** What is known of an answer besides itself. */
export type AnswerContext = {
	/** Whether an order has stopped its run, or may have. */
	mayBeStopped?: boolean;
	/** Whether its backend server may have started again since the answer ended. */
	isStartInDoubt?: boolean;
	/** Whether it is a new stream of which no event has arrived. */
	isEmptyStream?: boolean;
};

/** What {@link AnswerEnds} depends on. */
export type AnswerEndsDependencies = {
	backends: Pick<BackendTable, 'get'>;
	crashWatch: Pick<CrashWatch, 'refusesConnections'>;
	engines: Pick<EngineClient, 'readStartTime'>;
	pauses: Pick<PauseWatch, 'hasBacklog'>;
	metrics: Pick<RequestMetrics, 'recordConnectionEnd'>;
	clock: Pick<SteadyClock, 'now'>;
};

/** Decides whether answers that have ended are whole. */
export class AnswerEnds {
	constructor(private readonly dependencies: AnswerEndsDependencies) {}

	/** Returns why an answer that has ended may not be whole; undefined if it is whole. */
	async findEarlyEnd(started: Pick<StartedAnswer, 'answer' | 'backend' | 'attempt'>, served: Pick<ServedRequest, 'inputs' | 'remainingMs'>, context: AnswerContext = {}): Promise<EarlyEnd | undefined> {
		const {clock, metrics} = this.dependencies;
		if (!started.answer.isEndedByClose) {
			return undefined;
		}

		const endedAtMs = clock.now();
		started.attempt.connectionEndedAfterMs = Math.round(endedAtMs - served.inputs.arrivedAtMs);
		const earlyEnd = findKnownCause(context, served.remainingMs(endedAtMs)) ?? await this.findEndOfBackend(started, served.inputs.signal, context);
		started.attempt.earlyEnd = earlyEnd;
		metrics.recordConnectionEnd(served.inputs.route.name, earlyEnd ?? 'whole');
		return earlyEnd;
	}

	/** Finds out whether the backend server has ended. */
	private async findEndOfBackend({backend}: Pick<StartedAnswer, 'backend'>, signal: AbortSignal, {isStartInDoubt = false}: AnswerContext): Promise<EarlyEnd | undefined> {
		const {backends, crashWatch, engines, pauses, clock} = this.dependencies;
		if (backends.get(backend.id)?.isEnded) {
			return EarlyEnd.Restarted;
		}

		if (await crashWatch.refusesConnections(backend)) {
			return EarlyEnd.Exited;
		}

		// The one that accepts connections now may be a later start: that it has no such run is then no sign that the run had ended.
		const mayHaveRestarted = isStartInDoubt || pauses.hasBacklog(clock.now());
		if (mayHaveRestarted && backend.startedAtMs !== undefined && await engines.readStartTime(backend, signal) !== backend.startedAtMs) {
			return EarlyEnd.Restarted;
		}

		return undefined;
	}
}

/** Returns a cause that is known without asking the backend server. */
function findKnownCause({mayBeStopped = false, isEmptyStream = false}: AnswerContext, remainingMs: number): EarlyEnd | undefined {
	if (mayBeStopped) {
		return EarlyEnd.Stopped;
	}

	if (remainingMs <= deadlineMarginMs) {
		return EarlyEnd.Deadline;
	}

	return isEmptyStream ? EarlyEnd.Empty : undefined;
}
