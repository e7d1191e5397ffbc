/**
 * Assigns the requests of all daemons to the backend servers of one group. It answers load that
 * daemons cannot place well each by itself: prompts of very different lengths, backend servers
 * of different paces, few slots before many daemons, and demand beyond the capacity. What is
 * assigned here is known exactly; requests that daemons send on their own count as reported.
 *
 * A request goes where its first event is predicted soonest. One for which no backend server
 * has room waits in the queue of the group, and is refused as soon as it cannot begin before
 * its deadline. Less urgent requests do not fill an engine's backlog: they wait in the queue, so
 * that urgent ones find short backlogs everywhere.
 */
import {
	type AssignableBackend, type AssignmentCandidate, type AssignmentDecision, type AssignmentEnd, type AssignmentExplanation, type AssignmentId, AssignmentKind, type AssignmentRequest, AssignmentResult, type AssignmentTerms,
} from '../../protocol/assignment.js';
import {AssignmentQueue, keyOf, type QueuedRequest} from './assignment-queue.js';
import {type Assignment, BackendLoad, type Choice} from './backend-load.js';
import {LearnedTimes} from './learned-times.js';

/** Share of the remaining time by which the first event must be predicted; the rest is for the answer. */
const maxWaitShare = 0.8;
/** Share of the shortest latency target of more urgent requests up to which less urgent ones may fill an engine's backlog. */
const backlogShare = 0.25;
/** Time for which a latency target counts after the last request that had it, in milliseconds. */
const targetMaxAgeMs = 5000;
/** Shortest Retry-After, in milliseconds. */
const minRetryAfterMs = 50;
/** Time for which a refused request is remembered, in milliseconds. */
const refusalMemoryMs = 10_000;
/** Weight of a request's own work beside its wait: work that a cache saves is also saved for the requests after it. */
const workWeight = 2;
/** Prompt tokens that another engine must have cached beyond the chosen one to be copied from: a copy costs a sixth of a new prefill. */
const minCopiedTokens = 300;
/** Cost of each recent failure of a backend server, in milliseconds: one that fails at once would otherwise seem idle and attract requests. */
const failureCostMs = 400;
/** Recent failures from which on a backend server gets no request while another has had none. */
const maxFailures = 3;
/** Time after the predicted one at which the daemon of a waiting request is told a new prediction, in milliseconds: half of the margin after which it gives up. */
const noticeDelayMs = 50;
/** Interval at which waiting requests are checked for those that can no longer be served, and assignments for those past their deadline, in milliseconds: looking through all of them takes most of the time of a decision. */
const expiryCheckMs = 50;

/** The reason for which a backend server gets no request that has failed several of late. */
const failingReason = 'failing';

/** Assigns requests to the backend servers of one group. */
export class AssignmentLedger {
	private readonly loads = new Map<number, BackendLoad>();
	/** The backend server of each assignment, by the key of the request. */
	private readonly assignedTo = new Map<string, BackendLoad>();
	private readonly queue = new AssignmentQueue();
	private readonly times = new LearnedTimes();
	/** When a request of each priority last had each latency target. */
	private readonly targets = new Map<number, Map<number, number>>();
	/** When refused requests were refused, by the key under which they come back. */
	private readonly refusedAtMs = new Map<string, number>();
	/** When the last refused client comes back. */
	private lastReturnAtMs = 0;
	private expiredAtMs = Number.NEGATIVE_INFINITY;

	/** Whether the group has no backend server. */
	get isEmpty(): boolean {
		return this.loads.size === 0;
	}

	/** Number of requests that wait. */
	get queued(): number {
		return this.queue.size;
	}

	/** Replaces the usable backend servers. Assignments to those that are gone are dropped. */
	update(backends: AssignableBackend[], nowMs: number): AssignmentDecision[] {
		const keys = new Set(backends.map(({key}) => key));
		for (const [key, load] of this.loads) {
			if (!keys.has(key)) {
				this.loads.delete(key);
				for (const assignment of load.assignments.keys()) {
					this.assignedTo.delete(assignment);
				}
			}
		}

		for (const backend of backends) {
			const load = this.loads.get(backend.key);
			if (load) {
				load.update(backend, nowMs);
			} else {
				this.loads.set(backend.key, new BackendLoad(backend, this.times, nowMs));
			}
		}

		this.times.retain(keys);
		return this.assignQueued(nowMs);
	}

	/** Decides on a request. One that arrives twice gets the same decision again. */
	request(request: AssignmentRequest, nowMs: number): AssignmentDecision[] {
		const known = this.knownDecision(request, nowMs);
		if (known) {
			return [known];
		}

		this.noteTarget(request, nowMs);
		const entry = this.createEntry(request, nowMs);
		const decision = this.decide(entry, nowMs);
		if (decision.kind === AssignmentKind.Assigned) {
			this.assign(request, decision, nowMs);
			this.queue.charge(request);
		} else if (decision.kind === AssignmentKind.Queued) {
			entry.noticeAtMs = nowMs + decision.expectedMs + noticeDelayMs;
			this.queue.add(entry);
		} else {
			this.noteRefusal(request, decision.retryAfterMs, nowMs);
		}

		return [decision];
	}

	/** Records the end of an assigned request, and assigns waiting ones to the room that it leaves. */
	end(end: AssignmentEnd, nowMs: number): AssignmentDecision[] {
		const load = this.assignedTo.get(keyOf(end));
		const assignment = this.removeAssignment(end, end.result, nowMs);
		if (load && assignment && end.result === AssignmentResult.Completed) {
			load.noteCompleted(assignment, end.firstEventMs, nowMs);
		}

		return this.assignQueued(nowMs);
	}

	/** Removes a waiting request, since its client left or it was sent without an assignment. */
	withdraw(id: AssignmentId, nowMs: number): AssignmentDecision[] {
		this.queue.remove(id);
		this.removeAssignment(id, AssignmentResult.NotSent, nowMs);
		return this.assignQueued(nowMs);
	}

	/**
	 * Drops what a daemon held that is gone or has restarted.
	 *
	 * @param incarnation The daemon's present start, whose requests stay; undefined if it is gone.
	 */
	drop(daemon: string, incarnation: string | undefined, nowMs: number): AssignmentDecision[] {
		const isDropped = (id: AssignmentId) => id.daemon === daemon && id.incarnation !== incarnation;
		for (const {request} of [...this.queue.values()].filter(entry => isDropped(entry.request))) {
			this.queue.remove(request);
		}

		for (const load of this.loads.values()) {
			for (const {id} of [...load.assignments.values()].filter(assignment => isDropped(assignment.id))) {
				this.removeAssignment(id, AssignmentResult.Abandoned, nowMs);
			}
		}

		return this.assignQueued(nowMs);
	}

	/** Forgets assignments past their deadline, refuses waiting requests that can no longer be served, and assigns what now has room. */
	expire(nowMs: number): AssignmentDecision[] {
		if (nowMs - this.expiredAtMs < expiryCheckMs) {
			return this.assignQueued(nowMs);
		}

		this.expiredAtMs = nowMs;
		for (const load of this.loads.values()) {
			for (const {id} of [...load.assignments.values()].filter(({expiresAtMs}) => expiresAtMs <= nowMs)) {
				this.removeAssignment(id, AssignmentResult.Abandoned, nowMs);
			}
		}

		for (const [key, atMs] of this.refusedAtMs) {
			if (nowMs - atMs > refusalMemoryMs) {
				this.refusedAtMs.delete(key);
			}
		}

		return this.assignQueued(nowMs, true);
	}

	/** Returns the wait that a request of a priority would meet, in milliseconds, by which daemons choose among groups. */
	waitMs(priority: number, nowMs: number): number {
		return Math.round(Math.min(this.shortestWaitMs(nowMs), Number.MAX_SAFE_INTEGER) + this.drainMs(this.queuedWorkMs(priority)));
	}

	/** Returns the number of requests assigned to a backend server. */
	assigned(key: number): number {
		return this.loads.get(key)?.assignments.size ?? 0;
	}

	/**
	 * Returns the present predictions for those waiting requests whose last one has passed. They tell
	 * their daemons, which give up after twice the prediction, that the coordinator is alive.
	 */
	queueNotices(nowMs: number): AssignmentDecision[] {
		if (this.isEmpty || ![...this.queue.values()].some(({noticeAtMs}) => noticeAtMs <= nowMs)) {
			return [];
		}

		const notices: AssignmentDecision[] = [];
		const waitMs = this.shortestWaitMs(nowMs);
		let workAheadMs = 0;
		for (const entry of this.queue.ordered(nowMs)) {
			const {daemon, incarnation, id} = entry.request;
			const expectedMs = Math.round(waitMs + this.drainMs(workAheadMs) + entry.workMs);
			workAheadMs += entry.workMs;
			if (entry.noticeAtMs <= nowMs) {
				entry.noticeAtMs = nowMs + expectedMs + noticeDelayMs;
				notices.push({
					daemon, incarnation, id, kind: AssignmentKind.Queued, expectedMs,
				});
			}
		}

		return notices;
	}

	/** Tells what would be decided on a request now; assigns and queues nothing. */
	explain(request: AssignmentRequest, nowMs: number): AssignmentExplanation {
		return {
			decision: this.decide(this.createEntry(request, nowMs), nowMs),
			candidates: [...this.loads.values()].map(load => this.candidate(load, request, 0, nowMs)),
			queued: this.queue.size,
		};
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return {
			queued: this.queue.size,
			waitMs: this.waitMs(Number.POSITIVE_INFINITY, nowMs),
			backends: [...this.loads.values()].map(load => load.toJson(nowMs)),
		};
	}

	/** Returns the decision on a request that is assigned or waits already. */
	private knownDecision(request: AssignmentRequest, nowMs: number): AssignmentDecision | undefined {
		const {daemon, incarnation, id} = request;
		const assignment = this.assignedTo.get(keyOf(request))?.assignments.get(keyOf(request));
		if (assignment) {
			return {
				daemon, incarnation, id, kind: AssignmentKind.Assigned, ...assignment.choice,
			};
		}

		const entry = this.queue.get(request);
		return entry && {
			daemon, incarnation, id, kind: AssignmentKind.Queued, expectedMs: Math.round(this.predictQueued(entry, this.queue.workAhead(entry, nowMs), nowMs)),
		};
	}

	private createEntry(request: AssignmentRequest, nowMs: number): QueuedRequest {
		const refusedAtMs = request.returnKey === undefined ? undefined : this.refusedAtMs.get(request.returnKey);
		const works = [...this.loads.values()].map(load => load.workMs(request));
		return {
			request,
			queuedAtMs: nowMs,
			noticeAtMs: nowMs,
			targetAtMs: nowMs + request.targetMs,
			deadlineAtMs: nowMs + request.remainingMs,
			workMs: works.length > 0 ? Math.min(...works) : 0,
			isReturning: refusedAtMs !== undefined && nowMs - refusedAtMs <= refusalMemoryMs,
		};
	}

	/** Decides on a request that is not in the queue. */
	private decide(entry: QueuedRequest, nowMs: number): AssignmentDecision {
		const {request} = entry;
		const {daemon, incarnation, id} = request;
		const workAheadMs = this.queue.isEmpty ? 0 : this.queue.workAhead(entry, nowMs);
		// It must not overtake requests that wait and rank before it.
		const choice = workAheadMs > 0 ? undefined : this.choose(entry, nowMs);
		if (choice && isInTime(choice.terms, request.remainingMs)) {
			return {
				daemon, incarnation, id, kind: AssignmentKind.Assigned, ...choice,
			};
		}

		const predictedMs = choice?.terms.predictedMs ?? this.predictQueued(entry, workAheadMs, nowMs);
		if (predictedMs > request.remainingMs * maxWaitShare) {
			const hasBackends = this.loads.size > 0;
			return {
				daemon, incarnation, id, kind: AssignmentKind.Refused, retryAfterMs: this.retryAfterMs(entry, nowMs), reason: hasBackends ? `would wait ${Math.round(predictedMs)} ms` : 'no backend server in the group',
			};
		}

		return {
			daemon, incarnation, id, kind: AssignmentKind.Queued, expectedMs: Math.round(predictedMs),
		};
	}

	/**
	 * Assigns waiting requests in order, as long as the first one has room.
	 *
	 * @param isExpiring Whether those are refused that can no longer be served.
	 */
	private assignQueued(nowMs: number, isExpiring = false): AssignmentDecision[] {
		const decisions: AssignmentDecision[] = [];
		// A view without backend servers may be a stale one, by which nobody is refused: their daemons hear nothing and place the requests.
		if (this.queue.isEmpty || this.isEmpty) {
			this.removeOutdated(nowMs);
			return decisions;
		}

		let isBlocked = !this.hasRoom(nowMs);
		let workAheadMs = 0;
		let waiting = isBlocked && !isExpiring ? [] : this.queue.ordered(nowMs);
		for (let entry = waiting.shift(); entry; entry = waiting.shift()) {
			if (isBlocked && !isExpiring) {
				break;
			}

			const {request} = entry;
			const {daemon, incarnation, id} = request;
			const choice: Choice | undefined = isBlocked ? undefined : this.choose(entry, nowMs);
			const remainingMs = entry.deadlineAtMs - nowMs;
			if (choice && isInTime(choice.terms, remainingMs)) {
				// It is charged while it still counts as waiting, so that the last one does not reset the shares of a busy period.
				this.queue.charge(request);
				this.queue.remove(request);
				this.assign({...request, remainingMs}, choice, nowMs);
				decisions.push({
					daemon, incarnation, id, kind: AssignmentKind.Assigned, ...choice,
				});
				// The charge may have changed the order.
				const rest = new Set(waiting);
				waiting = this.queue.ordered(nowMs).filter(other => rest.has(other));
				continue;
			}

			// A request that must not go to some backend servers does not hold up those that may.
			isBlocked ||= !choice && request.excluded.length === 0;
			const predictedMs = choice?.terms.predictedMs ?? this.predictQueued(entry, workAheadMs, nowMs);
			if (predictedMs > remainingMs * maxWaitShare) {
				this.queue.remove(request);
				const retryAfterMs = this.retryAfterMs(entry, nowMs);
				this.noteRefusal(request, retryAfterMs, nowMs);
				decisions.push({
					daemon, incarnation, id, kind: AssignmentKind.Refused, retryAfterMs, reason: `would wait ${Math.round(predictedMs)} ms more after ${Math.round(nowMs - entry.queuedAtMs)}`,
				});
			} else {
				workAheadMs += entry.workMs;
			}
		}

		return decisions;
	}

	/** Whether a backend server may have room for the most urgent of the waiting requests. */
	private hasRoom(nowMs: number): boolean {
		let priority = Number.POSITIVE_INFINITY;
		for (const {request} of this.queue.values()) {
			priority = Math.min(priority, request.priority);
		}

		const maxBacklogMs = this.maxBacklogMs(priority, nowMs);
		return [...this.loads.values()].some(load => load.inFlight < load.backend.slots && (!load.backend.isEngine || load.inFlight === 0 || load.waitMs(nowMs) <= maxBacklogMs));
	}

	/** Removes waiting requests whose deadline has passed. */
	private removeOutdated(nowMs: number): void {
		for (const {request} of [...this.queue.values()].filter(({deadlineAtMs}) => deadlineAtMs <= nowMs)) {
			this.queue.remove(request);
		}
	}

	/** Returns the backend server at which a request costs least among those with room, and the figures behind the choice. */
	private choose(entry: QueuedRequest, nowMs: number): Choice | undefined {
		const {request, queuedAtMs} = entry;
		let best: AssignmentCandidate | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		let mostCached: AssignmentCandidate | undefined;
		for (const load of this.loads.values()) {
			const candidate = this.candidate(load, request, nowMs - queuedAtMs, nowMs);
			const {terms} = candidate;
			const isSource = candidate.excludedReason !== failingReason && (!mostCached || terms.cachedTokens > mostCached.terms.cachedTokens);
			mostCached = isSource ? candidate : mostCached;
			if (candidate.excludedReason !== undefined) {
				continue;
			}

			const cost = terms.waitMs + ((terms.predictedMs - terms.waitMs) * workWeight) + (load.recentFailures(nowMs) * failureCostMs);
			if (cost < bestCost || (cost === bestCost && terms.inFlight < best!.terms.inFlight)) {
				best = candidate;
				bestCost = cost;
			}
		}

		if (!best) {
			return undefined;
		}

		const isCopied = mostCached!.terms.cachedTokens - best.terms.cachedTokens >= minCopiedTokens;
		return {backend: best.backend, copyFrom: isCopied ? mostCached!.backend : undefined, terms: best.terms};
	}

	private candidate(load: BackendLoad, request: AssignmentRequest, queuedMs: number, nowMs: number): AssignmentCandidate {
		const waitMs = load.waitMs(nowMs);
		return {
			backend: load.backend.key,
			terms: {
				predictedMs: waitMs + load.workMs(request),
				waitMs,
				queuedMs,
				cachedTokens: load.cachedTokens(request),
				inFlight: load.inFlight,
				paceFactor: load.backend.paceFactor,
			},
			excludedReason: this.findExclusion(load, request, waitMs, nowMs),
		};
	}

	/** Returns why a request may not go to a backend server now. */
	private findExclusion(load: BackendLoad, request: AssignmentRequest, waitMs: number, nowMs: number): string | undefined {
		const {backend, inFlight, memoryTokens} = load;
		if (request.excluded.includes(backend.key)) {
			return 'excluded';
		}

		if (inFlight >= backend.slots) {
			return 'no slot';
		}

		if (load.recentFailures(nowMs) >= maxFailures && [...this.loads.values()].some(other => other.recentFailures(nowMs) === 0)) {
			return failingReason;
		}

		if (!backend.isEngine || inFlight === 0) {
			return undefined;
		}

		if (backend.kvTokens !== undefined && memoryTokens + request.cost > backend.kvTokens) {
			return 'no memory';
		}

		return waitMs > this.maxBacklogMs(request.priority, nowMs) ? 'backlog' : undefined;
	}

	/** Returns the longest backlog of an engine to which a request of this priority may be added, in milliseconds. */
	private maxBacklogMs(priority: number, nowMs: number): number {
		let shortestMs = Number.POSITIVE_INFINITY;
		for (const [other, times] of this.targets) {
			for (const [targetMs, atMs] of other < priority ? times : []) {
				shortestMs = nowMs - atMs <= targetMaxAgeMs ? Math.min(shortestMs, targetMs) : shortestMs;
			}
		}

		return shortestMs * backlogShare;
	}

	/** Returns the time until the first event of a request that waits behind this much work, in milliseconds. */
	private predictQueued(entry: QueuedRequest, workAheadMs: number, nowMs: number): number {
		return this.shortestWaitMs(nowMs) + this.drainMs(workAheadMs) + entry.workMs;
	}

	/** Returns the shortest wait at a backend server of the group, in milliseconds. */
	private shortestWaitMs(nowMs: number): number {
		let shortestMs = Number.POSITIVE_INFINITY;
		for (const load of this.loads.values()) {
			shortestMs = Math.min(shortestMs, load.waitMs(nowMs));
		}

		return shortestMs;
	}

	/** Returns the work of the waiting requests of this or a more urgent priority, in milliseconds of one backend server. */
	private queuedWorkMs(priority: number): number {
		let workMs = 0;
		for (const entry of this.queue.values()) {
			workMs += entry.request.priority <= priority ? entry.workMs : 0;
		}

		return workMs;
	}

	/** Returns the time in which the group does this much work, in milliseconds. An engine reads one prompt at a time; a plain service works in all of its slots. */
	private drainMs(workMs: number): number {
		let parallel = 0;
		for (const {backend} of this.loads.values()) {
			parallel += backend.isEngine ? 1 : backend.slots;
		}

		return parallel === 0 ? 0 : workMs / parallel;
	}

	/** Returns when a refused client may come back: once what waits now is done, one after the other at the rate at which room comes free. */
	private retryAfterMs(entry: QueuedRequest, nowMs: number): number {
		const freeAtMs = nowMs + Math.max(minRetryAfterMs, this.drainMs(this.queuedWorkMs(entry.request.priority)));
		return Math.ceil(Math.max(freeAtMs, this.lastReturnAtMs + this.drainMs(entry.workMs)) - nowMs);
	}

	private noteRefusal({returnKey}: AssignmentRequest, retryAfterMs: number, nowMs: number): void {
		this.lastReturnAtMs = nowMs + retryAfterMs;
		if (returnKey !== undefined) {
			this.refusedAtMs.set(returnKey, nowMs);
		}
	}

	private noteTarget({priority, latencyTargetMs}: AssignmentRequest, nowMs: number): void {
		const times = this.targets.get(priority) ?? new Map<number, number>();
		this.targets.set(priority, times);
		times.set(latencyTargetMs, nowMs);
		for (const [targetMs, atMs] of times) {
			if (nowMs - atMs > targetMaxAgeMs) {
				times.delete(targetMs);
			}
		}
	}

	private assign(request: AssignmentRequest, {backend, copyFrom, terms}: Choice, nowMs: number): void {
		const load = this.loads.get(backend)!;
		const key = keyOf(request);
		load.add(key, request, {backend, copyFrom, terms}, nowMs);
		this.assignedTo.set(key, load);
	}

	/** Removes an assignment. If it was not sent, was rejected, or its turn had not come, its work is removed from the backlog. */
	private removeAssignment(id: AssignmentId, result: AssignmentResult, nowMs: number): Assignment | undefined {
		const key = keyOf(id);
		const load = this.assignedTo.get(key);
		this.assignedTo.delete(key);
		return load?.remove(key, result, nowMs);
	}
}

/** Whether a request's first event is predicted early enough for its answer to be complete in time. */
function isInTime({predictedMs}: AssignmentTerms, remainingMs: number): boolean {
	return predictedMs <= remainingMs * maxWaitShare;
}
