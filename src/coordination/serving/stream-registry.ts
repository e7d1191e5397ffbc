/**
 * Watches the running streams: moves those whose engine leaves before they end, and
 * interrupts those whose engine fell silent while another may go on with them. It answers
 * reclaims of a whole failure domain, which move dozens of streams within two seconds.
 */
import {
	type Engines, type MoveAnswer, type MovedRun, MoveResult,
} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type RouteTable} from '../../state/route-table.js';
import {createLogger} from '../../log.js';
import {RepeatPurpose} from '../retry-allowance.js';
import {type BegunAnswer, type Dispatcher, DispatchKind} from './dispatcher.js';
import {
	closeRun, type Flight, InterruptCause, type Moved,
} from './flight.js';

const log = createLogger('streams');

/** How often the streams are looked at, in milliseconds. */
export const sweepMs = 100;
/** Time kept free before an engine leaves, in milliseconds: an estimate of 20 ms a move, of which 60 may queue. */
const moveLeadMs = 1300;
/** A stream that should end this much before its engine leaves stays there, in milliseconds. */
const finishMarginMs = 300;
/** Factor on the expected rest of a stream, since the client's estimate is often far off. */
const estimateFactor = 1.3;
/** A resumable stream without an event for this long goes on elsewhere, in milliseconds; clients leave after two seconds at the earliest. */
const stallMs = 1300;
/** A run is ended this long after another engine was asked to go on with it, in milliseconds, if that has not refused: no two may work on one request for 400 ms, and refusals come within a few. */
const overlapMs = 250;
/** Engines tried as the target of a move. */
const moveTargets = 2;

/** The running streams of this daemon. */
export class StreamRegistry {
	moved = 0;
	private readonly flights = new Set<Flight>();

	constructor(private readonly parts: {backends: BackendTable; engines: Engines; dispatcher: Dispatcher; routes: RouteTable; signal: AbortSignal}) {}

	get size(): number {
		return this.flights.size;
	}

	add(flight: Flight): void {
		this.flights.add(flight);
	}

	remove(flight: Flight): void {
		this.flights.delete(flight);
	}

	/** Looks at every stream once. */
	sweep(nowMs: number): void {
		for (const flight of this.flights) {
			const backend = flight.begun?.backend;
			if (!backend || flight.moving) {
				continue;
			}

			const {leavesAtMs, isEnded} = this.parts.backends.get(backend.id) ?? {};
			if (isEnded) {
				// Its connection may stay open without a word, and nothing of the run is left to keep or to copy.
				flight.interrupt(InterruptCause.Ended);
			} else if (flight.takeover) {
				endNeedless(flight);
			} else if (leavesAtMs !== undefined && !flight.hasMoveFailed && shouldMove(flight, this.tokensPerEvent(flight), leavesAtMs, nowMs)) {
				this.leave(flight, backend, nowMs);
			} else if (isSilent(flight, nowMs) && flight.served.mayRunAgain) {
				this.handOver(flight, backend, InterruptCause.Silent, nowMs);
			}
		}
	}

	private tokensPerEvent(flight: Flight): number {
		return this.parts.routes.service(flight.served.inputs.service)?.engine?.tokensPerEvent ?? 1;
	}

	/** Takes a stream off an engine that leaves. */
	private leave(flight: Flight, source: Backend, nowMs: number): void {
		const canMove = this.parts.routes.service(flight.served.inputs.service)?.engine?.canMove ?? false;
		if (flight.events > 0 && canMove) {
			if (this.hold(flight, source, InterruptCause.Leaving, nowMs)) {
				flight.moving = this.move(flight, source);
			}
		} else if (flight.served.mayRunAgain) {
			// Nothing to copy, or engines that cannot.
			this.handOver(flight, source, InterruptCause.Leaving, nowMs);
		}
	}

	/** Asks another engine to go on with a stream. */
	private handOver(flight: Flight, source: Backend, cause: InterruptCause, nowMs: number): void {
		if (this.hold(flight, source, cause, nowMs)) {
			log.info('stream handed over.', {cause, ...describe(flight, source, nowMs)});
			const abort = new AbortController();
			flight.served.excluded.add(source.id);
			flight.takeover = {
				cause, startedAtMs: nowMs, abort, begun: this.begin(flight, {cause, startedAtMs: nowMs, signal: abort.signal}),
			};
		}
	}

	/**
	 * Begins a run at another engine. The one in progress ends when that has begun, or has not
	 * refused for a while; until then it goes on, and a silent one that brings an event stays.
	 */
	private async begin(flight: Flight, {cause, startedAtMs, signal}: {cause: InterruptCause; startedAtMs: number; signal: AbortSignal}): Promise<BegunAnswer | undefined> {
		const {served} = flight;
		const overlap = setTimeout(() => {
			if (!signal.aborted) {
				flight.interrupt(cause);
			}
		}, overlapMs);
		const dispatched = await this.parts.dispatcher.send(served, {
			purpose: RepeatPurpose.Move, beginMs: served.remainingMs(startedAtMs), lastEventId: flight.lastEventId, signal,
		});
		clearTimeout(overlap);
		if (dispatched.kind === DispatchKind.Answer && isSuccess(dispatched) && !signal.aborted) {
			flight.interrupt(cause);
			return dispatched;
		}

		log.info('stream not taken over.', {request: served.inputs.request.id, reason: dispatched.kind === DispatchKind.Answer ? `status ${dispatched.answer.status}` : dispatched.reason});
		if (dispatched.kind === DispatchKind.Answer) {
			closeRun(dispatched);
		}

		if (flight.begun) {
			flight.takeover = undefined;
		}

		return undefined;
	}

	/** Holds what takes over from a run. Without it the run goes on: a stream is not cut while it may still end well. */
	private hold(flight: Flight, source: Backend, cause: InterruptCause, nowMs: number): boolean {
		const isHeld = this.parts.dispatcher.successors.hold(flight.served, source.id, RepeatPurpose.Move, nowMs);
		if (!isHeld && !flight.isKept) {
			flight.isKept = true;
			log.info('stream kept, nothing can take it over.', {cause, ...describe(flight, source, nowMs)});
		}

		return isHeld;
	}

	/** Moves a run; one that no engine has room for goes on where it is. */
	private async move(flight: Flight, source: Backend): Promise<Moved | undefined> {
		flight.served.excluded.add(source.id);
		for (let tries = 0; tries < moveTargets; tries++) {
			const target = this.parts.dispatcher.successors.heldBackend(flight.served);
			if (!target) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop -- the next target only if this one has no room.
			const {result, run} = await this.copyAndMove(flight, source, target);
			if (run) {
				this.moved++;
				// What the source sent before it stopped is still on its way; it closes the stream.
				return {target, run};
			}

			if (result === MoveResult.Unanswered) {
				// Nothing speaks against the target. If the move was carried out, the source ends the stream.
				break;
			}

			flight.served.excluded.add(target.id);
		}

		this.parts.dispatcher.successors.release(flight.served);
		flight.hasMoveFailed = true;
		flight.moving = undefined;
		return undefined;
	}

	/** Moves a run after a copy has shown that the target has room: an order to move stops it also where the target then refuses. */
	private async copyAndMove(flight: Flight, source: Backend, target: Backend): Promise<MoveAnswer> {
		const {engines, signal} = this.parts;
		const {id} = flight.served.inputs.request;
		const copied = await engines.copy(id, source, target, signal);
		const moved = copied.run ? await engines.move(id, source, target, signal) : copied;
		log.info('stream move ordered.', {
			request: id, from: source.id, to: target.id, events: flight.events, copied: copied.result, moved: copied.run && moved.result,
		});
		if (copied.run && !moved.run) {
			this.release(copied.run, source);
		}

		return moved;
	}

	/** Frees a copy that is not used, so that it doesn't keep a slot at its target. */
	private release(run: MovedRun, source: Backend): void {
		void this.parts.engines.release(run, source, this.parts.signal).catch((error: unknown) => {
			// The engine leaves, and frees it then.
			log.debug('copy not released.', {from: source.id, error: String(error)});
		});
	}
}

/** What a log line says of a stream. */
function describe(flight: Flight, backend: Backend, nowMs: number): Record<string, unknown> {
	return {
		request: flight.served.inputs.request.id, backend: backend.id, events: flight.events, silentMs: Math.round(nowMs - flight.progressAtMs), runs: flight.served.runs,
	};
}

/** Whether a stream would not end before its engine leaves, and the time to move it has come. */
export function shouldMove(flight: Flight, tokensPerEvent: number, leavesAtMs: number, nowMs: number): boolean {
	const leftMs = leavesAtMs - nowMs;
	if (leftMs > moveLeadMs) {
		return false;
	}

	const restMs = flight.expectedRemainingMs(tokensPerEvent);
	return restMs === undefined || (restMs * estimateFactor) + finishMarginMs > leftMs;
}

function isSuccess({answer}: BegunAnswer): boolean {
	return answer.status >= 200 && answer.status < 300;
}

/** Ends the takeover of a silent stream that has brought events since. */
function endNeedless({takeover, progressAtMs}: Flight): void {
	if (takeover?.cause === InterruptCause.Silent && progressAtMs > takeover.startedAtMs) {
		takeover.abort.abort();
	}
}

function isSilent(flight: Flight, nowMs: number): boolean {
	return flight.events > 0 && !flight.isPaused && nowMs - flight.progressAtMs > stallMs;
}
