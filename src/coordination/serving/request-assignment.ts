/**
 * Has the first attempt of a request assigned to a backend server by the coordinator of a group,
 * where that is active, and reports to it how the attempt goes.
 */
import {
	type Account, type AnswerMetadata, type CallerRequest, type Route,
} from '../../protocol/serving.js';
import {AssignmentResult} from '../../protocol/assignment.js';
import {type SteadyClock} from '../../clock.js';
import {
	type AssignedBackend, type AssignmentExchange, type AssignmentOutcome, type AssignmentQuery,
} from '../assignment/assignment-exchange.js';
import {type PlacementChoice} from '../placement.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type RequestMetrics} from './request-metrics.js';
import {type ServedRequest} from './served-request.js';

/** The outcome for a request whose time has run out. */
const unavailable: AssignmentOutcome = {kind: 'unavailable', reason: 'no time left'};

/** What a {@link RequestAssignment} depends on. */
export type RequestAssignmentParts = {
	exchange: Pick<AssignmentExchange, 'isActive' | 'assign'>;
	quarantine: Pick<Quarantine, 'isEmpty' | 'isSuspect'>;
	metrics: Pick<RequestMetrics, 'recordAssignment'>;
	clock: SteadyClock;
};

/** Assigns requests on behalf of the dispatcher. */
export class RequestAssignment {
	constructor(private readonly parts: RequestAssignmentParts) {}

	/** Whether the first attempt of a request is to be assigned: later ones, canaries, streams that continue and suspects of crashing backend servers are placed by this daemon. */
	isWanted(served: ServedRequest): boolean {
		const {exchange, quarantine, clock} = this.parts;
		const isFirst = served.attempts.length === 0 && served.reservation === undefined;
		return isFirst && served.version === undefined && served.isCanary !== true
			&& exchange.isActive(served.inputs.service, clock.now())
			&& (quarantine.isEmpty || !quarantine.isSuspect(served.fingerprints));
	}

	/** Asks for a backend server; the outcome is recorded with the request. */
	async assign(served: ServedRequest): Promise<AssignmentOutcome> {
		const {exchange, metrics, clock} = this.parts;
		const {request, route, account, service, arrivedAtMs, signal} = served.inputs;
		const askedAtMs = clock.now();
		const outcome = served.remainingMs(askedAtMs) <= 0
			? unavailable
			: await exchange.assign(createAssignmentQuery(request, {route, account, service}, {
				priority: served.priority, targetMs: arrivedAtMs + route.latencyTargetMs - askedAtMs, remainingMs: served.remainingMs(askedAtMs), excluded: served.excluded,
			}), signal);
		const waitedMs = clock.now() - askedAtMs;
		metrics.recordAssignment(service, outcome.kind, waitedMs / 1000);
		served.assignment = describe(outcome, waitedMs);
		return outcome;
	}
}

/** Describes a request to a coordinator. The last part of a prompt belongs to the request or its session alone, so it identifies the request over its client's attempts. */
export function createAssignmentQuery(
	{promptTokens = 0, maxOutputTokens = 0, promptParts}: Pick<CallerRequest, 'promptTokens' | 'maxOutputTokens' | 'promptParts'>,
	{route, account, service}: {route: Route; account: Account | undefined; service: string},
	timing: Pick<AssignmentQuery, 'priority' | 'targetMs' | 'remainingMs' | 'excluded'>,
): AssignmentQuery {
	return {
		...timing,
		service,
		account: account?.name,
		accountWeight: account?.ratePerSecond,
		cost: promptTokens > 0 ? promptTokens + maxOutputTokens : 1,
		latencyTargetMs: route.latencyTargetMs,
		route: route.name,
		promptTokens,
		promptParts,
		returnKey: promptParts.at(-1)?.id,
	};
}

/** Returns an assignment in the form of this daemon's own choices. */
export function toChoice({backend, copyFrom, terms}: AssignedBackend): PlacementChoice {
	return {
		backend, copyFrom, costMs: terms.predictedMs, waitMs: terms.waitMs, cachedTokens: terms.cachedTokens, inFlight: terms.inFlight,
	};
}

/** Follows one attempt at an assigned backend server, and reports its end to the coordinator. */
export class AssignedAttempt {
	private firstEventMs: number | undefined;
	private load: AnswerMetadata['load'];
	private result: AssignmentResult | undefined;

	constructor(private readonly assignment: AssignedBackend, private readonly sentAtMs: number) {}

	/** Records the head of a valid answer, which an engine sends with its first event. */
	noteAnswer(status: number, load: AnswerMetadata['load'], nowMs: number): void {
		this.firstEventMs = nowMs - this.sentAtMs;
		this.load = load;
		this.result = status < 500 ? AssignmentResult.Completed : AssignmentResult.Failed;
	}

	/** Records that there was no valid answer. */
	noteFailure(result: AssignmentResult): void {
		this.result = result;
	}

	/** Reports the end of the attempt. */
	end(): void {
		this.assignment.end(this.result ?? AssignmentResult.Abandoned, this.firstEventMs, this.load);
	}
}

/** Describes an outcome for the request's log line. */
function describe(outcome: AssignmentOutcome, waitedMs: number): string {
	const waited = `after ${Math.round(waitedMs)} ms`;
	if (outcome.kind === 'assigned') {
		const {group, coordinator, terms} = outcome.assignment;
		return `${group} by ${coordinator} ${waited}: predicted ${Math.round(terms.predictedMs)} ms, wait ${Math.round(terms.waitMs)}, queued ${Math.round(terms.queuedMs)}, cached ${terms.cachedTokens} tokens, ${terms.inFlight} in flight, pace ${terms.paceFactor.toFixed(2)}`;
	}

	return `${outcome.kind} ${waited}: ${outcome.reason}`;
}
