/**
 * Sends one attempt of a request to a backend server: selects the backend server, opens the
 * exchange, checks that the answer belongs to the request, and reports whether the request
 * may have run.
 */
import {type Dialect, type EngineClient} from '../../protocol/platform.js';
import {type AnswerMetadata, type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type RouteTable} from '../../state/route-table.js';
import {type SteadyClock} from '../../clock.js';
import {type PauseWatch} from '../../pause-watch.js';
import {type BackendResponse, type BackendConnectionPool, sendBackendRequest} from '../../transport/backend-connection-pool.js';
import {ConnectError} from '../../transport/errors.js';
import {RequestEndedError} from '../../transport/front-server.js';
import {createLogger} from '../../log.js';
import {AssignmentResult} from '../../protocol/assignment.js';
import {type AssignedBackend} from '../assignment/assignment-exchange.js';
import {type Cooldowns} from '../cooldowns.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type OverloadTolerances} from '../overload-tolerances.js';
import {type BackendPaces} from '../paces/backend-paces.js';
import {type PlacementChoice, type Placement, type RunningRequest} from '../placement.js';
import {type CrashWatch, type EndedRun} from '../quarantine/crash-watch.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type RetryPurpose, type RetryBudget} from '../retry-budget.js';
import {isSpread, type Reachability} from '../reachability.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {isLoadRejection} from '../rollout/version-outcomes.js';
import {type SlotExchange} from '../slots/slot-exchange.js';
import {SlotEnd, type SlotLease} from '../slots/slot-leases.js';
import {type StatedLimits} from '../stated-limits.js';
import {type ServiceVersions} from '../stream-origins/service-versions.js';
import {AnswerEnds} from './answer-ends.js';
import {BackendSelector} from './backend-selector.js';
import {type PeerProxy} from './peer-proxy.js';
import {type RequestMetrics} from './request-metrics.js';
import {hasRestarted} from './restart-check.js';
import {type Attempt, type ServedRequest} from './served-request.js';
import {AssignedAttempt, type RequestAssignment, toChoice} from './request-assignment.js';
import {RetryReservations} from './retry-reservations.js';

const log = createLogger('dispatch');

/** Connection timeout in milliseconds: a hundred round trips between failure domains. */
const connectTimeoutMs = 300;
/** Interval in milliseconds at which a retry reservation is tried again after the soft timeout. */
const reservationPollMs = 50;
/** The same after an engine refused to hold room, in milliseconds: it is a call to the engine. */
const holdPollMs = 500;
/** Backend servers whose coordinators are asked for a slot for one dispatch. */
const maxSlotRequests = 4;
/** The reason given for a dispatch whose connection did not open. */
const unreachableReason = 'unreached';
/** The reason given for a dispatch that was not sent, since the backend server has restarted and may be of another version now. */
const restartedReason = 'restarted';
/** The reason given for a dispatch that was cancelled before it was sent. */
const cancelledReason = 'cancelled before it was sent';
/** The reasons with which nothing was delivered. */
const undeliveredReasons: ReadonlySet<string> = new Set([unreachableReason, restartedReason, cancelledReason]);
/** HTTP 503 Service Unavailable. */
const unavailableStatus = 503;
/** HTTP 421 Misdirected Request: the address now belongs to a different backend server. */
const misdirectedRequestStatus = 421;

/** The outcome of a dispatch. */
export enum DispatchKind {
	/** The head of a valid answer has arrived. */
	Answer = 'answer',
	/** No backend server is left to try. */
	NoBackend = 'no-backend',
	/** The backend server stated that it did not run the request, or no connection opened. */
	NotRun = 'not-run',
	/** The request may have run. */
	Unknown = 'unknown',
	/** The retry budget is used up. */
	NoRetryBudget = 'no-allowance',
	/** Several backend servers accepted no connection, and another daemon may reach them. */
	Unreachable = 'unreachable',
	/** The request is quarantined, since too many backend servers crashed while running it. */
	Quarantined = 'quarantined',
}

/** Whether a dispatch with this outcome rules out any further attempt. */
export function isFinal(kind: DispatchKind): boolean {
	return kind === DispatchKind.NoBackend || kind === DispatchKind.NoRetryBudget || kind === DispatchKind.Quarantined || kind === DispatchKind.Unreachable;
}

/** An answer whose head has arrived and whose body is still to be read. */
export type StartedAnswer = {
	kind: DispatchKind.Answer;
	backend: Backend;
	answer: BackendResponse;
	metadata: AnswerMetadata;
	running: RunningRequest;
	attempt: Attempt;
	/** Reports the attempt to the coordinator that assigned it, if one did. */
	assignedAttempt?: AssignedAttempt;
	/** Closes the connection. */
	abort: AbortController;
};

/** A dispatch without a valid answer. */
export type FailedDispatch = {kind: Exclude<DispatchKind, DispatchKind.Answer>; backend?: Backend; reason: string};

/** Options that differ between the attempts of one request. */
export type DispatchOptions = {
	/** The only backend server to try; otherwise the best one is selected. */
	target?: Backend;
	lastEventId?: string;
	kvSource?: string;
	purpose: RetryPurpose;
	/** Time until the head of the answer must arrive, in milliseconds. */
	firstByteTimeoutMs: number;
	/** Time in milliseconds after which the attempt is cancelled as soon as a retry is reserved; undefined when no retry is allowed. */
	softTimeoutMs?: number;
	/** Whether it is sent only to the reserved engine, which holds room for it, and on a new connection. */
	requiresHold?: boolean;
	/** Cancels the dispatch until the head of its answer has arrived. */
	signal?: AbortSignal;
	/** Called before the request is delivered to a backend server. */
	onDelivery?: () => void;
};

/** The backend server to try first, and the assignment by which it was chosen. */
type Preselection = {preselected?: Pick<PlacementChoice, 'backend' | 'costMs' | 'copyFrom'>; assignment?: AssignedBackend};

/** What a {@link Dispatcher} depends on. */
export type DispatcherDependencies = {
	dialect: Dialect;
	backends: BackendTable;
	placement: Placement;
	fleet: FleetTable;
	retryBudget: RetryBudget;
	pool: BackendConnectionPool;
	quarantine: Quarantine;
	crashWatch: CrashWatch;
	statedLimits: StatedLimits;
	cooldowns: Cooldowns;
	tolerances: OverloadTolerances;
	slots: Pick<SlotExchange, 'acquire' | 'leases'>;
	assignment: Pick<RequestAssignment, 'isWanted' | 'assign'>;
	paces: Pick<BackendPaces, 'note'>;
	rollouts: Rollouts;
	reachability: Reachability;
	peerProxy: PeerProxy;
	versions: Pick<ServiceVersions, 'isMixed'>;
	engines: Pick<EngineClient, 'readStartTime' | 'takeHold' | 'dropHold'>;
	routes: Pick<RouteTable, 'service'>;
	pauses: Pick<PauseWatch, 'hasBacklog'>;
	metrics: Pick<RequestMetrics, 'recordConnectionEnd'>;
	clock: SteadyClock;
	/** Aborts when the daemon stops. */
	signal: AbortSignal;
};

/** Sends requests to backend servers. */
export class Dispatcher {
	readonly selector: BackendSelector;
	readonly reservations: RetryReservations;
	readonly answerEnds: AnswerEnds;

	constructor(private readonly dependencies: DispatcherDependencies) {
		this.answerEnds = new AnswerEnds(dependencies);
		this.selector = new BackendSelector(dependencies);
		this.reservations = new RetryReservations({...dependencies, selector: this.selector});
	}

	/** Sends one attempt of a request. If no connection opens, nothing was delivered, so the next backend server is tried. */
	async send(served: ServedRequest, options: DispatchOptions): Promise<StartedAnswer | FailedDispatch> {
		await served.crashCheck;
		const {selector, reservations} = this;
		const first = await this.preselect(served, options);
		if ('kind' in first) {
			return first;
		}

		let {preselected, assignment} = first;
		let isRateLimitCharged = served.reservation?.isRateLimitCharged ?? false;
		let slotRequests = 0;
		for (;;) {
			if (reservations.isRetryForbidden(served)) {
				assignment?.end(AssignmentResult.NotSent);
				return {kind: DispatchKind.Quarantined, reason: 'crashes backend servers'};
			}

			const hasFixedTarget = options.target !== undefined;
			const isPreselectedUsable = preselected !== undefined && (hasFixedTarget || selector.isUsable(served, preselected.backend, isRateLimitCharged));
			if (options.requiresHold === true && !isPreselectedUsable) {
				return {kind: DispatchKind.NotRun, reason: 'the engine that holds room cannot be used any more'};
			}

			const choice = isPreselectedUsable ? preselected : selector.select(served);
			isRateLimitCharged &&= isPreselectedUsable;
			preselected = undefined;
			if (!isPreselectedUsable) {
				assignment?.end(AssignmentResult.NotSent);
				assignment = undefined;
			}

			if (!choice) {
				return {kind: DispatchKind.NoBackend, reason: served.version === undefined ? 'no backend server left' : `no backend server of version ${served.version} left`};
			}

			if (hasFixedTarget && !selector.tryContinueMoved(choice.backend)) {
				reservations.release(served);
				return {kind: DispatchKind.NotRun, backend: choice.backend, reason: 'its new engine cools down'};
			}

			// eslint-disable-next-line no-await-in-loop -- one backend server after the other.
			const slot = await this.takeSlot(served, choice.backend, hasFixedTarget, isRateLimitCharged);
			if (!slot) {
				assignment?.end(AssignmentResult.NotSent);
				assignment = undefined;
				slotRequests++;
				if (hasFixedTarget || slotRequests >= maxSlotRequests || served.inputs.signal.aborted || options.signal?.aborted) {
					return {kind: DispatchKind.NoBackend, backend: choice.backend, reason: 'no backend server has a free slot'};
				}

				continue;
			}

			const nowMs = this.dependencies.clock.now();
			if (options.kvSource !== undefined && !this.dependencies.backends.acceptsContinuations(choice.backend.id, nowMs)) {
				slot.end(SlotEnd.Free, nowMs);
				reservations.release(served);
				return {kind: DispatchKind.NotRun, backend: choice.backend, reason: 'the engine of its copy leaves'};
			}

			if (served.deliveries > 0 && !served.reservation && !reservations.takeFromBudget(served, options.purpose, nowMs)) {
				slot.end(SlotEnd.Free, nowMs);
				return {kind: DispatchKind.NoRetryBudget, reason: `repeat allowance used up (${reservations.describeBudget(served)})`};
			}

			// Only a delivered attempt uses its reservation: if the connection does not open, it is kept for the next selection.
			const usedReservation = served.deliveries > 0 ? served.reservation ?? {choice, reservedAtMs: nowMs, isRateLimitCharged} : undefined;
			if (usedReservation) {
				served.reservation = undefined;
			} else {
				// It was made while an earlier connection did not open: the first delivery needs no retry budget.
				reservations.release(served);
			}

			if (!isRateLimitCharged) {
				selector.chargeRateLimit(choice.backend);
			}

			isRateLimitCharged = false;
			// eslint-disable-next-line no-await-in-loop -- one backend server after the other.
			const result = await this.sendTo(served, choice, options, {slot, assignment, hold: usedReservation?.choice.backend.id === choice.backend.id ? usedReservation.hold : undefined});
			assignment = undefined;
			if (result.kind !== DispatchKind.NotRun || !undeliveredReasons.has(result.reason)) {
				return result;
			}

			reservations.restore(served, usedReservation);
			if (hasFixedTarget || options.requiresHold === true || served.inputs.signal.aborted || options.signal?.aborted) {
				return result;
			}

			if (this.isUnreachable(served)) {
				served.isUnreachable = true;
				return {kind: DispatchKind.Unreachable, reason: 'no backend server accepts connections'};
			}
		}
	}

	/** Whether a coordinator decides where an attempt goes. */
	isAssigned(served: ServedRequest, {target}: Pick<DispatchOptions, 'target'> = {}): boolean {
		return target === undefined && this.dependencies.assignment.isWanted(served) && !this.selector.isCanary(served);
	}

	/** Records that a backend server failed a request after the head of its answer had arrived. */
	recordFailure(served: ServedRequest, backendId: string): void {
		served.excluded.add(backendId);
		this.dependencies.placement.noteFailure(backendId, this.dependencies.clock.now());
	}

	/** Records that a run broke off; the next attempt waits until it is known whether the backend server has crashed. */
	recordBrokenRun(served: ServedRequest, backend: Backend, attempt: Attempt): void {
		served.crashCheck = this.dependencies.crashWatch.recordBrokenRun(this.toEndedRun(served, backend, attempt));
	}

	/** Records that a backend server answered a request completely. */
	recordCompletedRun(served: ServedRequest, backend: Backend, attempt: Attempt): void {
		const {quarantine, crashWatch} = this.dependencies;
		if (!quarantine.isEmpty) {
			void crashWatch.recordCompletedRun(this.toEndedRun(served, backend, attempt));
		}
	}

	/** Returns the backend server to try first, if it is fixed, reserved or assigned, or why the attempt is not sent at all. */
	private async preselect(served: ServedRequest, options: DispatchOptions): Promise<FailedDispatch | Preselection> {
		if (options.target) {
			return {preselected: {backend: options.target, costMs: 0, copyFrom: undefined}};
		}

		if (!this.isAssigned(served, options)) {
			return {preselected: served.reservation?.choice};
		}

		const outcome = await this.dependencies.assignment.assign(served);
		if (outcome.kind === 'refused') {
			served.refusalRetryAfterMs = outcome.retryAfterMs;
			return {kind: DispatchKind.NoBackend, reason: outcome.reason};
		}

		const assignment = outcome.kind === 'assigned' ? outcome.assignment : undefined;
		if (served.inputs.signal.aborted || options.signal?.aborted) {
			assignment?.end(AssignmentResult.NotSent);
			return {kind: DispatchKind.NotRun, reason: cancelledReason};
		}

		return {preselected: assignment && toChoice(assignment), assignment};
	}

	/**
	 * Returns the reserved slot of a backend server, or waits for one. Without a fixed target,
	 * the backend server must still be usable after the wait.
	 */
	private async takeSlot(served: ServedRequest, backend: Backend, hasFixedTarget: boolean, isRateLimitCharged: boolean): Promise<SlotLease | undefined> {
		const {slots, clock} = this.dependencies;
		const reserved = this.reservations.takeSlot(served, backend);
		if (reserved) {
			return reserved;
		}

		const acquired = slots.acquire(backend, served.remainingMs(clock.now()));
		if (!(acquired instanceof Promise)) {
			return acquired;
		}

		const slot = await acquired;
		if (slot && !hasFixedTarget && !this.selector.isUsable(served, backend, isRateLimitCharged)) {
			slot.end(SlotEnd.Free, clock.now());
			return undefined;
		}

		return slot;
	}

	private toEndedRun({fingerprints}: ServedRequest, backend: Backend, {writingSinceMs}: Attempt): EndedRun {
		return {backend, fingerprints, writingMs: writingSinceMs === undefined ? undefined : this.dependencies.clock.now() - writingSinceMs};
	}

	/** Whether a request that was not delivered yet should be served by another daemon. */
	private isUnreachable(served: ServedRequest): boolean {
		const {deliveries, unreached, inputs, version} = served;
		const {crashWatch, peerProxy, clock} = this.dependencies;
		const nowMs = clock.now();
		const candidates = crashWatch.runningBackends(inputs.service, nowMs).filter(backend => served.fitsVersion(backend));
		const unreachedDomains = unreached.filter(({id}) => candidates.some(candidate => candidate.id === id)).map(({failureDomain}) => failureDomain);
		// Few backend servers may have the version of a stream; then all of them are evidence enough.
		const hasTriedAll = version !== undefined && candidates.length > 0 && unreachedDomains.length >= candidates.length;
		return deliveries === 0 && !inputs.isProxied && (hasTriedAll || isSpread(unreachedDomains, candidates)) && peerProxy.isAvailable(inputs.service, nowMs);
	}

	private async sendTo(served: ServedRequest, choice: Pick<PlacementChoice, 'backend' | 'costMs' | 'copyFrom'>, options: DispatchOptions, {slot, assignment, hold}: {slot: SlotLease; assignment: AssignedBackend | undefined; hold: string | undefined}): Promise<StartedAnswer | FailedDispatch> {
		const {backend, costMs, copyFrom} = choice;
		const {
			dialect, placement, pool, reachability, crashWatch, clock,
		} = this.dependencies;
		const {request, account, body, signal} = served.inputs;
		if (await this.isReplaced(served, backend)) {
			slot.end(SlotEnd.Free, clock.now());
			assignment?.end(AssignmentResult.NotSent);
			served.excluded.add(backend.id);
			return {kind: DispatchKind.NotRun, backend, reason: restartedReason};
		}

		// A listener that is added to an aborted signal is never called.
		if (signal.aborted || options.signal?.aborted) {
			slot.end(SlotEnd.Free, clock.now());
			assignment?.end(AssignmentResult.NotSent);
			return {kind: DispatchKind.NotRun, backend, reason: cancelledReason};
		}

		const sentAtMs = clock.now();
		const address = `${backend.host}:${backend.port}`;
		const abort = new AbortController();
		const cancel = () => {
			abort.abort();
		};

		signal.addEventListener('abort', cancel, {once: true});
		options.signal?.addEventListener('abort', cancel, {once: true});
		// The wait for an assignment has used up a part of the time that was left.
		const timer = setTimeout(cancel, Math.min(options.firstByteTimeoutMs, served.remainingMs(sentAtMs)));
		const clearSoftTimeout = this.startSoftTimeout(served, backend.id, options, cancel);
		const endWaiting = reachability.noteSent(backend, sentAtMs);
		const assignedAttempt = assignment && new AssignedAttempt(assignment, sentAtMs);
		let describeSlotEnd = () => SlotEnd.Unanswered;
		const running = placement.begin(backend.id, request.promptTokens ?? 0, request.promptParts, sentAtMs, () => {
			slot.end(describeSlotEnd(), clock.now());
			assignedAttempt?.end();
		});
		const attempt: Attempt = {
			backendId: backend.id, address, version: backend.version, costMs: Math.round(costMs), sentAfterMs: Math.round(sentAtMs - served.inputs.arrivedAtMs), kvSource: options.kvSource, hasHold: hold !== undefined, result: 'sent',
		};
		served.attempts.push(attempt);
		const fail = (failure: FailedDispatch, slotEnd: SlotEnd): FailedDispatch => {
			attempt.result = failure.reason;
			describeSlotEnd = () => slotEnd;
			running.end();
			served.excluded.add(backend.id);
			return {...failure, backend};
		};

		try {
			const answer = await sendBackendRequest(pool, {
				backend,
				method: request.method,
				path: request.path,
				headers: dialect.backendHeaders(request, {
					backendName: backend.name,
					account: account?.name,
					deadlineMs: served.remainingMs(sentAtMs),
					priority: served.priority,
					lastEventId: options.lastEventId ?? request.lastEventId,
					kvSource: options.kvSource,
					copyFrom,
					hold,
				}),
				body,
				isRetryable: served.isRetryable,
				// On a connection that has carried this request, a late copy of its refusal would pass for the next answer, since both bear its id. An idle connection may be dead, and a run must not be given up for it.
				requiresNewConnection: served.deliveredTo.has(address) || options.requiresHold === true,
				connectTimeoutMs: Math.min(connectTimeoutMs, options.firstByteTimeoutMs),
				onConnect() {
					reachability.noteConnected(backend, clock.now());
				},
				onDelivery() {
					served.deliveredTo.add(address);
					options.onDelivery?.();
				},
				signal: abort.signal,
			});
			endWaiting(true, clock.now());
			describeSlotEnd = () => answer.isComplete ? SlotEnd.Free : SlotEnd.Broken;
			served.deliveries++;
			return this.classifyAnswer(served, {
				backend, answer, running, attempt, abort, assignedAttempt,
			}, options, fail);
		} catch (error) {
			const endedAtMs = clock.now();
			endWaiting(false, endedAtMs);
			if (error instanceof ConnectError) {
				placement.noteFailure(backend.id, endedAtMs);
				if (!abort.signal.aborted) {
					served.unreached.push(backend);
					reachability.noteUnreached(backend, crashWatch.runningBackends(backend.service, endedAtMs), endedAtMs);
				}

				assignedAttempt?.noteFailure(AssignmentResult.Failed);
				log.debug('connection to the backend server failed.', {backend: backend.id, error: String(error)});
				return fail({kind: DispatchKind.NotRun, reason: unreachableReason}, SlotEnd.Free);
			}

			served.deliveries++;
			served.mayHaveRun = true;
			served.runs++;
			if (!signal.aborted && !options.signal?.aborted) {
				placement.noteFailure(backend.id, clock.now());
				assignedAttempt?.noteFailure(AssignmentResult.Failed);
			}

			if (!abort.signal.aborted) {
				this.recordBrokenRun(served, backend, attempt);
			} else if (!signal.aborted && !options.signal?.aborted) {
				this.noteVersionOutcome(served, backend, undefined, options);
			}

			return fail({kind: DispatchKind.Unknown, reason: describeMissingAnswer(signal, options.signal, abort.signal)}, abort.signal.aborted ? SlotEnd.Unanswered : SlotEnd.Broken);
		} finally {
			clearTimeout(timer);
			clearSoftTimeout();
		}
	}

	/** Whether a backend server that is to continue a stream has restarted, so that it may be of another version than the list shows. */
	private async isReplaced(served: ServedRequest, backend: Backend): Promise<boolean> {
		const {versions, engines, backends, clock} = this.dependencies;
		const isInDoubt = served.version !== undefined && versions.isMixed(backend.service, clock.now());
		if (!isInDoubt || !await hasRestarted(engines, backend, served.inputs.signal)) {
			return false;
		}

		backends.markReplaced(backend.id, clock.now());
		log.info('backend server has restarted and does not continue the stream.', {backend: backend.id, request: served.inputs.request.id});
		return true;
	}

	/** After the soft timeout, cancels an attempt as soon as a retry is reserved for its request, at an engine with room held for it; returns a function that stops the timer. */
	private startSoftTimeout(served: ServedRequest, backendId: string, {softTimeoutMs, purpose}: DispatchOptions, cancel: () => void): () => void {
		if (softTimeoutMs === undefined) {
			return () => undefined;
		}

		let hasEnded = false;
		const {reservations} = this;
		const tryReserve = async () => {
			const isReserved = reservations.reserve(served, backendId, purpose, this.dependencies.clock.now()) && await reservations.acquireSlot(served);
			const needsHold = isReserved && reservations.canHold(served);
			const isHeld = needsHold && await reservations.acquireHold(served);
			if (hasEnded) {
				if (isHeld) {
					// No other attempt follows now, and held room is lost to others.
					reservations.release(served);
				}

				return;
			}

			if (isReserved && isHeld === needsHold) {
				cancel();
				return;
			}

			if (needsHold) {
				// Another engine may have room by then.
				reservations.release(served);
			}

			schedule(needsHold ? holdPollMs : reservationPollMs);
		};

		let timer: NodeJS.Timeout;
		const schedule = (delayMs: number) => {
			timer = setTimeout(() => {
				void tryReserve();
			}, delayMs);
		};

		schedule(softTimeoutMs);
		return () => {
			hasEnded = true;
			clearTimeout(timer);
		};
	}

	/** Checks that an answer belongs to the request, and applies what its headers state of the run and of the backend server. */
	private classifyAnswer(
		served: ServedRequest,
		started: Omit<StartedAnswer, 'kind' | 'metadata'>,
		options: DispatchOptions,
		fail: (failure: FailedDispatch, slotEnd: SlotEnd) => FailedDispatch,
	): StartedAnswer | FailedDispatch {
		const {backends, placement, clock, dialect} = this.dependencies;
		const {backend, answer, attempt, assignedAttempt} = started;
		const metadata = dialect.readAnswer(answer.response.headers);
		const nowMs = clock.now();
		attempt.answeredAfterMs = Math.round(nowMs - served.inputs.arrivedAtMs);
		attempt.isConnectionReused = answer.isConnectionReused;
		const failAsUnknown = (): FailedDispatch => {
			served.mayHaveRun = true;
			// A moved run continues, so it does not count as another run.
			served.runs += options.kvSource === undefined ? 1 : 0;
			placement.noteFailure(backend.id, nowMs);
			assignedAttempt?.noteFailure(AssignmentResult.Failed);
			answer.destroy();
			return fail({kind: DispatchKind.Unknown, reason: `not its answer (status ${answer.status})`}, SlotEnd.Broken);
		};

		// An answer to another request states nothing about this one, whatever its status, and may be old.
		if (metadata.requestId !== served.inputs.request.id) {
			log.info('answer belongs to another request.', {
				backend: backend.id, request: served.inputs.request.id, answered: metadata.requestId, status: answer.status, isNotRun: metadata.isNotRun,
			});
			return failAsUnknown();
		}

		attempt.stated = describeStatements(metadata);
		this.applyStatements(served, {backend, status: answer.status, metadata}, nowMs);
		if (answer.status === misdirectedRequestStatus || metadata.isNotRun) {
			if (answer.status === misdirectedRequestStatus) {
				backends.markReplaced(backend.id, nowMs);
				log.info('address now belongs to another backend server.', {backend: backend.id});
			} else {
				placement.noteFailure(backend.id, nowMs);
			}

			assignedAttempt?.noteFailure(answer.status === misdirectedRequestStatus ? AssignmentResult.NotSent : AssignmentResult.Rejected);
			answer.discard();
			return fail({kind: DispatchKind.NotRun, reason: `refused with ${answer.status}`}, answer.status === unavailableStatus ? SlotEnd.Refused : SlotEnd.Free);
		}

		if (!isBackendAnswer(metadata)) {
			return failAsUnknown();
		}

		served.mayHaveRun = true;
		served.runs += options.kvSource === undefined ? 1 : 0;
		assignedAttempt?.noteAnswer(answer.status, metadata.load, nowMs);
		if (!isLoadRejection(answer.status, metadata)) {
			this.noteVersionOutcome(served, backend, answer.status, options);
		}

		return {...started, kind: DispatchKind.Answer, metadata};
	}

	/** Applies what an answer's headers state about its backend server. */
	private applyStatements(served: ServedRequest, {backend, status, metadata}: {backend: Backend; status: number; metadata: AnswerMetadata}, nowMs: number): void {
		const {backends, placement, slots, paces, cooldowns, tolerances, statedLimits, clock} = this.dependencies;
		if (metadata.load) {
			placement.noteLoad(backend.id, metadata.load, nowMs);
			slots.leases.noteLoad(backend.id, metadata.load.running + metadata.load.waiting, nowMs);
			if (metadata.load.pacePercent !== undefined) {
				paces.note(backend, metadata.load.pacePercent, nowMs);
			}
		}

		if (metadata.retryAfterMs !== undefined && status === unavailableStatus) {
			cooldowns.note(backend, metadata.retryAfterMs, clock.wallTimeMs(), nowMs);
		}

		// With this status, another backend server answers at the address.
		if (status === misdirectedRequestStatus) {
			return;
		}

		if (metadata.isLeaving && backends.noteStatedLeaving(backend.id, clock.wallTimeMs(), nowMs)) {
			log.info('backend server states that it is leaving.', {backend: backend.id, request: served.inputs.request.id});
		}

		tolerances.noteAnswer(backend.id, metadata.refusalsPerSecond, nowMs);
		if (isBackendAnswer(metadata) || metadata.limitPerSecond !== undefined) {
			statedLimits.noteStated(backend.id, metadata.limitPerSecond, nowMs);
		}
	}

	/** Records how the first attempt of a request turned out, to compare the versions of its service; an undefined status means that there was no answer in time. */
	private noteVersionOutcome(served: ServedRequest, backend: Backend, status: number | undefined, {lastEventId}: DispatchOptions): void {
		const {rollouts, clock} = this.dependencies;
		if (served.attempts.length === 1 && lastEventId === undefined) {
			const {arrivedAtMs, route} = served.inputs;
			rollouts.noteAnswer(backend, route.name, status, clock.now() - arrivedAtMs - served.attempts[0].sentAfterMs);
		}
	}
}

/** Whether an answer to a request is the one that its backend server made, with its own body. */
function isBackendAnswer({isSealed, isEncoded}: AnswerMetadata): boolean {
	return isSealed && !isEncoded;
}

/** Describes what an answer states of its backend server, for logs; undefined if it states nothing. */
function describeStatements({isLeaving, retryAfterMs, refusalsPerSecond}: AnswerMetadata): string | undefined {
	const statements = [isLeaving ? 'leaving' : undefined, retryAfterMs === undefined ? undefined : `retry after ${retryAfterMs} ms`, refusalsPerSecond === undefined ? undefined : `tolerates ${refusalsPerSecond} refusals/s`].filter(statement => statement !== undefined);
	return statements.length > 0 ? statements.join(', ') : undefined;
}

/** Describes why there was no answer, for logs. */
function describeMissingAnswer(client: AbortSignal, caller: AbortSignal | undefined, attempt: AbortSignal): string {
	if (client.aborted) {
		return client.reason instanceof RequestEndedError ? 'ended by the stop of the daemon' : 'client gone';
	}

	if (caller?.aborted) {
		return 'cancelled';
	}

	return attempt.aborted ? 'silent' : 'broken';
}
