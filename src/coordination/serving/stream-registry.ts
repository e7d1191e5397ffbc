/**
 * Watches the running streams: moves those whose engine will leave before they end, and hands
 * stalled ones over to another engine if their route allows a further run and that engine holds
 * room for it. It is built for reclaims of a whole failure domain, where dozens of streams must
 * move within two seconds.
 */
import {
	type EngineClient, type MoveAnswer, type MovedRun, MoveResult,
} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type RouteTable} from '../../state/route-table.js';
import {type SteadyClock} from '../../clock.js';
import {createLogger} from '../../log.js';
import {soundWritingMs} from '../quarantine/crash-watch.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {RetryPurpose} from '../retry-budget.js';
import {type Rollouts} from '../rollout/rollouts.js';
import {
	type StartedAnswer, type Dispatcher, DispatchKind, type FailedDispatch,
} from './dispatcher.js';
import {
	closeRun, type ForwardedStream, InterruptCause, type MovedStream,
} from './forwarded-stream.js';
import {type StreamOriginSharing} from './stream-origin-sharing.js';

const log = createLogger('streams');

/** Interval between checks of the running streams, in milliseconds. */
export const sweepIntervalMs = 100;
/** Time before an engine leaves at which its streams are moved, in milliseconds: 60 moves of 20 ms each may queue. */
const moveLeadMs = 1300;
/** A stream that is expected to end at least this many milliseconds before its engine leaves is not moved. */
const finishMarginMs = 300;
/** Factor applied to the estimated remaining time of a stream, since the client's estimate is often far off. */
const remainingTimeFactor = 1.3;
/** A resumable stream without an event for this many milliseconds is handed over to another engine; clients disconnect after two seconds at the earliest. */
const stallTimeoutMs = 1300;
/** Number of engines that are tried as the target of a move, and asked to hold room for a takeover. */
const maxMoveTargets = 2;
/** Time until engines are asked again after none held room for a stream, in milliseconds. */
const takeoverRetryMs = 1000;

/** The running streams of this daemon. */
export class StreamRegistry {
	/** Number of streams that were moved with their KV cache. */
	movedCount = 0;
	private readonly streams = new Set<ForwardedStream>();

	constructor(private readonly dependencies: {backends: BackendTable; engines: EngineClient; dispatcher: Dispatcher; routes: RouteTable; rollouts: Rollouts; sharing: StreamOriginSharing; quarantine: Quarantine; clock: Pick<SteadyClock, 'now'>; signal: AbortSignal}) {}

	get size(): number {
		return this.streams.size;
	}

	add(stream: ForwardedStream): void {
		this.streams.add(stream);
	}

	remove(stream: ForwardedStream): void {
		this.streams.delete(stream);
		this.releaseSpareCopy(stream);
	}

	/** Records the answers that have been written for long enough to clear the parts of their prompts. */
	recordProgress(nowMs: number): void {
		const {quarantine} = this.dependencies;
		for (const {currentRun, served} of quarantine.isEmpty ? [] : this.streams) {
			const {writingSinceMs} = currentRun?.attempt ?? {};
			if (writingSinceMs !== undefined && nowMs - writingSinceMs >= soundWritingMs) {
				quarantine.recordProgress(served.fingerprints, nowMs);
			}
		}
	}

	/** Checks every stream once, and starts the moves and takeovers that are due. */
	sweep(nowMs: number): void {
		this.recordProgress(nowMs);
		this.cancelQuarantined(nowMs);
		this.dependencies.sharing.shareAll([...this.streams].map(({served}) => served), nowMs);
		for (const stream of this.streams) {
			const backend = stream.currentRun?.backend;
			if (!backend || stream.pendingMove) {
				continue;
			}

			const {isEnded} = this.dependencies.backends.get(backend.id) ?? {};
			const leavesAtMs = this.leavesAtMs(stream, backend);
			if (isEnded) {
				// The engine has restarted: its old connection may stay open and silent, and the run is lost, so it can be neither continued nor copied.
				stream.interrupt(InterruptCause.Restarted);
			} else if (stream.takeover) {
				cancelNeedlessTakeover(stream);
			} else if (leavesAtMs !== undefined && !stream.hasMoveFailed && shouldMove(stream, this.tokensPerEvent(stream), leavesAtMs, nowMs)) {
				this.moveOffLeavingEngine(stream, backend, nowMs);
			} else if (isStalled(stream, nowMs) && stream.served.canRunAgain) {
				this.startTakeover(stream, backend, InterruptCause.Silent, nowMs);
			}
		}
	}

	/** Cancels the runs that would crash their engines, as has become known since they were sent. */
	private cancelQuarantined(nowMs: number): void {
		const {quarantine} = this.dependencies;
		for (const stream of quarantine.isEmpty ? [] : this.streams) {
			if (stream.currentRun?.attempt.writingSinceMs === undefined && quarantine.forbidsRun(stream.served.fingerprints, nowMs)) {
				stream.cancelBeginning();
			}
		}
	}

	/** Returns when an engine is expected to be gone for a stream: because it is leaving, or because its version has been replaced, which only a stream without events can still leave. */
	private leavesAtMs({served}: ForwardedStream, backend: Backend): number | undefined {
		const {backends, rollouts} = this.dependencies;
		const times = [backends.get(backend.id)?.leavesAtMs, served.version === undefined ? rollouts.stopsAtMs(backend) : undefined].filter(time => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	private tokensPerEvent(stream: ForwardedStream): number {
		return this.dependencies.routes.service(stream.served.inputs.service)?.engine?.tokensPerEvent ?? 1;
	}

	/** Moves a stream off an engine that is leaving, or has another engine take it over. */
	private moveOffLeavingEngine(stream: ForwardedStream, source: Backend, nowMs: number): void {
		const canMove = this.dependencies.routes.service(stream.served.inputs.service)?.engine?.canMove ?? false;
		if (stream.events > 0 && canMove) {
			if (this.reserve(stream, source, InterruptCause.Leaving, nowMs)) {
				stream.pendingMove = this.move(stream, source);
			}
		} else if (stream.served.canRunAgain) {
			// There is no KV cache to copy yet, or the engines cannot move runs.
			this.startTakeover(stream, source, InterruptCause.Leaving, nowMs);
		}
	}

	/** Asks another engine to continue a stream. Without an engine that can hold room, the run continues: nothing else shows that another one would not refuse. */
	private startTakeover(stream: ForwardedStream, source: Backend, cause: InterruptCause, nowMs: number): void {
		const {reservations} = this.dependencies.dispatcher;
		if (nowMs >= stream.nextTakeoverAtMs && reservations.canHold(stream.served) && this.reserve(stream, source, cause, nowMs)) {
			const abort = new AbortController();
			stream.takeover = {
				cause, startedAtMs: nowMs, abort, run: this.startRun(stream, source, {cause, startedAtMs: nowMs, signal: abort.signal}),
			};
		}
	}

	/**
	 * Starts a run at another engine. The current run continues until the request is delivered to
	 * an engine that holds room for it, and is then closed at once: two engines must not work on
	 * one request. A stalled run that delivers an event again before that is kept.
	 */
	private async startRun(stream: ForwardedStream, source: Backend, {cause, startedAtMs, signal}: {cause: InterruptCause; startedAtMs: number; signal: AbortSignal}): Promise<StartedAnswer | undefined> {
		const {served} = stream;
		const {dispatcher, clock} = this.dependencies;
		const context = toLogContext(stream, source, startedAtMs);
		const engine = await this.holdEngine(stream, source, signal);
		const heldAtMs = engine && clock.now();
		let deliveredAtMs: number | undefined;
		const closeCurrentRun = () => {
			// The current run may have delivered the first event meanwhile, of another version.
			if (engine && served.fitsVersion(engine)) {
				deliveredAtMs = clock.now();
				stream.interrupt(cause);
			}
		};

		const dispatched: StartedAnswer | FailedDispatch = engine
			? await dispatcher.send(served, {
				purpose: RetryPurpose.Move, firstByteTimeoutMs: served.remainingMs(startedAtMs), lastEventId: stream.lastEventId, requiresHold: true, signal, onDelivery: closeCurrentRun,
			})
			: {kind: DispatchKind.NotRun, reason: 'no engine holds room'};
		const hasTakenOver = dispatched.kind === DispatchKind.Answer && isSuccess(dispatched) && !signal.aborted && served.fitsVersion(dispatched.backend);
		log.info('takeover of the stream by another engine ended.', {
			...context, cause, engine: engine?.id, hasTakenOver, result: dispatched.kind === DispatchKind.Answer ? `status ${dispatched.answer.status}` : dispatched.reason, ...describeTimes(startedAtMs, heldAtMs, deliveredAtMs),
		});
		if (hasTakenOver) {
			return dispatched;
		}

		if (dispatched.kind === DispatchKind.Answer) {
			closeRun(dispatched);
		}

		if (deliveredAtMs === undefined) {
			dispatcher.reservations.release(served);
			stream.nextTakeoverAtMs = clock.now() + takeoverRetryMs;
			stream.takeover = undefined;
		}

		return undefined;
	}

	/** Has another engine hold room for a stream; returns that engine, if one does before the takeover is cancelled. */
	private async holdEngine({served}: ForwardedStream, source: Backend, signal: AbortSignal): Promise<Backend | undefined> {
		const {reservations} = this.dependencies.dispatcher;
		const refusing: Backend[] = [];
		let engine: Backend | undefined;
		while (refusing.length < maxMoveTargets && !engine && !signal.aborted) {
			const target = reservations.reservedBackend(served, source.id);
			if (!target) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop -- the next engine only if this one has no room.
			if (await reservations.acquireSlot(served) && await reservations.acquireHold(served)) {
				engine = target;
			} else {
				refusing.push(target);
				served.excluded.add(target.id);
			}
		}

		// They may have room when the stream needs another engine later on.
		for (const {id} of refusing) {
			served.excluded.delete(id);
		}

		return signal.aborted ? undefined : engine;
	}

	/** Reserves the next run of a stream. Without a reservation the current run continues, since it may still complete. */
	private reserve(stream: ForwardedStream, source: Backend, cause: InterruptCause, nowMs: number): boolean {
		const isReserved = this.dependencies.dispatcher.reservations.reserve(stream.served, source.id, RetryPurpose.Move, nowMs);
		if (!isReserved && !stream.hasLoggedNoTakeover) {
			stream.hasLoggedNoTakeover = true;
			log.info('stream kept on its engine, no takeover is possible.', {cause, ...toLogContext(stream, source, nowMs)});
		}

		return isReserved;
	}

	/** Moves a run to another engine; if none has room, the run stays on its engine. */
	private async move(stream: ForwardedStream, source: Backend): Promise<MovedStream | undefined> {
		stream.served.excluded.add(source.id);
		for (let tries = 0; tries < maxMoveTargets && (tries === 0 || stream.currentRun?.backend.id === source.id); tries++) {
			const target = this.dependencies.dispatcher.reservations.reservedBackend(stream.served);
			if (!target) {
				break;
			}

			// A copy takes a slot of its target from the start.
			// eslint-disable-next-line no-await-in-loop -- the next target only if this one has no room.
			if (!await this.dependencies.dispatcher.reservations.acquireSlot(stream.served)) {
				continue;
			}

			// eslint-disable-next-line no-await-in-loop
			const {result, run} = await this.copyAndMove(stream, source, target);
			if (result === MoveResult.Done && run) {
				this.movedCount++;
				// Events that the source sent before it stopped are still arriving; the source closes the connection after them.
				return {target, run};
			}

			if (result === MoveResult.Unanswered || result === MoveResult.NotRunning) {
				// The target is not at fault.
				break;
			}

			stream.served.excluded.add(target.id);
			if (run) {
				// The source has stopped the run and keeps it.
				if (this.dependencies.backends.acceptsContinuations(source.id, this.dependencies.clock.now())) {
					this.dependencies.dispatcher.reservations.release(stream.served);
					return {target: source, run};
				}

				this.release(run, source);
				break;
			}
		}

		this.dependencies.dispatcher.reservations.release(stream.served);
		stream.hasMoveFailed = true;
		stream.pendingMove = undefined;
		return undefined;
	}

	/** Moves a run after a copy has shown that the target has room: a move stops the run even if the target then refuses it. */
	private async copyAndMove(stream: ForwardedStream, source: Backend, target: Backend): Promise<MoveAnswer> {
		const {engines, clock, signal} = this.dependencies;
		const {id} = stream.served.inputs.request;
		const startedAtMs = clock.now();
		const copied = await engines.copy(id, source, target, signal);
		const copiedAtMs = clock.now();
		const moved = copied.run ? await this.moveIfUsable(stream, source, target) : copied;
		log.info('attempt to move the stream to another engine ended.', {
			request: id, from: source.id, to: target.id, events: stream.events, copied: describeAnswer(copied, copiedAtMs - startedAtMs), moved: copied.run && describeAnswer(moved, clock.now() - copiedAtMs),
		});
		if (copied.run && moved.result === MoveResult.Unanswered && this.streams.has(stream)) {
			this.releaseSpareCopy(stream);
			stream.spareCopy = {source, target, run: copied.run};
		} else if (copied.run && !moved.run) {
			this.release(copied.run, source);
		}

		return moved;
	}

	/** Moves a copied run, unless its target has begun to leave or to cool down during the copy. */
	private async moveIfUsable(stream: ForwardedStream, source: Backend, target: Backend): Promise<MoveAnswer> {
		const {engines, dispatcher, clock, signal} = this.dependencies;
		const {request, arrivedAtMs} = stream.served.inputs;
		const {currentRun} = stream;
		if (currentRun?.backend.id !== source.id) {
			// The run has ended during the copy.
			return {result: MoveResult.NotRunning};
		}

		if (!dispatcher.reservations.isReservationUsable(stream.served)) {
			return {result: MoveResult.Refused};
		}

		const orderedAtMs = clock.now();
		const noteResult = stream.noteStopOrder(currentRun, `+${Math.round(orderedAtMs - arrivedAtMs)}`);
		const answer = await engines.move(request.id, source, target, signal);
		noteResult(answer.result, describeAnswer(answer, clock.now() - orderedAtMs));
		return answer;
	}

	/** Releases the spare copy of a stream, if it has one. */
	private releaseSpareCopy(stream: ForwardedStream): void {
		const unused = stream.takeSpareCopy();
		if (unused) {
			this.release(unused.run, unused.source);
		}
	}

	/** Releases an unused copy, so that it does not occupy a slot at its target. */
	private release(run: MovedRun, source: Backend): void {
		void this.dependencies.engines.release(run, source, this.dependencies.signal).catch((error: unknown) => {
			// The source engine is leaving, which releases the copy too.
			log.debug('release of an unused copy of a run failed.', {from: source.id, error: String(error)});
		});
	}
}

/** Describes the answer to an order, and after how many milliseconds it came, for logs. */
function describeAnswer({result, status, createdEvents}: MoveAnswer, afterMs: number): string {
	const stated = [status === undefined ? undefined : `status ${status}`, createdEvents === undefined ? undefined : `${createdEvents} events made`].filter(statement => statement !== undefined);
	return [`${result} after ${Math.round(afterMs)} ms`, ...stated].join(', ');
}

/** Returns the log fields that describe a stream. */
function toLogContext(stream: ForwardedStream, backend: Backend, nowMs: number): Record<string, unknown> {
	return {
		request: stream.served.inputs.request.id, backend: backend.id, events: stream.events, silentMs: Math.round(nowMs - stream.lastProgressAtMs), runs: stream.served.runs,
	};
}

/** Whether a stream should be moved now: its engine leaves soon, and the stream is not expected to end before. */
export function shouldMove(stream: ForwardedStream, tokensPerEvent: number, leavesAtMs: number, nowMs: number): boolean {
	const msUntilLeave = leavesAtMs - nowMs;
	if (msUntilLeave > moveLeadMs) {
		return false;
	}

	const remainingMs = stream.expectedRemainingMs(tokensPerEvent);
	return remainingMs === undefined || (remainingMs * remainingTimeFactor) + finishMarginMs > msUntilLeave;
}

/** Describes for logs after how many milliseconds the other engine held room, and the request was delivered there. */
function describeTimes(startedAtMs: number, heldAtMs: number | undefined, deliveredAtMs: number | undefined): {heldAfterMs?: number; deliveredAfterMs?: number} {
	return {
		heldAfterMs: heldAtMs === undefined ? undefined : Math.round(heldAtMs - startedAtMs),
		deliveredAfterMs: deliveredAtMs === undefined ? undefined : Math.round(deliveredAtMs - startedAtMs),
	};
}

function isSuccess({answer}: StartedAnswer): boolean {
	return answer.status >= 200 && answer.status < 300;
}

/** Cancels the takeover of a stalled stream that has received events since. */
function cancelNeedlessTakeover({takeover, lastProgressAtMs}: ForwardedStream): void {
	if (takeover?.cause === InterruptCause.Silent && lastProgressAtMs > takeover.startedAtMs) {
		takeover.abort.abort();
	}
}

function isStalled(stream: ForwardedStream, nowMs: number): boolean {
	return stream.events > 0 && !stream.isPaused && nowMs - stream.lastProgressAtMs > stallTimeoutMs;
}
