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
import {backendKey} from '../fleet/backend-key.js';
import {type FleetTable} from '../fleet/fleet-table.js';
import {type Choice, type Placement, type RunningRequest} from '../placement.js';
import {type CrashWatch} from '../quarantine/crash-watch.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {type RepeatPurpose, type RetryAllowance} from '../retry-allowance.js';
import {Permission, type StatedLimits} from '../stated-limits.js';
import {type Attempt, type ServedRequest, type Successor} from './served-request.js';

const log = createLogger('dispatch');

/** Time for a connection to open, in milliseconds; a hundred round trips between failure domains. */
const connectMs = 300;
/** How often it is tried to hold what takes over from a late backend server, in milliseconds. */
const holdPauseMs = 50;
/** A run is given up for another one only with this share of the latency target left: engines begin within a third of it on most days. */
const leastRunShare = 0.25;
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
	constructor(private readonly parts: DispatcherParts) {}

	/** The backend server that would get a request now, other than the one it runs at. */
	choose(served: ServedRequest, runningAt?: string): Choice | undefined {
		const {backends, placement, fleet, quarantine, clock} = this.parts;
		const {request, service} = served.inputs;
		const nowMs = clock.now();
		return placement.choose({
			candidates: this.permitted(backends.candidates(service, nowMs), nowMs),
			excluded: runningAt === undefined ? served.excluded : new Set([...served.excluded, runningAt]),
			promptTokens: request.promptTokens ?? 0,
			promptParts: request.promptParts,
			isSuspect: !quarantine.isEmpty && quarantine.isSuspect(served.fingerprint),
			peersInFlight: id => fleet.inFlight(backendKey(id), nowMs),
			random: () => Math.random(),
			nowMs,
		});
	}

	/**
	 * Holds a backend server and a place in the repeat allowance for the next run of a request.
	 * The daemon ends a run in progress only when this succeeded: otherwise an answer that may
	 * still come would break off with nothing to follow.
	 */
	holdSuccessor(served: ServedRequest, runningAt: string, purpose: RepeatPurpose, nowMs: number): boolean {
		if (this.isQuarantined(served) || served.remainingMs(nowMs) < served.inputs.route.latencyTargetMs * leastRunShare) {
			return false;
		}

		if (served.successor) {
			return this.heldBackend(served, runningAt) !== undefined;
		}

		// The place first: it is what lacks under load, and choosing takes most of a millisecond among a hundred engines.
		if (!this.mayRepeat(served, purpose, nowMs)) {
			return false;
		}

		const choice = this.choose(served, runningAt);
		if (!choice) {
			this.giveBack(served, nowMs);
			return false;
		}

		served.successor = {choice, heldAtMs: nowMs};
		return true;
	}

	/** The backend server held for the next run, or another one if that leaves or has failed the request meanwhile. */
	heldBackend(served: ServedRequest, runningAt?: string): Backend | undefined {
		const {successor} = served;
		if (!successor) {
			return undefined;
		}

		if (!this.isUsable(served, successor.choice.backend)) {
			const choice = this.choose(served, runningAt);
			if (!choice) {
				return undefined;
			}

			successor.choice = choice;
		}

		return successor.choice.backend;
	}

	/** When a backend server that limits its requests may take one, in milliseconds from now; undefined where none of the request's service does. */
	limitReturnMs(served: ServedRequest, nowMs: number): number | undefined {
		const {statedLimits, backends} = this.parts;
		return statedLimits.isEmpty ? undefined : statedLimits.returnAfterMs(backends.candidates(served.inputs.service, nowMs).map(({id}) => id), nowMs);
	}

	/** Gives back a place that is not needed. */
	releaseSuccessor(served: ServedRequest): void {
		if (served.successor) {
			this.giveBack(served, served.successor.heldAtMs);
			served.successor = undefined;
		}
	}

	/** Sends a request once; a connection that does not open is no arrival, so the next backend server is tried. */
	async send(served: ServedRequest, options: DispatchOptions): Promise<BegunAnswer | FailedDispatch> {
		await served.crashCheck;
		let planned = options.target ? {backend: options.target, costMs: 0, copyFrom: undefined} : served.successor?.choice;
		for (;;) {
			if (this.isQuarantined(served)) {
				return {kind: DispatchKind.Quarantined, reason: 'crashes backend servers'};
			}

			const isFixed = options.target !== undefined;
			const choice = planned && (isFixed || this.isUsable(served, planned.backend)) ? planned : this.choose(served);
			planned = undefined;
			if (!choice) {
				return {kind: DispatchKind.NoBackend, reason: 'no backend server left'};
			}

			const nowMs = this.parts.clock.now();
			if (served.arrivals > 0 && !served.successor && !this.mayRepeat(served, options.purpose, nowMs)) {
				return {kind: DispatchKind.NoAllowance, reason: `repeat allowance used up (${this.describeAllowance(served)})`};
			}

			// A place is used by an arrival, not by a connection that did not open: it stays held for the next choice.
			const place = served.arrivals > 0 ? served.successor ?? {choice, heldAtMs: nowMs} : undefined;
			if (place) {
				served.successor = undefined;
			} else {
				// One that was taken while a connection did not open: a first arrival needs none.
				this.releaseSuccessor(served);
			}

			// eslint-disable-next-line no-await-in-loop -- one backend server after the other.
			const result = await this.sendTo(served, choice, options);
			if (result.kind !== DispatchKind.NotRun || result.reason !== unreachedReason) {
				return result;
			}

			this.keepPlace(served, place);
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

	/** Backend servers whose limits leave room for a request; where one is due to be heard of, that one. */
	private permitted(candidates: Backend[], nowMs: number): Backend[] {
		const {statedLimits} = this.parts;
		if (statedLimits.isEmpty) {
			return candidates;
		}

		const permissions = candidates.map(({id}) => statedLimits.permission(id, nowMs));
		const due = candidates.filter((_, index) => permissions[index] === Permission.Due);
		return due.length > 0 ? due : candidates.filter((_, index) => permissions[index] !== Permission.Withheld);
	}

	/** Whether a request that has been sent before may not be sent again. */
	private isQuarantined(served: ServedRequest): boolean {
		const {quarantine} = this.parts;
		return served.attempts.length > 0 && !quarantine.isEmpty && quarantine.forbidsRepeat(served.fingerprint);
	}

	private mayRepeat(served: ServedRequest, purpose: RepeatPurpose, nowMs: number): boolean {
		const {allowance, fleet} = this.parts;
		return allowance.take(served.inputs.service, purpose, fleet.daemons(nowMs), nowMs);
	}

	/** Holds a place that no arrival used, unless another one was taken meanwhile. */
	private keepPlace(served: ServedRequest, place: Successor | undefined): void {
		if (place && served.successor) {
			this.giveBack(served, place.heldAtMs);
		} else {
			served.successor ??= place;
		}
	}

	private giveBack(served: ServedRequest, takenAtMs: number): void {
		this.parts.allowance.giveBack(served.inputs.service, takenAtMs);
	}

	/** Whether a backend server that was chosen earlier may still get a request. */
	private isUsable(served: ServedRequest, backend: Backend): boolean {
		const entry = this.parts.backends.get(backend.id);
		const {statedLimits, clock} = this.parts;
		return !served.excluded.has(backend.id) && entry !== undefined && entry.leavingSinceMs === undefined && statedLimits.permission(backend.id, clock.now()) !== Permission.Withheld;
	}

	private describeAllowance(served: ServedRequest): string {
		const {allowance, fleet, clock} = this.parts;
		const nowMs = clock.now();
		const {firsts, repeats} = allowance.used(served.inputs.service, nowMs);
		return `${repeats} repeats for ${firsts} requests, ${fleet.daemons(nowMs)} daemons`;
	}

	private async sendTo(served: ServedRequest, choice: Pick<Choice, 'backend' | 'costMs' | 'copyFrom'>, options: DispatchOptions): Promise<BegunAnswer | FailedDispatch> {
		const {backend, costMs, copyFrom} = choice;
		const {dialect, placement, pool, clock} = this.parts;
		const {request, account, body, signal} = served.inputs;
		const sentAtMs = clock.now();
		this.parts.statedLimits.noteSent(backend.id, sentAtMs);
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
			if (this.holdSuccessor(served, backendId, purpose, this.parts.clock.now())) {
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
