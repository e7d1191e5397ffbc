/**
 * Chooses the backend server for a request by estimated cost. For an engine the cost is a
 * delay in milliseconds: prompt tokens that are not cached there must be prefilled first,
 * after the prompts that already wait there, and every running request slows each token of
 * all requests. For a plain service the cost grows with the share of its slots in use.
 * The parts of the cost that are work grow with the pace that the backend server states.
 * Load reports arrive late while many daemons may place a burst at once, so each daemon adds
 * what it sent itself and what its peers report to have in flight.
 */
import {createHash} from 'node:crypto';
import {type Backend, type PromptPart, type ReportedLoad} from '../protocol/serving.js';
import {type BackendPaces} from './paces/backend-paces.js';

/** Prompt tokens that an engine prefills in a millisecond. */
const prefillTokensPerMs = 50;
/** Cost of an engine whose slots are all in use, in milliseconds: a decoding step with 64 requests takes two and a half times as long as with one. The cost grows with the square of the share in use, since a new request also slows those already there. */
const fullEngineCostMs = 400;
/** Cost of a plain service whose slots are all in use, in milliseconds. */
const fullServiceCostMs = 200;
/** Time that a call of a plain service takes at the usual pace, in milliseconds; it makes the pace count where all replicas are idle. */
const plainCallMs = 50;
/** Delay for each request beyond a backend server's slots, in milliseconds. */
const queuedRequestCostMs = 60;
/** Share of a prompt's shared tokens that this daemon assumes to be cached at the engine preferred by rendezvous hashing, even if it sent none of them there itself. */
const preferredCacheShare = 0.7;
/** Cost added for each recent failure, in milliseconds. */
const failureCostMs = 400;
/** Time for which a failure adds to the cost, in milliseconds. */
const failureMaxAgeMs = 3000;
/** Age up to which a load reported by a backend server counts, in milliseconds. */
const reportedLoadMaxAgeMs = 1000;
/** Time after its last use for which a prompt part is assumed to stay cached, in milliseconds. */
const cachedPartMaxAgeMs = 20_000;
/** Cached prompt parts tracked for each engine. */
const maxCachedParts = 2000;
/** Cost added while a backend server is still cold after its start, in milliseconds. */
const coldStartCostMs = 100;
/** Cost added for a failure domain other than the daemon's, in milliseconds: the longer round trip. */
const otherDomainCostMs = 3;
/** Number of backend servers up to which all are compared. With more, all daemons of a large fleet would choose the one that seemed least loaded half a second ago; eight engines get an even share of a burst when all are compared. */
const maxScoredEngines = 12;
/** Backend servers drawn at random where there are more, to be compared beside those that should have the prompt cached: with late reports, the better of two random ones spreads the load more evenly than the best of all. */
const sampledEngineCount = 2;
/** Engines that all daemons prefer for the same prompt part. */
const preferredEngineCount = 2;
/** Prompt tokens that an engine must have cached beyond the one with the fewest to be compared for that alone: 20 ms of prefill. */
const minCachedTokens = 1000;

/** The inputs of one placement decision. */
export type PlacementQuery = {
	candidates: Backend[];
	/** Ids of backend servers that must not get this request, such as those that already failed it. */
	excluded: ReadonlySet<string>;
	promptTokens: number;
	promptParts: PromptPart[];
	/** Whether the request may crash the backend server that runs it. It then goes to the one with the fewest requests in flight, where a crash interrupts the fewest. */
	isSuspect: boolean;
	/** Returns the requests that other daemons report to have in flight at a backend server. */
	peersInFlight: (backendId: string) => number;
	/** Returns a uniform random number from 0 to 1. */
	random: () => number;
	nowMs: number;
};

/** A backend server with its estimated cost for a request. */
export type PlacementChoice = {
	backend: Backend;
	/** Estimated delay plus the penalties, in milliseconds. */
	costMs: number;
	/** Estimated time until the first event of the answer at the usual pace, in milliseconds. Requests that would wait too long are refused by it, and a stated pace alone must not cause a refusal. */
	waitMs: number;
	/** Prompt tokens assumed to be cached there. */
	cachedTokens: number;
	/** Estimated requests in flight there from all daemons. */
	inFlight: number;
	/** Another engine that should have more of the prompt cached, to copy its KV cache from. */
	copyFrom: Backend | undefined;
};

/** Prompt tokens that another engine must have cached beyond the chosen one to be copied from: a copy costs a sixth of a new prefill. */
const minCopiedTokens = 300;

/** What this daemon knows of one backend server. */
type BackendStats = {
	/** Requests that this daemon has in flight there. */
	inFlight: number;
	/** Prompt tokens of requests sent there whose first event has not arrived yet. */
	pendingTokens: number;
	reportedLoad: ReportedLoad | undefined;
	/** When the load report arrived. */
	reportedAtMs: number;
	/** Times of recent failures. */
	failures: number[];
	/** Times of last use, by id of the prompt part. */
	cachedParts: Map<string, number>;
};

/** Tracks the load and the caches of backend servers, as far as this daemon knows them, and places requests. */
export class Placement {
	private readonly statsByBackend = new Map<string, BackendStats>();

	constructor(private readonly failureDomain: string, private readonly paces: Pick<BackendPaces, 'factor'> = {factor: () => 1}) {}

	/** Returns the backend server with the lowest cost, or undefined when every candidate is excluded. */
	choose(query: PlacementQuery): PlacementChoice | undefined {
		const preferred = rankPreferred(query.promptParts, query.candidates);
		const choices = query.candidates.map(backend => this.estimate(backend, query, preferred[0] === backend.id));
		const eligible = choices.filter(choice => !query.excluded.has(choice.backend.id));
		let best: PlacementChoice | undefined;
		for (const choice of eligible.length > maxScoredEngines && !query.isSuspect ? selectScored(eligible, preferred, query.random) : eligible) {
			if (!best || (query.isSuspect ? choice.inFlight < best.inFlight : choice.costMs < best.costMs)) {
				best = choice;
			}
		}

		if (best) {
			best.copyFrom = findCacheSource(best, choices);
		}

		return best;
	}

	/** Returns the estimates for all candidates. */
	estimateAll(query: Pick<PlacementQuery, 'candidates' | 'promptTokens' | 'promptParts' | 'peersInFlight' | 'nowMs'>): PlacementChoice[] {
		const preferred = rankPreferred(query.promptParts, query.candidates).at(0);
		return query.candidates.map(backend => this.estimate(backend, query, preferred === backend.id));
	}

	/** Records a request sent to a backend server; the caller reports its progress and end to the returned object, which calls `onEnd` once. */
	begin(backendId: string, promptTokens: number, promptParts: PromptPart[], nowMs: number, onEnd?: () => void): RunningRequest { // eslint-disable-line max-params
		const stats = this.statsOf(backendId);
		stats.inFlight++;
		stats.pendingTokens += promptTokens;
		for (const part of promptParts) {
			stats.cachedParts.delete(part.id);
			stats.cachedParts.set(part.id, nowMs);
		}

		while (stats.cachedParts.size > maxCachedParts) {
			stats.cachedParts.delete(stats.cachedParts.keys().next().value!);
		}

		return new RunningRequest(stats, promptTokens, onEnd);
	}

	/** Records the load that a backend server reported. */
	noteLoad(backendId: string, load: ReportedLoad, nowMs: number): void {
		const stats = this.statsOf(backendId);
		stats.reportedLoad = load;
		stats.reportedAtMs = nowMs;
	}

	/** Records a failed request, which raises the cost of the backend server for a while. */
	noteFailure(backendId: string, nowMs: number): void {
		this.statsOf(backendId).failures.push(nowMs);
	}

	/** Returns the requests that this daemon and all daemons have in flight at a backend server, and those that it recently reported to be waiting. */
	expectedLoad(backendId: string, peersInFlight: number, nowMs: number): {ownInFlight: number; inFlight: number; waiting: number} {
		const {inFlight, reportedLoad, reportedAtMs} = this.statsOf(backendId);
		const reported = reportedLoad && nowMs - reportedAtMs <= reportedLoadMaxAgeMs ? reportedLoad : undefined;
		return {ownInFlight: inFlight, inFlight: Math.max(inFlight + peersInFlight, reported?.running ?? 0), waiting: reported?.waiting ?? 0};
	}

	/** Returns this daemon's requests in flight, by id of the backend server. */
	inFlight(): Map<string, number> {
		return new Map([...this.statsByBackend].filter(([, stats]) => stats.inFlight > 0).map(([id, stats]) => [id, stats.inFlight]));
	}

	/** Drops the statistics of backend servers that are not listed any more and have no request in flight. */
	retain(ids: ReadonlySet<string>): void {
		for (const [id, stats] of this.statsByBackend) {
			if (!ids.has(id) && stats.inFlight === 0) {
				this.statsByBackend.delete(id);
			}
		}
	}

	private estimate(backend: Backend, query: Pick<PlacementQuery, 'promptTokens' | 'promptParts' | 'peersInFlight' | 'nowMs'>, isPreferred: boolean): PlacementChoice {
		const stats = this.statsOf(backend.id);
		const {nowMs, promptParts, promptTokens} = query;
		stats.failures = stats.failures.filter(atMs => nowMs - atMs < failureMaxAgeMs);
		const cachedTokens = Math.max(cachedPrefixTokens(stats, promptParts, nowMs), isPreferred ? sharedTokens(promptParts) * preferredCacheShare : 0);
		const reported = stats.reportedLoad && nowMs - stats.reportedAtMs <= reportedLoadMaxAgeMs ? stats.reportedLoad.running + stats.reportedLoad.waiting : 0;
		const inFlight = Math.max(stats.inFlight + query.peersInFlight(backend.id), Math.min(reported, stats.inFlight + query.peersInFlight(backend.id) + 4));
		const queued = Math.max(0, inFlight + 1 - backend.slots);
		const waitMs = ((stats.pendingTokens + Math.max(0, promptTokens - cachedTokens)) / prefillTokensPerMs) + (queued * queuedRequestCostMs);
		const paceFactor = this.paces.factor(backend, nowMs);
		const costMs = (waitMs * paceFactor)
			+ (promptTokens > 0 ? fullEngineCostMs * ((inFlight / backend.slots) ** 2) * paceFactor : (fullServiceCostMs * inFlight / backend.slots * paceFactor) + (plainCallMs * (paceFactor - 1)))
			+ (stats.failures.length * failureCostMs)
			+ (backend.coldForMs > 0 ? coldStartCostMs : 0)
			+ (backend.failureDomain === this.failureDomain ? 0 : otherDomainCostMs);
		return {
			backend, costMs, waitMs, cachedTokens, inFlight, copyFrom: undefined,
		};
	}

	private statsOf(backendId: string): BackendStats {
		let stats = this.statsByBackend.get(backendId);
		if (!stats) {
			stats = {
				inFlight: 0, pendingTokens: 0, reportedLoad: undefined, reportedAtMs: 0, failures: [], cachedParts: new Map(),
			};
			this.statsByBackend.set(backendId, stats);
		}

		return stats;
	}
}

/** One request in flight at a backend server, as the load estimate counts it. */
export class RunningRequest {
	private isPrefilling = true;
	private hasEnded = false;

	constructor(
		private readonly stats: BackendStats,
		private readonly promptTokens: number,
		private readonly onEnd?: () => void,
	) {}

	/** Records the first event of the answer: the prompt has been prefilled. */
	notePrefilled(): void {
		if (this.isPrefilling) {
			this.isPrefilling = false;
			this.stats.pendingTokens -= this.promptTokens;
		}
	}

	/** Records the end of the request; later calls do nothing. */
	end(): void {
		if (!this.hasEnded) {
			this.hasEnded = true;
			this.notePrefilled();
			this.stats.inFlight--;
			this.onEnd?.();
		}
	}
}

/** Returns the engine of the same software version that should have the most of the prompt cached, if that is enough more than the chosen one has. */
function findCacheSource(chosen: PlacementChoice, choices: PlacementChoice[]): Backend | undefined {
	let source: PlacementChoice | undefined;
	for (const choice of choices) {
		if (choice.backend.version === chosen.backend.version && choice.cachedTokens > (source ?? chosen).cachedTokens) {
			source = choice;
		}
	}

	return source && source.cachedTokens - chosen.cachedTokens >= minCopiedTokens ? source.backend : undefined;
}

/** Counts the tokens of the leading parts that should be cached; a part only counts if all parts before it do. */
function cachedPrefixTokens(stats: BackendStats, parts: PromptPart[], nowMs: number): number {
	let tokens = 0;
	for (const part of parts) {
		const usedAtMs = stats.cachedParts.get(part.id);
		if (usedAtMs === undefined || nowMs - usedAtMs > cachedPartMaxAgeMs) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
}

/** Counts the tokens of all parts but the last, which belongs to the request or its session alone. */
function sharedTokens(parts: PromptPart[]): number {
	let tokens = 0;
	for (const part of parts.slice(0, -1)) {
		tokens += part.tokens;
	}

	return tokens;
}

/** Returns the choices to compare among many: those that should have much of the prompt cached, the preferred engines, and a few at random. */
function selectScored(choices: PlacementChoice[], preferred: string[], random: () => number): PlacementChoice[] {
	const fewestCached = Math.min(...choices.map(choice => choice.cachedTokens));
	const cached = choices.filter(({backend, cachedTokens}) => cachedTokens - fewestCached >= minCachedTokens || preferred.includes(backend.id));
	const sampled = Array.from({length: sampledEngineCount}, () => choices[Math.floor(random() * choices.length)]);
	return [...cached, ...sampled];
}

/** Returns the ids of the engines that every daemon prefers for a prompt's last shared part, best first, by rendezvous hashing. */
function rankPreferred(parts: PromptPart[], candidates: Backend[]): string[] {
	const part = parts.at(-2) ?? parts.at(-1);
	if (!part) {
		return [];
	}

	const scored = candidates.map(({id}) => ({id, score: createHash('md5').update(part.id).update(id).digest().readUInt32BE(0)}));
	return scored.toSorted((a, b) => b.score - a.score).slice(0, preferredEngineCount).map(({id}) => id);
}
