/**
 * Tracks how long work takes at backend servers that state it: engines of one service may differ
 * in speed, and each may be slow for a moment. A statement counts in full while it is recent;
 * then it fades to the usual pace, since the momentary one changes several times a second.
 */
import {type Backend} from '../../protocol/serving.js';
import {backendKey} from '../fleet/backend-key.js';
import {minOwnObservations, SharedPaces} from './shared-paces.js';

/** The pace of a backend server that works at the usual speed, in percent. */
const standardPercent = 100;
/** Age up to which a statement counts in full, in milliseconds. */
const freshMs = 300;
/** Age from which on only the usual pace counts, in milliseconds. */
const fadedMs = 900;
/** Latest observations whose median is the usual pace. */
const keptObservations = 7;
/** Least time between two observations that count for the usual pace, in milliseconds. Momentary slowness lasts that long, so that statements closer together describe the same moment. */
const observationSpacingMs = 600;
/** Time for which a service counts as one that states its pace, in milliseconds. */
const statedMaxAgeMs = 10_000;

/** What this daemon has observed of the pace of one backend server. */
type Pace = {service: string; latestPercent: number; latestAtMs: number; observedAtMs: number; recentPercents: number[]; usualPercent: number};

/** A backend server whose pace is asked for or stated. */
type PacedBackend = Pick<Backend, 'id' | 'service'>;

/** The paces of all backend servers that state them. */
export class BackendPaces {
	/** The usual paces that the daemons of the fleet tell each other. */
	readonly shared = new SharedPaces();
	private readonly paces = new Map<string, Pace>();
	/** Services of the backend servers whose pace is known only from other daemons, whose messages do not name the service. */
	private readonly unobservedServices = new Map<string, string>();
	private readonly statedAtMs = new Map<string, number>();

	/** Records the pace that an answer stated, in percent of the usual time. */
	note({id, service}: PacedBackend, percent: number, nowMs: number): void {
		this.statedAtMs.set(service, nowMs);
		this.unobservedServices.delete(id);
		const pace = this.paces.get(id);
		if (pace && nowMs - pace.observedAtMs < observationSpacingMs) {
			this.paces.set(id, {...pace, latestPercent: percent, latestAtMs: nowMs});
			return;
		}

		const recentPercents = [...pace?.recentPercents ?? [], percent].slice(-keptObservations);
		const usualPercent = median(recentPercents);
		this.paces.set(id, {
			service, latestPercent: percent, latestAtMs: nowMs, observedAtMs: nowMs, recentPercents, usualPercent,
		});
		this.shared.observe(backendKey(id), {usualPercent, recentPercents}, nowMs);
	}

	/** Returns the usual pace of a backend server in percent: this daemon's own observations if there are enough of them, otherwise what other daemons state. */
	usualPercent(id: string): number | undefined {
		const pace = this.paces.get(id);
		const own = pace?.usualPercent;
		return pace && pace.recentPercents.length >= minOwnObservations ? own : this.shared.heardPercent(backendKey(id)) ?? own;
	}

	/** Returns how long work takes at a backend server, as a multiple of the usual time. */
	factor({id, service}: PacedBackend, nowMs: number): number {
		if (this.paces.size === 0 && this.shared.isEmpty) {
			return 1;
		}

		const usual = this.usualPercent(id);
		if (usual === undefined) {
			return this.usualOfService(service) / standardPercent;
		}

		const pace = this.paces.get(id);
		if (!pace) {
			this.unobservedServices.set(id, service);
			return usual / standardPercent;
		}

		const freshness = Math.min(1, Math.max(0, (fadedMs - (nowMs - pace.latestAtMs)) / (fadedMs - freshMs)));
		// In this form the factor is exactly 1 where both are 100; a weighted sum of both would round.
		return (usual + ((pace.latestPercent - usual) * freshness)) / standardPercent;
	}

	/** Whether a backend server of a service has stated its pace to this daemon of late. */
	isStated(service: string, nowMs: number): boolean {
		return nowMs - (this.statedAtMs.get(service) ?? Number.NEGATIVE_INFINITY) <= statedMaxAgeMs;
	}

	/** Keeps only the given backend servers. */
	retain(ids: ReadonlySet<string>): void {
		for (const known of [this.paces, this.unobservedServices]) {
			for (const id of known.keys()) {
				if (!ids.has(id)) {
					known.delete(id);
				}
			}
		}

		if (!this.shared.isEmpty) {
			this.shared.retain(new Set([...ids].map(id => backendKey(id))));
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return {
			observed: [...this.paces].map(([backend, {latestPercent, latestAtMs, recentPercents}]) => ({
				backend, latestPercent, ageMs: Math.round(nowMs - latestAtMs), observations: recentPercents.length, usualPercent: this.usualPercent(backend),
			})),
			shared: this.shared.toJson(nowMs),
		};
	}

	/** Returns the median of the usual paces of a service's backend servers. */
	private usualOfService(service: string): number {
		const services = [...this.unobservedServices, ...[...this.paces].map(([id, pace]) => [id, pace.service] as const)];
		const usual = services.filter(([, each]) => each === service).map(([id]) => this.usualPercent(id)).filter(percent => percent !== undefined);
		return usual.length > 0 ? median(usual) : standardPercent;
	}
}

/** Returns the lower median of a list that is not empty. */
function median(values: number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}
