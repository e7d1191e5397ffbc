/**
 * Watches the running streams: moves those whose engine leaves before they end, and
 * interrupts those whose engine fell silent while another may go on with them. It answers
 * reclaims of a whole failure domain, which move dozens of streams within two seconds.
 */
import {type Engines, type MovedRun} from '../../protocol/platform.js';
import {type Backend} from '../../protocol/serving.js';
import {type BackendTable} from '../../state/backend-table.js';
import {type RouteTable} from '../../state/route-table.js';
import {createLogger} from '../../log.js';
import {RepeatPurpose} from '../retry-allowance.js';
import {type Dispatcher} from './dispatcher.js';
import {type Flight, InterruptCause, type MoveResult} from './flight.js';

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

			const leavesAtMs = this.parts.backends.get(backend.id)?.leavesAtMs;
			if (leavesAtMs !== undefined && shouldMove(flight, this.tokensPerEvent(flight), leavesAtMs, nowMs)) {
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

	/** Ends a run if another engine takes over. */
	private handOver(flight: Flight, source: Backend, cause: InterruptCause, nowMs: number): void {
		if (this.hold(flight, source, cause, nowMs)) {
			log.info('stream interrupted.', {cause, ...describe(flight, source, nowMs)});
			flight.interrupt(cause);
		}
	}

	/** Holds what takes over from a run. Without it the run goes on: a stream is not cut while it may still end well. */
	private hold(flight: Flight, source: Backend, cause: InterruptCause, nowMs: number): boolean {
		const isHeld = this.parts.dispatcher.holdSuccessor(flight.served, source.id, RepeatPurpose.Move, nowMs);
		if (!isHeld && !flight.isKept) {
			flight.isKept = true;
			log.info('stream kept, nothing can take it over.', {cause, ...describe(flight, source, nowMs)});
		}

		return isHeld;
	}

	/** Moves a run; one that was not moved, and was not stopped either, is looked at again. */
	private async move(flight: Flight, source: Backend): Promise<MoveResult | undefined> {
		flight.served.excluded.add(source.id);
		for (let tries = 0; tries < moveTargets; tries++) {
			const target = this.parts.dispatcher.heldBackend(flight.served);
			if (!target) {
				break;
			}

			// eslint-disable-next-line no-await-in-loop -- the next target only if this one has no room.
			const run = await this.copy(flight, source, target);
			if (run) {
				this.moved++;
				// What the source sent before it stopped is still on its way; it closes the stream.
				return {target, run};
			}

			flight.served.excluded.add(target.id);
		}

		flight.moving = undefined;
		return undefined;
	}

	/** Copies a run to another engine, which ends it at its source. */
	private async copy(flight: Flight, source: Backend, target: Backend): Promise<MovedRun | undefined> {
		const {id} = flight.served.inputs.request;
		const context = {
			request: id, from: source.id, to: target.id, events: flight.events,
		};
		try {
			const run = await this.parts.engines.move(id, source, target, this.parts.signal);
			log.info(run ? 'stream moved.' : 'stream not moved.', context);
			return run;
		} catch (error) {
			// Perhaps it was carried out: the source then ends the stream itself.
			log.warn('move unanswered.', {...context, error: String(error)});
			return undefined;
		}
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

function isSilent(flight: Flight, nowMs: number): boolean {
	return flight.events > 0 && nowMs - flight.progressAtMs > stallMs;
}
