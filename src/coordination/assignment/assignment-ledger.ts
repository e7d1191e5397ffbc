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
import {LearnedTimes} from './learned-times.js';
import {PrefixCache} from './prefix-cache.js';

/** Share of the remaining time by which the first event must be predicted; with a later one, the answer would not be complete in time. */
const maxWaitShare = 0.8;
/** Share of the shortest latency target of more urgent requests up to which less urgent ones may fill an engine's backlog. */
const backlogShare = 0.25;
/** Time for which the latency target of a kind of request counts after its last one, in milliseconds. */
const targetMaxAgeMs = 5000;
/** Shortest Retry-After, in milliseconds. */
const minRetryAfterMs = 50;
/** Time for which a refused request is remembered, in milliseconds. */
const refusalMemoryMs = 10_000;
/** Delay of a backend server that is still cold after its start, in milliseconds. */
const coldStartMs = 100;
/** Weight of a request's own work beside its wait: work that a cache saves is also saved for the requests after it. */
const workWeight = 2;
/** Waits up to this long count as none when times are learned, in milliseconds. */
const noWaitMs = 1;
/** Time after its deadline at which an assignment is forgotten whose end was not reported, in milliseconds. */
const endGraceMs = 1000;
/** Prompt tokens that another engine must have cached beyond the chosen one to be copied from: a copy costs a sixth of a new prefill. */
const minCopiedTokens = 300;
/** Cost of each recent failure of a backend server, in milliseconds: one that fails at once would otherwise seem idle and attract requests. */
const failureCostMs = 400;
/** Time for which a failure counts, in milliseconds. */
const failureMaxAgeMs = 3000;
/** Recent failures from which on a backend server gets no request while another has had none. */
const maxFailures = 3;
/** Time after the predicted one at which the daemon of a waiting request is told a new prediction, in milliseconds: half of the margin after which it gives up. */
const noticeDelayMs = 50;
/** Interval at which waiting requests are checked for those that can no longer be served, and assignments for those past their deadline, in milliseconds: looking through all of them takes most of the time of a decision. */
const expiryCheckMs = 50;
/** Interval at which a queue is checked that no end of a request moves on, in milliseconds. */
const queueCheckMs = 10;

/** Share by which a pace may have changed during a request from which times are learned: which pace applied to it is not known otherwise. */
const maxPaceChange = 0.1;
/** Most assignments by which an engine's backlog is corrected; their prompts are read in some seconds. */
const maxUnread = 64;

type Choice = {backend: number; copyFrom: number | undefined; terms: AssignmentTerms};

type Assignment = {
	id: AssignmentId;
	backend: number;
	isEngine: boolean;
	route: string;
	uncachedTokens: number;
	memoryTokens: number;
	waitMs: number;
	workMs: number;
	paceFactor: number;
	assignedAtMs: number;
	/** The earliest time at which its prompt is read, as if the present pace had always applied. */
	readableFromMs: number;
	expiresAtMs: number;
};

type BackendLoad = {
	backend: AssignableBackend;
	assignments: Map<string, Assignment>;
	cache: PrefixCache;
	/** When an engine will have read the prompts assigned to it. */
	busyUntilMs: number;
	/** The assignments whose prompts an engine reads from `readFromMs` on, in this order. */
	unread: Assignment[];
	/** When an engine had read the prompt before those in `unread`. */
	readFromMs: number;
	/** When the prompt right before those in `unread` was read, by its first event; undefined if that is not known. */
	lastReadAtMs: number | undefined;
	memoryTokens: number;
	/** Times of recent failures. */
	failures: number[];
};

/** Assigns requests to the backend servers of one group. */
export class AssignmentLedger {
	private readonly loads = new Map<number, BackendLoad>();
	/** The backend server of each assignment, by the key of the request. */
	private readonly assignedTo = new Map<string, BackendLoad>();
	private readonly queue = new AssignmentQueue();
	private readonly times = new LearnedTimes();
	/** The shortest latency target of each priority, and when a request last had it. */
	private readonly targets = new Map<number, {targetMs: number; atMs: number}>();
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
				changePace(load, backend.paceFactor, nowMs);
				load.backend = backend;
			} else {
				this.loads.set(backend.key, {
					backend, assignments: new Map(), cache: new PrefixCache(), busyUntilMs: nowMs, unread: [], readFromMs: nowMs, lastReadAtMs: undefined, memoryTokens: 0, failures: [],
				});
			}
		}

		this.times.retain(keys);
		return this.assignQueued(nowMs);
	}

	/** Decides on a request. A request that is repeated, since its decision was lost, gets its decision again. */
	request(request: AssignmentRequest, nowMs: number): AssignmentDecision[] {
		this.noteTarget(request, nowMs);
		if (this.assignedTo.has(keyOf(request)) || this.queue.get(request)) {
			this.take(request, AssignmentResult.NotSent, nowMs);
			this.queue.remove(request);
		}

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
		const assignment = this.take(end, end.result, nowMs);
		if (load && (end.result === AssignmentResult.Failed || end.result === AssignmentResult.Rejected)) {
			load.failures.push(nowMs);
		}

		if (load && assignment && end.result === AssignmentResult.Completed) {
			this.learn(load, assignment, end.firstEventMs, nowMs);
			if (assignment.isEngine && end.firstEventMs !== undefined) {
				this.noteRead(load, assignment, end.firstEventMs);
			}
		}

		return this.assignQueued(nowMs);
	}

	/** Removes a waiting request, since its client left or it was sent without an assignment. */
	withdraw(id: AssignmentId, nowMs: number): AssignmentDecision[] {
		this.queue.remove(id);
		this.take(id, AssignmentResult.NotSent, nowMs);
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
				this.take(id, AssignmentResult.Abandoned, nowMs);
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
				this.take(id, AssignmentResult.Abandoned, nowMs);
			}
		}

		for (const [key, atMs] of this.refusedAtMs) {
			if (nowMs - atMs > refusalMemoryMs) {
				this.refusedAtMs.delete(key);
			}
		}

		return this.assignQueued(nowMs, true);
	}

	/** Returns when to call {@link expire} again: soon while requests wait. */
	nextCheckMs(): number | undefined {
		return this.queue.isEmpty ? undefined : queueCheckMs;
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

	/** Tells what would be decided on a request now; changes nothing. */
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
			backends: [...this.loads.values()].map(({backend, assignments, busyUntilMs, memoryTokens}) => ({
				...backend, assigned: assignments.size, backlogMs: Math.round(Math.max(0, busyUntilMs - nowMs)), memoryTokens,
			})),
		};
	}

	private createEntry(request: AssignmentRequest, nowMs: number): QueuedRequest {
		const refusedAtMs = request.returnKey === undefined ? undefined : this.refusedAtMs.get(request.returnKey);
		const works = [...this.loads.values()].map(load => this.workAt(load, request));
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
		// Requests that wait and go first would be overtaken.
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
		for (const entry of isBlocked && !isExpiring ? [] : this.queue.ordered(nowMs)) {
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
		return [...this.loads.values()].some(load => {
			const inFlight = load.assignments.size + load.backend.inFlightElsewhere;
			return inFlight < load.backend.slots && (!load.backend.isEngine || inFlight === 0 || this.waitAt(load, nowMs) <= maxBacklogMs);
		});
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
		this.dropOldFailures(nowMs);
		for (const load of this.loads.values()) {
			const candidate = this.candidate(load, request, nowMs - queuedAtMs, nowMs);
			const {terms} = candidate;
			mostCached = !mostCached || terms.cachedTokens > mostCached.terms.cachedTokens ? candidate : mostCached;
			if (candidate.excludedReason !== undefined) {
				continue;
			}

			const cost = terms.waitMs + ((terms.predictedMs - terms.waitMs) * workWeight) + (load.failures.length * failureCostMs);
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
		const {backend, cache} = load;
		const waitMs = this.waitAt(load, nowMs);
		return {
			backend: backend.key,
			terms: {
				predictedMs: waitMs + this.workAt(load, request),
				waitMs,
				queuedMs,
				cachedTokens: backend.isEngine ? cache.cachedTokens(request.promptParts) : 0,
				inFlight: load.assignments.size + backend.inFlightElsewhere,
				paceFactor: backend.paceFactor,
			},
			excludedReason: this.findExclusion(load, request, waitMs, nowMs),
		};
	}

	/** Returns why a request may not go to a backend server now. */
	private findExclusion({backend, assignments, memoryTokens, failures}: BackendLoad, request: AssignmentRequest, waitMs: number, nowMs: number): string | undefined {
		const inFlight = assignments.size + backend.inFlightElsewhere;
		if (request.excluded.includes(backend.key)) {
			return 'excluded';
		}

		if (inFlight >= backend.slots) {
			return 'no slot';
		}

		if (failures.length >= maxFailures && [...this.loads.values()].some(other => other.failures.length === 0)) {
			return 'failing';
		}

		if (!backend.isEngine || inFlight === 0) {
			return undefined;
		}

		if (backend.kvTokens !== undefined && memoryTokens + request.cost > backend.kvTokens) {
			return 'no memory';
		}

		return waitMs > this.maxBacklogMs(request.priority, nowMs) ? 'backlog' : undefined;
	}

	private dropOldFailures(nowMs: number): void {
		for (const load of this.loads.values()) {
			load.failures = load.failures.filter(atMs => nowMs - atMs < failureMaxAgeMs);
		}
	}

	/** Returns the longest backlog of an engine to which a request of this priority may be added, in milliseconds. */
	private maxBacklogMs(priority: number, nowMs: number): number {
		let shortestMs = Number.POSITIVE_INFINITY;
		for (const [other, {targetMs, atMs}] of this.targets) {
			if (other < priority && nowMs - atMs <= targetMaxAgeMs) {
				shortestMs = Math.min(shortestMs, targetMs);
			}
		}

		return shortestMs * backlogShare;
	}

	/** Returns the time until a request's own work would begin at a backend server, in milliseconds. */
	private waitAt({backend, assignments, busyUntilMs}: BackendLoad, nowMs: number): number {
		const excess = assignments.size + backend.inFlightElsewhere + 1 - backend.slots;
		const slotWaitMs = excess > 0 ? excess / backend.slots * this.times.meanRunMs * backend.paceFactor : 0;
		return Math.max(0, busyUntilMs - nowMs, slotWaitMs);
	}

	/** Returns the time of a request's own work at a backend server until its first event, or its answer, in milliseconds. */
	private workAt({backend, cache}: BackendLoad, {promptTokens, promptParts, route}: AssignmentRequest): number {
		const usualMs = backend.isEngine
			? this.times.readMs(backend.key, Math.max(0, promptTokens - cache.cachedTokens(promptParts))) + this.times.fixedMs(backend.key)
			: this.times.callMs(route);
		return (usualMs * backend.paceFactor) + (backend.isCold ? coldStartMs : 0);
	}

	/** Returns the time until the first event of a request that waits behind this much work, in milliseconds. */
	private predictQueued(entry: QueuedRequest, workAheadMs: number, nowMs: number): number {
		return this.shortestWaitMs(nowMs) + this.drainMs(workAheadMs) + entry.workMs;
	}

	/** Returns the shortest wait at a backend server of the group, in milliseconds. */
	private shortestWaitMs(nowMs: number): number {
		let shortestMs = Number.POSITIVE_INFINITY;
		for (const load of this.loads.values()) {
			shortestMs = Math.min(shortestMs, this.waitAt(load, nowMs));
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

	private noteTarget({priority, targetMs}: AssignmentRequest, nowMs: number): void {
		const known = this.targets.get(priority);
		const isOutdated = known === undefined || nowMs - known.atMs > targetMaxAgeMs;
		if (targetMs > 0) {
			this.targets.set(priority, {targetMs: isOutdated ? targetMs : Math.min(known.targetMs, targetMs), atMs: nowMs});
		}
	}

	private assign(request: AssignmentRequest, {backend: key, terms}: {backend: number; terms: AssignmentTerms}, nowMs: number): void {
		const load = this.loads.get(key)!;
		const {backend} = load;
		const uncachedTokens = Math.max(0, request.promptTokens - terms.cachedTokens);
		const workMs = backend.isEngine ? this.times.readMs(key, uncachedTokens) * backend.paceFactor : 0;
		const memoryTokens = backend.isEngine ? request.cost : 0;
		const {daemon, incarnation, id} = request;
		const assignment: Assignment = {
			id: {daemon, incarnation, id},
			backend: key,
			isEngine: backend.isEngine,
			route: request.route,
			uncachedTokens,
			memoryTokens,
			waitMs: terms.waitMs,
			workMs,
			paceFactor: backend.paceFactor,
			assignedAtMs: nowMs,
			readableFromMs: nowMs,
			expiresAtMs: nowMs + request.remainingMs + endGraceMs,
		};
		load.assignments.set(keyOf(request), assignment);
		this.assignedTo.set(keyOf(request), load);
		load.memoryTokens += memoryTokens;
		load.busyUntilMs = Math.max(load.busyUntilMs, nowMs) + workMs;
		if (backend.isEngine) {
			if (load.unread.length >= maxUnread) {
				load.unread = [];
				load.readFromMs = load.busyUntilMs - workMs;
				load.lastReadAtMs = undefined;
			}

			load.unread.push(assignment);
			load.cache.add(request.promptParts, backend.kvTokens);
		}
	}

	/** Removes an assignment; work that was not begun is taken off the backlog. */
	private take(id: AssignmentId, result: AssignmentResult, nowMs: number): Assignment | undefined {
		const key = keyOf(id);
		const load = this.assignedTo.get(key);
		const assignment = load?.assignments.get(key);
		this.assignedTo.delete(key);
		if (!load || !assignment) {
			return undefined;
		}

		load.assignments.delete(key);
		load.memoryTokens -= assignment.memoryTokens;
		const isUndone = result === AssignmentResult.NotSent || result === AssignmentResult.Rejected;
		if (isUndone || nowMs < assignment.assignedAtMs + assignment.waitMs) {
			load.unread = load.unread.filter(other => other !== assignment);
			predictBusy(load);
		}

		return assignment;
	}

	/** Corrects an engine's backlog by the time of a first event, since errors of the predictions would add up while it is never idle. */
	private noteRead(load: BackendLoad, assignment: Assignment, firstEventMs: number): void {
		const index = load.unread.indexOf(assignment);
		if (index === -1) {
			return;
		}

		const readAtMs = assignment.assignedAtMs + Math.max(0, firstEventMs - (this.times.fixedMs(assignment.backend) * assignment.paceFactor));
		if (index === 0 && load.lastReadAtMs !== undefined && assignment.waitMs > noWaitMs && isPaceSteady(load, assignment)) {
			this.times.noteRead(assignment.backend, assignment.uncachedTokens, readAtMs - Math.max(load.lastReadAtMs, assignment.assignedAtMs), assignment.paceFactor);
		}

		load.lastReadAtMs = readAtMs;
		load.readFromMs = readAtMs;
		load.unread = load.unread.slice(index + 1);
		predictBusy(load);
	}

	private learn(load: BackendLoad, assignment: Assignment, firstEventMs: number | undefined, nowMs: number): void {
		const {backend, isEngine, route, uncachedTokens, waitMs, paceFactor, assignedAtMs} = assignment;
		this.times.noteRun((nowMs - assignedAtMs) / paceFactor);
		if (firstEventMs === undefined || waitMs > noWaitMs || !isPaceSteady(load, assignment)) {
			return;
		}

		if (isEngine) {
			this.times.noteFirstEvent(backend, uncachedTokens, firstEventMs, paceFactor);
		} else {
			this.times.noteCall(route, firstEventMs, paceFactor);
		}
	}
}

/** Scales an engine's backlog to a new pace: what is left of it takes as much longer or shorter. */
function changePace(load: BackendLoad, paceFactor: number, nowMs: number): void {
	const ratio = paceFactor / load.backend.paceFactor;
	if (ratio === 1) {
		return;
	}

	const scale = (atMs: number) => nowMs + ((atMs - nowMs) * ratio);
	load.readFromMs = scale(load.readFromMs);
	for (const assignment of load.unread) {
		assignment.readableFromMs = scale(assignment.readableFromMs);
		assignment.workMs *= ratio;
	}

	predictBusy(load);
}

/** Predicts when an engine will have read what is assigned to it. */
function predictBusy(load: BackendLoad): void {
	load.busyUntilMs = load.readFromMs;
	for (const {readableFromMs, workMs} of load.unread) {
		load.busyUntilMs = Math.max(load.busyUntilMs, readableFromMs) + workMs;
	}
}

/** Whether a request's first event is predicted early enough for its answer to be complete in time. */
function isInTime({predictedMs}: AssignmentTerms, remainingMs: number): boolean {
	return predictedMs <= remainingMs * maxWaitShare;
}

/** Whether a backend server still has about the pace that it had when a request was assigned. */
function isPaceSteady({backend}: BackendLoad, {paceFactor}: Assignment): boolean {
	return Math.abs(backend.paceFactor - paceFactor) <= paceFactor * maxPaceChange;
}
