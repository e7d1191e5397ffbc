/**
 * Tracks what is assigned to one backend server: the requests, the memory that they take, the
 * prompt parts that should be cached, and the backlog, which is the time until an engine will
 * have read the prompts assigned to it. An engine reads one prompt after the other.
 */
import {
	type AssignableBackend, type AssignmentEnd, type AssignmentId, type AssignmentRequest, AssignmentResult, type AssignmentTerms,
} from '../../protocol/assignment.js';
import {type LearnedTimes} from './learned-times.js';
import {PrefixCache} from './prefix-cache.js';

/** Delay of a backend server that is still cold after its start, in milliseconds. */
const coldStartMs = 100;
/** Waits up to this long count as none when times are learned, in milliseconds. */
const noWaitMs = 1;
/** Time after its deadline at which an assignment is forgotten whose end was not reported, in milliseconds. */
const endGraceMs = 1000;
/** Time for which a failure counts, in milliseconds. */
const failureMaxAgeMs = 3000;
/** Share by which a pace may have changed during a request from which times are learned: which pace applied to it is not known otherwise. */
const maxPaceChange = 0.1;
/** Most assignments by which an engine's backlog is corrected; their prompts are read in some seconds. */
const maxPendingPrefills = 64;

/** A backend server chosen for a request, the engine to copy cached prompt parts from, and the figures behind the choice. */
export type Choice = {backend: number; copyFrom: number | undefined; terms: AssignmentTerms};

/** A request assigned to a backend server. */
export type Assignment = {
	id: AssignmentId;
	choice: Choice;
	route: string;
	uncachedTokens: number;
	memoryTokens: number;
	waitMs: number;
	workMs: number;
	paceFactor: number;
	assignedAtMs: number;
	/** The earliest time at which its prompt is read, as if the present pace had always applied. */
	prefillableFromMs: number;
	expiresAtMs: number;
};

/** The load of one backend server. */
export class BackendLoad {
	/** The assigned requests, by the key of the request. */
	readonly assignments = new Map<string, Assignment>();
	/** Tokens that the assigned requests take of an engine's memory. */
	memoryTokens = 0;
	private readonly cache = new PrefixCache();
	/** Times of recent failures. */
	private failures: number[] = [];
	/** When an engine will have read the prompts assigned to it. */
	private busyUntilMs: number;
	/** The assignments whose prompts an engine reads from `prefillFromMs` on, in this order. */
	private pendingPrefills: Assignment[] = [];
	/** When an engine had read the prompt before those in `pendingPrefills`. */
	private prefillFromMs: number;
	/** When the prompt right before those in `pendingPrefills` was read, by its first event; undefined if that is not known. */
	private lastPrefilledAtMs: number | undefined;

	constructor(private current: AssignableBackend, private readonly times: LearnedTimes, nowMs: number) {
		this.busyUntilMs = nowMs;
		this.prefillFromMs = nowMs;
	}

	get backend(): AssignableBackend {
		return this.current;
	}

	get inFlight(): number {
		return this.assignments.size + this.current.inFlightElsewhere;
	}

	/** Replaces what is known of the backend server. What is left of an engine's backlog takes longer or shorter by the change of its pace. */
	update(backend: AssignableBackend, nowMs: number): void {
		const ratio = backend.paceFactor / this.current.paceFactor;
		this.current = backend;
		if (ratio === 1) {
			return;
		}

		const scale = (atMs: number) => nowMs + ((atMs - nowMs) * ratio);
		this.prefillFromMs = scale(this.prefillFromMs);
		for (const assignment of this.pendingPrefills) {
			assignment.prefillableFromMs = scale(assignment.prefillableFromMs);
			assignment.workMs *= ratio;
		}

		this.predictBusy();
	}

	/** Returns the number of recent failures. */
	recentFailures(nowMs: number): number {
		this.failures = this.failures.filter(atMs => nowMs - atMs < failureMaxAgeMs);
		return this.failures.length;
	}

	/** Returns the prompt tokens of a request that should be cached. */
	cachedTokens({promptParts}: Pick<AssignmentRequest, 'promptParts'>): number {
		return this.current.isEngine ? this.cache.cachedTokens(promptParts) : 0;
	}

	/** Returns the time until a request's own work would begin, in milliseconds. */
	waitMs(nowMs: number): number {
		const {slots, paceFactor} = this.current;
		const excess = this.inFlight + 1 - slots;
		const slotWaitMs = excess > 0 ? excess / slots * this.times.meanRunMs * paceFactor : 0;
		return Math.max(0, this.busyUntilMs - nowMs, slotWaitMs);
	}

	/** Returns the time of a request's own work until its first event, or its answer, in milliseconds. */
	workMs(request: AssignmentRequest): number {
		const {key, isEngine, paceFactor, isCold} = this.current;
		const usualMs = isEngine
			? this.times.prefillMs(key, Math.max(0, request.promptTokens - this.cachedTokens(request))) + this.times.fixedMs(key)
			: this.times.callMs(request.route);
		return (usualMs * paceFactor) + (isCold ? coldStartMs : 0);
	}

	/** Adds an assigned request. */
	add(requestKey: string, request: AssignmentRequest, choice: Choice, nowMs: number): void {
		const {key, isEngine, paceFactor, kvTokens} = this.current;
		const {daemon, incarnation, id, route, promptTokens, promptParts, cost, remainingMs} = request;
		const {cachedTokens, waitMs} = choice.terms;
		const uncachedTokens = Math.max(0, promptTokens - cachedTokens);
		const assignment: Assignment = {
			id: {daemon, incarnation, id},
			choice,
			route,
			uncachedTokens,
			memoryTokens: isEngine ? cost : 0,
			waitMs,
			workMs: isEngine ? this.times.prefillMs(key, uncachedTokens) * paceFactor : 0,
			paceFactor,
			assignedAtMs: nowMs,
			prefillableFromMs: nowMs,
			expiresAtMs: nowMs + remainingMs + endGraceMs,
		};
		this.assignments.set(requestKey, assignment);
		this.memoryTokens += assignment.memoryTokens;
		this.busyUntilMs = Math.max(this.busyUntilMs, nowMs) + assignment.workMs;
		if (isEngine) {
			this.addPendingPrefill(assignment);
			this.cache.add(promptParts, kvTokens);
		}
	}

	/** Removes an assigned request; work that was not begun is taken off the backlog. */
	remove(requestKey: string, result: AssignmentResult, nowMs: number): Assignment | undefined {
		const assignment = this.assignments.get(requestKey);
		if (!assignment) {
			return undefined;
		}

		this.assignments.delete(requestKey);
		this.memoryTokens -= assignment.memoryTokens;
		const isUndone = result === AssignmentResult.NotSent || result === AssignmentResult.Rejected;
		if (isUndone || nowMs < assignment.assignedAtMs + assignment.waitMs) {
			this.pendingPrefills = this.pendingPrefills.filter(other => other !== assignment);
			this.predictBusy();
		}

		if (result === AssignmentResult.Failed || result === AssignmentResult.Rejected) {
			this.failures.push(nowMs);
		}

		return assignment;
	}

	/** Learns from a completed request that has been removed. */
	noteCompleted(assignment: Assignment, firstEventMs: AssignmentEnd['firstEventMs'], nowMs: number): void {
		const {route, uncachedTokens, waitMs, paceFactor, assignedAtMs} = assignment;
		const {key, isEngine} = this.current;
		this.times.noteRun((nowMs - assignedAtMs) / paceFactor);
		if (firstEventMs === undefined) {
			return;
		}

		if (waitMs <= noWaitMs && this.isPaceSteady(assignment)) {
			if (isEngine) {
				this.times.noteFirstEvent(key, uncachedTokens, firstEventMs, paceFactor);
			} else {
				this.times.noteCall(route, firstEventMs, paceFactor);
			}
		}

		if (isEngine) {
			this.notePrefill(assignment, firstEventMs);
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return {
			...this.current, assigned: this.assignments.size, backlogMs: Math.round(Math.max(0, this.busyUntilMs - nowMs)), memoryTokens: this.memoryTokens,
		};
	}

	private addPendingPrefill(assignment: Assignment): void {
		if (this.pendingPrefills.length >= maxPendingPrefills) {
			this.pendingPrefills = [];
			this.prefillFromMs = this.busyUntilMs - assignment.workMs;
			this.lastPrefilledAtMs = undefined;
		}

		this.pendingPrefills.push(assignment);
	}

	/** Corrects an engine's backlog by the time of a first event, since errors of the predictions would add up while it is never idle. */
	private notePrefill(assignment: Assignment, firstEventMs: number): void {
		const index = this.pendingPrefills.indexOf(assignment);
		if (index === -1) {
			return;
		}

		const {key} = this.current;
		const {uncachedTokens, waitMs, paceFactor, assignedAtMs} = assignment;
		const prefilledAtMs = assignedAtMs + Math.max(0, firstEventMs - (this.times.fixedMs(key) * paceFactor));
		if (index === 0 && this.lastPrefilledAtMs !== undefined && waitMs > noWaitMs && this.isPaceSteady(assignment)) {
			this.times.notePrefill(key, uncachedTokens, prefilledAtMs - Math.max(this.lastPrefilledAtMs, assignedAtMs), paceFactor);
		}

		this.lastPrefilledAtMs = prefilledAtMs;
		this.prefillFromMs = prefilledAtMs;
		this.pendingPrefills = this.pendingPrefills.slice(index + 1);
		this.predictBusy();
	}

	/** Predicts when an engine will have read what is assigned to it. */
	private predictBusy(): void {
		this.busyUntilMs = this.prefillFromMs;
		for (const {prefillableFromMs, workMs} of this.pendingPrefills) {
			this.busyUntilMs = Math.max(this.busyUntilMs, prefillableFromMs) + workMs;
		}
	}

	/** Whether the backend server still has about the pace that it had when a request was assigned. */
	private isPaceSteady({paceFactor}: Assignment): boolean {
		return Math.abs(this.current.paceFactor - paceFactor) <= paceFactor * maxPaceChange;
	}
}
