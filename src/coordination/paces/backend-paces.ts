/**
 * Tracks how long work takes at backend servers that state it: engines of one service may differ
 * in speed, and each may be slow for a moment. A statement counts in full while it is recent;
 * then it fades to the usual pace, since the momentary one changes several times a second.
 */
import {type Backend} from '../../protocol/serving.js';

/** The pace of a backend server that works at the usual speed, in percent. */
const usualPercent = 100;
/** Age up to which a statement counts in full, in milliseconds. */
const freshMs = 300;
/** Age from which on only the usual pace counts, in milliseconds. */
const fadedMs = 900;
/** Latest statements whose median is the usual pace. */
const keptStatements = 7;
/** Time for which a service counts as one that states its pace, in milliseconds. */
const statedMaxAgeMs = 10_000;

/** What is known of the pace of one backend server. */
type Pace = {service: string; latestPercent: number; latestAtMs: number; recentPercents: number[]};

/** The paces of all backend servers that state them. */
export class BackendPaces {
	private readonly paces = new Map<string, Pace>();
	private readonly statedAtMs = new Map<string, number>();

	/** Records the pace that an answer stated, in percent of the usual time. */
	note({id, service}: Pick<Backend, 'id' | 'service'>, percent: number, nowMs: number): void {
		this.statedAtMs.set(service, nowMs);
		const pace = this.paces.get(id);
		this.paces.set(id, {
			service, latestPercent: percent, latestAtMs: nowMs, recentPercents: [...pace?.recentPercents ?? [], percent].slice(-keptStatements),
		});
	}

	/** Returns how long work takes at a backend server, as a multiple of the usual time. */
	factor({id, service}: Pick<Backend, 'id' | 'service'>, nowMs: number): number {
		const pace = this.paces.get(id);
		if (!pace) {
			return this.usualOfService(service) / usualPercent;
		}

		const usual = median(pace.recentPercents);
		const freshness = Math.min(1, Math.max(0, (fadedMs - (nowMs - pace.latestAtMs)) / (fadedMs - freshMs)));
		return ((pace.latestPercent * freshness) + (usual * (1 - freshness))) / usualPercent;
	}

	/** Whether a backend server of a service has stated its pace of late. */
	isStated(service: string, nowMs: number): boolean {
		return nowMs - (this.statedAtMs.get(service) ?? Number.NEGATIVE_INFINITY) <= statedMaxAgeMs;
	}

	/** Keeps only the given backend servers. */
	retain(ids: ReadonlySet<string>): void {
		for (const id of this.paces.keys()) {
			if (!ids.has(id)) {
				this.paces.delete(id);
			}
		}
	}

	/** Returns a plain copy for state dumps. */
	toJson(nowMs: number): unknown {
		return [...this.paces].map(([backend, {latestPercent, latestAtMs, recentPercents}]) => ({
			backend, latestPercent, ageMs: Math.round(nowMs - latestAtMs), usualPercent: median(recentPercents),
		}));
	}

	private usualOfService(service: string): number {
		const usual = [...this.paces.values()].filter(pace => pace.service === service).map(({recentPercents}) => median(recentPercents));
		return usual.length > 0 ? median(usual) : usualPercent;
	}
}

/** Returns the lower median of a list that is not empty. */
function median(values: number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}
