/**
 * The messages between the daemons that ask for a backend server and the coordinator of a group
 * of backend servers, and what the coordinator's decision was based on.
 */
import {isPacePercent} from './pace-percent.js';
import {type PromptPart, type ReportedLoad} from './serving.js';

/** Identifies a request to a coordinator. */
export type AssignmentId = {
	/** The name of the daemon that asks. */
	daemon: string;
	/** Differs for each start of the daemon. */
	incarnation: string;
	/** Unique within one start of the daemon. */
	id: number;
};

/** A request for a backend server of a group. */
export type AssignmentRequest = AssignmentId & {
	account: string | undefined;
	/** The account's weight when accounts share what is short: its rate limit; undefined without one. */
	accountWeight: number | undefined;
	/** 0 is the most urgent. */
	priority: number;
	/** What counts against the account's share of the group: the tokens of its prompt and the most of its output, or 1 for a plain call. */
	cost: number;
	/** The latency target of the request's route, in milliseconds. */
	latencyTargetMs: number;
	/** Time left until the latency target, in milliseconds; negative once it has passed. */
	targetMs: number;
	/** Time left until the deadline, in milliseconds. */
	remainingMs: number;
	/** The route, by which the times of plain calls are learned. */
	route: string;
	promptTokens: number;
	promptParts: PromptPart[];
	/** Keys of backend servers that must not get the request. */
	excluded: number[];
	/** Identifies the request over its client's attempts, so that one that came back after a refusal goes first among equals; undefined if they can't be recognized. */
	returnKey: string | undefined;
};

/** A backend server of a group that may get work. */
export type AssignableBackend = {
	key: number;
	slots: number;
	/** Tokens that the memory of an engine holds; undefined if it is not known. */
	kvTokens: number | undefined;
	/** How long work takes there, as a multiple of the usual time. */
	paceFactor: number;
	/** Requests in flight there that were not assigned. */
	inFlightElsewhere: number;
	isEngine: boolean;
	/** Whether it is still slow after its start. */
	isCold: boolean;
};

/** What a coordinator decided on a request. */
export enum AssignmentKind {
	Assigned = 'assigned',
	/** It waits in the queue of the group; another decision follows. */
	Queued = 'queued',
	Refused = 'refused',
}

/** The figures behind the choice of a backend server. */
export type AssignmentTerms = {
	/** Predicted time from now until the first event, or the answer of a plain call, in milliseconds. */
	predictedMs: number;
	/** The part of it until the request's own work begins, in milliseconds. */
	waitMs: number;
	/** Time that the request has waited in the queue, in milliseconds. */
	queuedMs: number;
	/** Prompt tokens assumed to be cached there. */
	cachedTokens: number;
	inFlight: number;
	paceFactor: number;
};

/** The decision on one request of a daemon. */
export type AssignmentAnswer = {id: number} & (
	| {kind: AssignmentKind.Assigned; backend: number; copyFrom: number | undefined; terms: AssignmentTerms}
	| {kind: AssignmentKind.Queued; expectedMs: number}
	| {kind: AssignmentKind.Refused; retryAfterMs: number; reason: string}
);

/** The decision on a request of any daemon. */
export type AssignmentDecision = AssignmentId & AssignmentAnswer;

/** How an assigned request ended. */
export enum AssignmentResult {
	Completed = 'completed',
	/** The backend server refused it for want of room. */
	Rejected = 'rejected',
	/** The backend server failed it, or accepted no connection. */
	Failed = 'failed',
	/** The daemon gave it up, for example since its client left. */
	Abandoned = 'abandoned',
	/** It was not sent to the assigned backend server. */
	NotSent = 'not-sent',
}

/** The end of an assigned request. */
export type AssignmentEnd = AssignmentId & {
	backend: number;
	result: AssignmentResult;
	/** Time from sending the request to the first event, or to the answer of a plain call, in milliseconds. */
	firstEventMs?: number;
	/** What the backend server stated of its load. */
	load?: ReportedLoad;
};

/** One backend server as the coordinator sees it for a request. */
export type AssignmentCandidate = {
	backend: number;
	terms: AssignmentTerms;
	/** Why the request may not go there now; undefined if it may. */
	excludedReason: string | undefined;
};

/** What the coordinator would decide on a request now. */
export type AssignmentExplanation = {decision: AssignmentDecision; candidates: AssignmentCandidate[]; queued: number};

/** Whether a value is a request to a coordinator; anyone can send a datagram. */
export function isAssignmentRequest(value: unknown): boolean {
	const {id, account, accountWeight, priority, cost, latencyTargetMs, targetMs, remainingMs, route, promptTokens, promptParts, excluded, returnKey} = (value ?? {}) as Partial<AssignmentRequest>;
	return Number.isSafeInteger(id) && isOptionalString(account) && isOptionalString(returnKey) && typeof route === 'string'
		&& [priority, cost, latencyTargetMs, targetMs, remainingMs, promptTokens].every(number => Number.isFinite(number))
		&& (accountWeight === undefined || accountWeight > 0)
		&& Array.isArray(excluded) && excluded.every(key => Number.isSafeInteger(key))
		&& Array.isArray(promptParts) && (promptParts as Array<Partial<PromptPart> | undefined>).every(part => typeof part?.id === 'string' && Number.isFinite(part.tokens));
}

/** Whether a value is a list of decisions. */
export function isAssignmentAnswers(value: unknown): boolean {
	return Array.isArray(value) && (value as Array<Record<string, unknown> | undefined>).every(answer => Number.isSafeInteger(answer?.id) && isAnswerOfItsKind(answer!));
}

/** Whether a value is a list of the ends of assigned requests. */
export function isAssignmentEnds(value: unknown): boolean {
	return Array.isArray(value) && (value as Array<Partial<AssignmentEnd> | undefined>).every(end => Number.isSafeInteger(end?.id) && Number.isSafeInteger(end!.backend)
		&& Object.values(AssignmentResult).includes(end!.result!)
		&& (end!.firstEventMs === undefined || Number.isFinite(end!.firstEventMs))
		&& (end!.load === undefined || isReportedLoad(end!.load)));
}

function isAnswerOfItsKind({kind, backend, copyFrom, terms, expectedMs, retryAfterMs, reason}: Record<string, unknown>): boolean {
	if (kind === AssignmentKind.Assigned) {
		return Number.isSafeInteger(backend) && (copyFrom === undefined || Number.isSafeInteger(copyFrom)) && isAssignmentTerms(terms);
	}

	return kind === AssignmentKind.Queued ? Number.isFinite(expectedMs) : kind === AssignmentKind.Refused && Number.isFinite(retryAfterMs) && typeof reason === 'string';
}

function isAssignmentTerms(value: unknown): boolean {
	const {predictedMs, waitMs, queuedMs, cachedTokens, inFlight, paceFactor} = (value ?? {}) as Partial<AssignmentTerms>;
	return [predictedMs, waitMs, queuedMs, cachedTokens, inFlight, paceFactor].every(number => Number.isFinite(number));
}

function isReportedLoad({running, waiting, slots, pacePercent}: Partial<ReportedLoad>): boolean {
	return [running, waiting, slots].every(number => Number.isFinite(number)) && (pacePercent === undefined || isPacePercent(pacePercent));
}

function isOptionalString(value: unknown): boolean {
	return value === undefined || typeof value === 'string';
}
