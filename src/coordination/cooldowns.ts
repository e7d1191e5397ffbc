/**
 * Tracks the cooldowns that overloaded backend servers ask for: one that answers with 503 and
 * Retry-After (RFC 9110, section 10.2.3) gets no requests from this daemon until the time is
 * over. It has refused this daemon alone, so daemons do not gossip cooldowns.
 */
import {type Backend} from '../protocol/serving.js';
import {createLogger} from '../log.js';

const log = createLogger('cooldowns');

/** Number of moved streams that may continue on a backend server during its cooldown: their KV caches are there already, and no other one can take them. */
const maxMovedStreams = 2;

type Cooldown = {
	backendId: string;
	/** The start time of the backend server that asked for it. */
	startedAtMs: number | undefined;
	untilMs: number;
	/** When it was last asked for, in milliseconds since 1970. */
	askedAtWallMs: number;
	movedStreams: number;
};

/** The cooldowns of backend servers at one daemon. */
export class Cooldowns {
	/** The cooldown of the latest start under each name. */
	private readonly byName = new Map<string, Cooldown>();

	/** Whether no backend server cools down. */
	get isEmpty(): boolean {
		return this.byName.size === 0;
	}

	/**
	 * Records that a backend server asked for no requests for a time. A later answer may extend
	 * its cooldown, but never shortens it.
	 *
	 * @param wallTimeMs The time of day, in milliseconds since 1970.
	 */
	note(backend: Backend, delayMs: number, wallTimeMs: number, nowMs: number): void {
		const {name, id, startedAtMs} = backend;
		const latest = this.byName.get(name);
		if (delayMs <= 0 || (latest && isEarlier(startedAtMs, latest.startedAtMs))) {
			return;
		}

		const isCoolingDown = this.isCoolingDown(backend, nowMs);
		const current = isCoolingDown ? latest : undefined;
		this.byName.set(name, {
			backendId: id, startedAtMs, untilMs: Math.max(nowMs + delayMs, current?.untilMs ?? nowMs), askedAtWallMs: wallTimeMs, movedStreams: current?.movedStreams ?? 0,
		});
		if (!isCoolingDown) {
			log.info('cooldown of a backend server started.', {backend: id, delayMs});
		}
	}

	/** Whether a backend server must get no requests now. */
	isCoolingDown(backend: Backend, nowMs: number): boolean {
		return this.active(backend, nowMs) !== undefined;
	}

	/** Records a moved stream that is to continue on a backend server; returns false if it must not, because of the cooldown. */
	tryContinueMoved(backend: Backend, nowMs: number): boolean {
		const cooldown = this.active(backend, nowMs);
		if (!cooldown) {
			return true;
		}

		if (cooldown.movedStreams >= maxMovedStreams) {
			return false;
		}

		cooldown.movedStreams++;
		return true;
	}

	/** Returns the time until the first of these backend servers has cooled down, in milliseconds; undefined when none of them cools down. */
	retryAfterMs(backends: Backend[], nowMs: number): number | undefined {
		const waits = backends.map(backend => this.active(backend, nowMs)).filter(cooldown => cooldown !== undefined).map(({untilMs}) => untilMs - nowMs);
		return waits.length > 0 ? Math.min(...waits) : undefined;
	}

	/** Drops the cooldowns that are over. */
	prune(nowMs: number): void {
		for (const [name, {untilMs}] of this.byName) {
			if (nowMs >= untilMs) {
				this.byName.delete(name);
			}
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.byName.values()].map(({backendId, untilMs, movedStreams}) => ({backend: backendId, remainingMs: Math.round(untilMs - nowMs), movedStreams}));
	}

	private active({name, id, startedAtMs}: Backend, nowMs: number): Cooldown | undefined {
		const cooldown = this.byName.get(name);
		if (!cooldown || nowMs >= cooldown.untilMs) {
			return undefined;
		}

		// A start that the daemon did not know yet may have asked under the id of the one before it.
		const hasAsked = cooldown.backendId === id || (startedAtMs !== undefined && startedAtMs <= cooldown.askedAtWallMs);
		return hasAsked ? cooldown : undefined;
	}
}

/** Whether a start time lies before another one. */
function isEarlier(startedAtMs: number | undefined, otherMs: number | undefined): boolean {
	return startedAtMs !== undefined && otherMs !== undefined && startedAtMs < otherMs;
}
