/**
 * Which backend server gets a request. For engines the estimate is in milliseconds of
 * delay: prompt tokens that are not cached there must be read first, what waits there is
 * read before it, and every running request makes each token slower, its own and others'.
 * For plain services it is the share of slots in use. It answers bursts that many daemons
 * place at once from late reports: each adds what it sent itself and what its peers say
 * they have in flight.
 */
import {createHash} from 'node:crypto';
import {type Backend, type PromptPart, type StatedLoad} from '../protocol/serving.js';

/** Prompt tokens that an engine reads in a millisecond; from the deployments' sheets. */
const prefillTokensPerMs = 50;
/** Delay that an engine with all slots in use causes, in milliseconds: a step of 64 requests takes two and a half times one of a single one. It grows with the square of the use, since the requests there are slowed too. */
const fullEngineCostMs = 400;
/** Cost of a plain service whose slots are all in use, in milliseconds. */
const slotCostMs = 200;
/** Delay per request beyond an engine's slots, in milliseconds. */
const queuedCostMs = 60;
/** Share of the cached tokens' worth given to the engine that all daemons would choose first for a prompt part, where this daemon knows of no cache. */
const homeShare = 0.7;
/** Added for each recent failure, in milliseconds of delay. */
const failureCostMs = 400;
/** A failure is forgotten after this, in milliseconds. */
const failureMemoryMs = 3000;
/** A stated load counts this long, in milliseconds. */
const statedLoadMs = 1000;
/** A cached part is taken to be there this long after its last use, in milliseconds. */
const cachedMs = 20_000;
/** Cached parts remembered for each engine. */
const rememberedParts = 2000;
/** Delay of a start that is still cold, in milliseconds. */
const coldCostMs = 100;
/** Added for another failure domain than the daemon's, in milliseconds: a round trip more. */
const otherDomainCostMs = 3;
/** Up to this many engines each is weighed: eight served bursts evenly so. Beyond, all daemons of a large fleet would choose the one that seemed least loaded half a second ago. */
const weighedEngines = 12;
/** Of more engines, those that should have the prompt cached are weighed, and this many drawn at random: from late reports, two spread the load better than all. */
const drawnEngines = 2;
/** Engines that all daemons choose first for a prompt part. */
const homeEngines = 2;
/** Prompt tokens that an engine must have cached beyond the least to be weighed for that alone: 20 ms of reading. */
const leastCachedTokens = 1000;

/** What a request asks of a placement. */
export type PlacementQuery = {
	candidates: Backend[];
	/** Backend servers that already failed this request. */
	excluded: ReadonlySet<string>;
	promptTokens: number;
	promptParts: PromptPart[];
	/** Whether it may crash the backend server that runs it, so that it goes where the fewest others would break off. */
	isSuspect: boolean;
	/** Requests that other daemons have in flight at a backend server. */
	peersInFlight: (backendId: string) => number;
	/** Draws evenly from 0 to 1. */
	random: () => number;
	nowMs: number;
};

/** A chosen backend server and why. */
export type Choice = {
	backend: Backend;
	/** Estimated delay and what speaks against it beside, in milliseconds. */
	costMs: number;
	/** Estimated time until the first event, in milliseconds. */
	waitMs: number;
	/** Prompt tokens taken to be cached there. */
	cachedTokens: number;
	inFlight: number;
	/** Another engine that should hold more of the prompt, to copy it from. */
	copyFrom: Backend | undefined;
};

/** Prompt tokens that another engine must hold beyond the chosen one to be copied from: a copy costs a sixth of reading them again. */
const leastCopiedTokens = 300;

type View = {
	inFlight: number;
	/** Prompt tokens sent there whose first event has not come. */
	pendingTokens: number;
	stated: StatedLoad | undefined;
	statedAtMs: number;
	failures: number[];
	/** Time of last use, by part. */
	cached: Map<string, number>;
};

/** What this daemon knows of the load and caches of backend servers. */
export class Placement {
	private readonly views = new Map<string, View>();

	constructor(private readonly failureDomain: string) {}

	/** Chooses a backend server, or none when every candidate is excluded. */
	choose(query: PlacementQuery): Choice | undefined {
		const homes = homesOf(query.promptParts, query.candidates);
		const choices = query.candidates.map(backend => this.estimate(backend, query, homes[0] === backend.id));
		const open = choices.filter(choice => !query.excluded.has(choice.backend.id));
		let best: Choice | undefined;
		for (const choice of open.length > weighedEngines && !query.isSuspect ? sample(open, homes, query.random) : open) {
			if (!best || (query.isSuspect ? choice.inFlight < best.inFlight : choice.costMs < best.costMs)) {
				best = choice;
			}
		}

		if (best) {
			best.copyFrom = fullestBeside(best, choices);
		}

		return best;
	}

	/** Notes a request sent; call the returned function once when it is over. */
	begin(backendId: string, promptTokens: number, promptParts: PromptPart[], nowMs: number): RunningRequest {
		const view = this.view(backendId);
		view.inFlight++;
		view.pendingTokens += promptTokens;
		for (const part of promptParts) {
			view.cached.delete(part.id);
			view.cached.set(part.id, nowMs);
		}

		while (view.cached.size > rememberedParts) {
			view.cached.delete(view.cached.keys().next().value!);
		}

		return new RunningRequest(view, promptTokens);
	}

	noteLoad(backendId: string, load: StatedLoad, nowMs: number): void {
		const view = this.view(backendId);
		view.stated = load;
		view.statedAtMs = nowMs;
	}

	noteFailure(backendId: string, nowMs: number): void {
		this.view(backendId).failures.push(nowMs);
	}

	/** Requests in flight from this daemon, by backend server. */
	inFlight(): Record<string, number> {
		return Object.fromEntries([...this.views].filter(([, view]) => view.inFlight > 0).map(([id, view]) => [id, view.inFlight]));
	}

	/** Forgets backend servers that are not listed any more. */
	retain(ids: ReadonlySet<string>): void {
		for (const [id, view] of this.views) {
			if (!ids.has(id) && view.inFlight === 0) {
				this.views.delete(id);
			}
		}
	}

	private estimate(backend: Backend, query: PlacementQuery, isHome: boolean): Choice {
		const view = this.view(backend.id);
		const {nowMs, promptParts, promptTokens} = query;
		view.failures = view.failures.filter(atMs => nowMs - atMs < failureMemoryMs);
		const cachedTokens = Math.max(cachedIn(view, promptParts, nowMs), isHome ? sharedTokens(promptParts) * homeShare : 0);
		const stated = view.stated && nowMs - view.statedAtMs <= statedLoadMs ? view.stated.running + view.stated.waiting : 0;
		const inFlight = Math.max(view.inFlight + query.peersInFlight(backend.id), Math.min(stated, view.inFlight + query.peersInFlight(backend.id) + 4));
		const queued = Math.max(0, inFlight + 1 - backend.slots);
		const waitMs = ((view.pendingTokens + Math.max(0, promptTokens - cachedTokens)) / prefillTokensPerMs) + (queued * queuedCostMs);
		const costMs = waitMs
			+ (promptTokens > 0 ? fullEngineCostMs * ((inFlight / backend.slots) ** 2) : slotCostMs * inFlight / backend.slots)
			+ (view.failures.length * failureCostMs)
			+ (backend.coldForMs > 0 ? coldCostMs : 0)
			+ (backend.failureDomain === this.failureDomain ? 0 : otherDomainCostMs);
		return {
			backend, costMs, waitMs, cachedTokens, inFlight, copyFrom: undefined,
		};
	}

	private view(backendId: string): View {
		let view = this.views.get(backendId);
		if (!view) {
			view = {
				inFlight: 0, pendingTokens: 0, stated: undefined, statedAtMs: 0, failures: [], cached: new Map(),
			};
			this.views.set(backendId, view);
		}

		return view;
	}
}

/** One request at a backend server, as the load estimate sees it. */
export class RunningRequest {
	private isReading = true;
	private isOver = false;

	constructor(
		private readonly view: View,
		private readonly promptTokens: number,
	) {}

	/** Its first event came: its prompt was read. */
	noteRead(): void {
		if (this.isReading) {
			this.isReading = false;
			this.view.pendingTokens -= this.promptTokens;
		}
	}

	/** It is over; later calls do nothing. */
	end(): void {
		if (!this.isOver) {
			this.isOver = true;
			this.noteRead();
			this.view.inFlight--;
		}
	}
}

/** The engine that should hold the most of the prompt beyond the chosen one. */
function fullestBeside(chosen: Choice, choices: Choice[]): Backend | undefined {
	let fullest: Choice | undefined;
	for (const choice of choices) {
		if (choice.cachedTokens > (fullest ?? chosen).cachedTokens) {
			fullest = choice;
		}
	}

	return fullest && fullest.cachedTokens - chosen.cachedTokens >= leastCopiedTokens ? fullest.backend : undefined;
}

/** Tokens of the leading parts that are cached; a part only counts if all before it do. */
function cachedIn(view: View, parts: PromptPart[], nowMs: number): number {
	let tokens = 0;
	for (const part of parts) {
		const usedAtMs = view.cached.get(part.id);
		if (usedAtMs === undefined || nowMs - usedAtMs > cachedMs) {
			break;
		}

		tokens += part.tokens;
	}

	return tokens;
}

/** Tokens of all parts but the last, which belongs to the request or its session. */
function sharedTokens(parts: PromptPart[]): number {
	let tokens = 0;
	for (const part of parts.slice(0, -1)) {
		tokens += part.tokens;
	}

	return tokens;
}

/** The engines to weigh of many: those that should have much of the prompt cached, its homes, and a few at random. */
function sample(choices: Choice[], homes: string[], random: () => number): Choice[] {
	const least = Math.min(...choices.map(choice => choice.cachedTokens));
	const known = choices.filter(({backend, cachedTokens}) => cachedTokens - least >= leastCachedTokens || homes.includes(backend.id));
	const drawn = Array.from({length: drawnEngines}, () => choices[Math.floor(random() * choices.length)]);
	return [...known, ...drawn];
}

/** The engines that every daemon would choose first for a prompt's last shared part, by rendezvous hashing. */
function homesOf(parts: PromptPart[], candidates: Backend[]): string[] {
	const part = parts.at(-2) ?? parts.at(-1);
	if (!part) {
		return [];
	}

	const scored = candidates.map(({id}) => ({id, score: createHash('md5').update(part.id).update(id).digest().readUInt32BE(0)}));
	return scored.toSorted((a, b) => b.score - a.score).slice(0, homeEngines).map(({id}) => id);
}
