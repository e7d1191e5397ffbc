/**
 * Sends one request to one backend server: chooses it, opens the exchange, checks that the
 * answer belongs to the request, and says what is known of whether it ran.
 */
import {type Dialect} from '../../protocol/platform.js';
import {type AnswerMarks, type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type SteadyClock} from '../../clock.js';
import {type BackendAnswer, type BackendPool, exchange} from '../../transport/backend-pool.js';
import {ConnectError} from '../../transport/errors.js';
import {createLogger} from '../../log.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type Choice, type Placement, type RunningRequest} from '../placement.js';
import {type CrashWatch} from '../quarantine/crash-watch.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type RepeatPurpose, type RetryAllowance} from '../retry-allowance.js';
import {type StatedLimits} from '../stated-limits.js';
import {BackendChoice} from './backend-choice.js';
import {type Attempt, type ServedRequest} from './served-request.js';
import {Successors} from './successors.js';

const log = createLogger('dispatch');

/** Time for a connection to open, in milliseconds; a hundred round trips between failure domains. */
const connectMs = 300;
/** How often it is tried to hold what takes over from a late backend server, in milliseconds. */
const holdPauseMs = 50;
/** Reason of a dispatch whose connection did not open. */
const unreachedReason = 'unreached';
/** The status of an answer from another backend server than the one meant. */
const misdirectedStatus = 421;

/** How a dispatch ended. */
export enum DispatchKind {
	/** An answer that belongs to the request has begun. */
	Answer = 'answer',
	/** No backend server was left to try. */
	NoBackend = 'no-backend',
	/** The backend server stated that it did not run the request, or was never reached. */
	NotRun = 'not-run',
	/** It may have run. */
	Unknown = 'unknown',
	/** The bound on repeats forbids another arrival. */
	NoAllowance = 'no-allowance',
	/** Too many backend servers have crashed under it. */
	Quarantined = 'quarantined',
}

/** Whether no other backend server may be asked after a dispatch that ended so. */
export function isFinal(kind: DispatchKind): boolean {
	return kind === DispatchKind.NoBackend || kind === DispatchKind.NoAllowance || kind === DispatchKind.Quarantined;
}

/** An answer that has begun. */
export type BegunAnswer = {
	kind: DispatchKind.Answer;
	backend: Backend;
	answer: BackendAnswer;
	marks: AnswerMarks;
	running: RunningRequest;
	attempt: Attempt;
	/** Closes the connection. */
	abort: AbortController;
};

/** A dispatch that brought no answer. */
export type FailedDispatch = {kind: Exclude<DispatchKind, DispatchKind.Answer>; backend?: Backend; reason: string};

/** What varies between the dispatches of one request. */
export type DispatchOptions = {
	/** The only backend server that may take it; otherwise the best one is chosen. */
	target?: Backend;
	lastEventId?: string;
	kvSource?: string;
	purpose: RepeatPurpose;
	/** Time for the answer to begin, in milliseconds. */
	beginMs: number;
	/** Time after which another backend server takes over if one is held, in milliseconds; undefined where none may. */
	patienceMs?: number;
	/** Ends the dispatch before its answer has begun. */
	signal?: AbortSignal;
};

/** The parts a dispatcher works with. */
export type DispatcherParts = {
	dialect: Dialect;
	backends: BackendTable;
	placement: Placement;
	fleet: FleetTable;
	allowance: RetryAllowance;
	pool: BackendPool;
	quarantine: Quarantine;
	crashes: CrashWatch;
	statedLimits: StatedLimits;
	clock: SteadyClock;
};

/** Sends requests to backend servers. */
export class Dispatcher {
	readonly choice: BackendChoice;
	readonly successors: Successors;

	constructor(private readonly parts: DispatcherParts) {
		this.choice = new BackendChoice(parts);
		this.successors = new Successors({...parts, choice: this.choice});
	}

	/** Sends a request once; a connection that does not open is no arrival, so the next backend server is tried. */
	async send(served: ServedRequest, options: DispatchOptions): Promise<BegunAnswer | FailedDispatch> {
		await served.crashCheck;
		const {choice: candidates, successors} = this;
		let planned = options.target ? {backend: options.target, costMs: 0, copyFrom: undefined} : served.successor?.choice;
		let isClaimed = served.successor?.isClaimed ?? false;
		for (;;) {
			if (successors.isForbidden(served)) {
				return {kind: DispatchKind.Quarantined, reason: 'crashes backend servers'};
			}

			const isFixed = options.target !== undefined;
			const isPlanUsable = planned !== undefined && (isFixed || candidates.isUsable(served, planned.backend, isClaimed));
			const choice = isPlanUsable ? planned : candidates.choose(served);
			isClaimed &&= isPlanUsable;
			planned = undefined;
			if (!choice) {
				return {kind: DispatchKind.NoBackend, reason: 'no backend server left'};
			}

			const nowMs = this.parts.clock.now();
			if (served.arrivals > 0 && !served.successor && !successors.takePlace(served, options.purpose, nowMs)) {
				return {kind: DispatchKind.NoAllowance, reason: `repeat allowance used up (${successors.describeAllowance(served)})`};
			}

			// A place is used by an arrival, not by a connection that did not open: it stays held for the next choice.
			const place = served.arrivals > 0 ? served.successor ?? {choice, heldAtMs: nowMs, isClaimed} : undefined;
			if (place) {
				served.successor = undefined;
			} else {
				// One that was taken while a connection did not open: a first arrival needs none.
				successors.release(served);
			}

			if (!isClaimed) {
				candidates.claim(choice.backend);
			}

			isClaimed = false;
			// eslint-disable-next-line no-await-in-loop -- one backend server after the other.
			const result = await this.sendTo(served, choice, options);
			if (result.kind !== DispatchKind.NotRun || result.reason !== unreachedReason) {
				return result;
			}

			successors.keepPlace(served, place);
			if (isFixed || served.inputs.signal.aborted || options.signal?.aborted) {
				return result;
			}
		}
	}

	/** Notes that a backend server failed a request after it had begun to answer. */
	noteFailure(served: ServedRequest, backendId: string): void {
		served.excluded.add(backendId);
		this.parts.placement.noteFailure(backendId, this.parts.clock.now());
	}

	/** Notes that a run broke off at its backend server; the next send waits until it is known whether that has ended. */
	noteBroken(served: ServedRequest, backend: Backend): void {
		served.crashCheck = this.parts.crashes.noteBroken(served.fingerprint, backend);
	}

	/** Notes that a backend server gave a whole answer to a request. */
	noteCompleted(served: ServedRequest): void {
		const {quarantine, clock} = this.parts;
		if (!quarantine.isEmpty) {
			quarantine.noteCompleted(served.fingerprint, clock.now());
		}
	}

	private async sendTo(served: ServedRequest, choice: Pick<Choice, 'backend' | 'costMs' | 'copyFrom'>, options: DispatchOptions): Promise<BegunAnswer | FailedDispatch> {
		const {backend, costMs, copyFrom} = choice;
		const {dialect, placement, pool, clock} = this.parts;
		const {request, account, body, signal} = served.inputs;
		const sentAtMs = clock.now();
		const abort = new AbortController();
		const giveUp = () => {
			abort.abort();
		};

		signal.addEventListener('abort', giveUp, {once: true});
		options.signal?.addEventListener('abort', giveUp, {once: true});
		const timer = setTimeout(giveUp, options.beginMs);
		const stopWatching = this.watchLateness(served, backend.id, options, giveUp);
		const running = placement.begin(backend.id, request.promptTokens ?? 0, request.promptParts, sentAtMs);
		const attempt = {
			backendId: backend.id, costMs: Math.round(costMs), atMs: Math.round(sentAtMs - served.inputs.arrivedAtMs), result: 'sent',
		};
		served.attempts.push(attempt);
		const fail = (failure: FailedDispatch): FailedDispatch => {
			attempt.result = failure.reason;
			running.end();
			served.excluded.add(backend.id);
			return {...failure, backend};
		};

		try {
			const answer = await exchange(pool, {
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
				}),
				body,
				isRepeatable: served.isRepeatable,
				connectMs: Math.min(connectMs, options.beginMs),
				signal: abort.signal,
			});
			served.arrivals++;
			return this.judge(served, {
				backend, answer, running, attempt, abort,
			}, options, fail);
		} catch (error) {
			if (error instanceof ConnectError) {
				placement.noteFailure(backend.id, clock.now());
				log.debug('backend server not reached.', {backend: backend.id, error: String(error)});
				return fail({kind: DispatchKind.NotRun, reason: unreachedReason});
			}

			served.arrivals++;
			served.mayHaveRun = true;
			served.runs++;
			if (!signal.aborted && !options.signal?.aborted) {
				placement.noteFailure(backend.id, clock.now());
			}

			if (!abort.signal.aborted) {
				this.noteBroken(served, backend);
			}

			return fail({kind: DispatchKind.Unknown, reason: signal.aborted ? 'client gone' : (abort.signal.aborted ? 'silent' : 'broken')});
		} finally {
			clearTimeout(timer);
			stopWatching();
		}
	}

	/** Ends a dispatch whose answer is late as soon as another backend server is held for it; returns what ends the watch. */
	private watchLateness(served: ServedRequest, backendId: string, {patienceMs, purpose}: DispatchOptions, giveUp: () => void): () => void {
		if (patienceMs === undefined) {
			return () => undefined;
		}

		const look = () => {
			if (this.successors.hold(served, backendId, purpose, this.parts.clock.now())) {
				giveUp();
			} else {
				timer = setTimeout(look, holdPauseMs);
			}
		};

		let timer = setTimeout(look, patienceMs);
		return () => {
			clearTimeout(timer);
		};
	}

	/** Checks that an answer belongs to the request and what it says of the run. */
	private judge(served: ServedRequest, begun: Omit<BegunAnswer, 'kind' | 'marks'>, options: DispatchOptions, fail: (failure: FailedDispatch) => FailedDispatch): BegunAnswer | FailedDispatch {
		const {dialect, backends, placement, clock} = this.parts;
		const {backend, answer} = begun;
		const marks = dialect.readAnswer(answer.response.headers);
		const nowMs = clock.now();
		if (marks.load) {
			placement.noteLoad(backend.id, marks.load, nowMs);
		}

		const isOwn = marks.requestId === served.inputs.request.id && marks.isSealed && !marks.isEncoded;
		if (isOwn || (marks.limitPerSecond !== undefined && answer.status !== misdirectedStatus)) {
			this.parts.statedLimits.noteStated(backend.id, marks.limitPerSecond, nowMs);
		}

		if (answer.status === misdirectedStatus || marks.isNotRun) {
			if (answer.status === misdirectedStatus) {
				backends.replaced(backend.id, nowMs);
				log.info('another backend server has its address.', {backend: backend.id});
			} else {
				placement.noteFailure(backend.id, nowMs);
			}

			answer.response.resume();
			return fail({kind: DispatchKind.NotRun, reason: `refused with ${answer.status}`});
		}

		served.mayHaveRun = true;
		// A moved run goes on; it is no second one.
		served.runs += options.kvSource === undefined ? 1 : 0;
		if (!isOwn) {
			placement.noteFailure(backend.id, nowMs);
			answer.destroy();
			return fail({kind: DispatchKind.Unknown, reason: `not its answer (status ${answer.status})`});
		}

		return {...begun, kind: DispatchKind.Answer, marks};
	}
}
