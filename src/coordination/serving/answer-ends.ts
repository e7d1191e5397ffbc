/**
 * Decides whether an answer is whole that has neither a length nor chunks, so that only the end
 * of its connection ends it. A connection also ends so when the backend server exits or crashes,
 * or stops the run by order. Such an answer is whole only if none of these is possible: a client
 * takes part of an answer for the whole one, but can try again after one that broke off.
 */
import {type SteadyClock} from '../../clock.js';
import {type CrashWatch} from '../quarantine/crash-watch.js';
import {type StartedAnswer} from './dispatcher.js';
import {type RequestMetrics} from './request-metrics.js';
import {type ServedRequest} from './served-request.js';

/** Why the connection of an answer may have ended before the answer did. */
export enum EarlyEnd {
	/** An order to move the run may have stopped it. */
	Stopped = 'stopped',
	/** The backend server accepts no connections any more. */
	Exited = 'exited',
}

/** What is known of an answer besides itself. */
export type AnswerContext = {
	/** Whether an order has stopped its run, or may have. */
	mayBeStopped?: boolean;
};

/** What {@link AnswerEnds} depends on. */
export type AnswerEndsDependencies = {
	crashWatch: Pick<CrashWatch, 'acceptsNoConnections'>;
	metrics: Pick<RequestMetrics, 'recordConnectionEnd'>;
	clock: Pick<SteadyClock, 'now'>;
};

/** Decides whether answers that have ended are whole. */
export class AnswerEnds {
	constructor(private readonly dependencies: AnswerEndsDependencies) {}

	/** Returns why an answer that has ended may not be whole; undefined if it is whole. */
	async findEarlyEnd(started: Pick<StartedAnswer, 'answer' | 'backend' | 'attempt'>, served: Pick<ServedRequest, 'inputs'>, context: AnswerContext = {}): Promise<EarlyEnd | undefined> {
		const {clock, crashWatch, metrics} = this.dependencies;
		if (!started.answer.isEndedByClose) {
			return undefined;
		}

		started.attempt.connectionEndedAfterMs = Math.round(clock.now() - served.inputs.arrivedAtMs);
		const earlyEnd = context.mayBeStopped ? EarlyEnd.Stopped : (await crashWatch.acceptsNoConnections(started.backend) ? EarlyEnd.Exited : undefined);
		started.attempt.earlyEnd = earlyEnd;
		metrics.recordConnectionEnd(served.inputs.route.name, earlyEnd ?? 'whole');
		return earlyEnd;
	}
}
