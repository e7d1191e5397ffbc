/**
 * Which backend server gets a request. For engines the estimate is in milliseconds of
 * delay: prompt tokens that are not cached there must be read first, what waits there is
 * read before it, and every running request makes each token slower, its own and others'.
 * For plain services it is the share of slots in use. It answers bursts that many daemons
 * place at once from late reports: each adds what it sent itself and what its peers say
 * they have sent, in requests and in prompt tokens that are not read yet.
 */
import {createHash} from 'node:crypto';
import {type SentLoad} from '../protocol/fleet-messages.js';
import {type Backend, type PromptPart, type StatedLoad} from '../protocol/serving.js';
import {ReadingRate} from './reading-rate.js';

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
/** Added where a new connection must be opened, in milliseconds: a round trip, and a moment of one of the backend server's slots. */
const connectionCostMs = 8;
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
	/** Whether an idle connection to a backend server is kept. */
	isConnected: (backend: Backend) => boolean;
	/** What other daemons have sent to a backend server. */
	peersLoad: (backendId: string) => SentLoad;
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
	/** Prompt tokens taken to be cached there, and those to be read. */
	cachedTokens: number;
	unreadTokens: number;
	inFlight: number;
	/** Another engine that should hold more of the prompt, to copy it from. */
	copyFrom: Backend | undefined;
};

/** Prompt tokens that another engine must hold beyond the chosen one to be copied from: a copy costs a sixth of reading them again. */
const leastCopiedTokens = 300;

type View = {
	inFlight: number;
	/** Prompt tokens to be read there, of requests whose first event has not come. */
	unreadTokens: number;
	stated: StatedLoad | undefined;
	statedAtMs: number;
	failures: number[];
	/** Time of last use, by part. */
	cached: Map<string, number>;
};

/** What this daemon knows of the load and caches of backend servers. */
export class Placement {
	private readonly views = new Map<string, View>();
	/** How fast the engines of each service read. */
	private readonly rates = new Map<string, ReadingRate>();

	constructor(private readonly failureDomain: string) {}

	/** Chooses a backend server, or none when every candidate is excluded. */
	choose(query: PlacementQuery): Choice | undefined {
		const homes = homesOf(query.promptParts, query.candidates);
		const choices = query.candidates.map(backend => this.estimate(backend, query, homes[0] === backend.id));
		const open = choices.filter(choice => !query.excluded.has(choice.backend.id));
		let best: Choice | undefined;
		for (const choice of open.length > weighedEngines ? sample(open, homes, query.random) : open) {
			if (!best || choice.costMs < best.costMs) {
				best = choice;
			}
		}

		if (best) {
			best.copyFrom = fullestBeside(best, choices);
		}

		return best;
	}

	/** Prompt tokens that an engine of a service reads in a millisecond. */
	readingRate(service: string): ReadingRate {
		let rate = this.rates.get(service);
		if (!rate) {
			rate = new ReadingRate();
			this.rates.set(service, rate);
		}

		return rate;
	}

	/** Notes a request sent, with the prompt tokens that are to be read there; end the returned one when it is over. */
	begin(backend: Backend, unreadTokens: number, promptParts: PromptPart[], nowMs: number): RunningRequest {
		const view = this.view(backend.id);
		const rate = view.unreadTokens === 0 ? this.readingRate(backend.service) : undefined;
		view.inFlight++;
		view.unreadTokens += unreadTokens;
		for (const part of promptParts) {
			view.cached.delete(part.id);
			view.cached.set(part.id, nowMs);
		}

		while (view.cached.size > rememberedParts) {
			view.cached.delete(view.cached.keys().next().value!);
		}

		return new RunningRequest(view, unreadTokens, rate, nowMs);
	}

	noteLoad(backendId: string, load: StatedLoad, nowMs: number): void {
		const view = this.view(backendId);
		view.stated = load;
		view.statedAtMs = nowMs;
	}

	noteFailure(backendId: string, nowMs: number): void {
		this.view(backendId).failures.push(nowMs);
	}

	/** What this daemon has sent, by backend server. */
	sent(): Map<string, SentLoad> {
		return new Map([...this.views].filter(([, view]) => view.inFlight > 0));
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
		const peers = query.peersLoad(backend.id);
		const sent = view.inFlight + peers.inFlight;
		const inFlight = Math.max(sent, Math.min(stated, sent + 4));
		const queued = Math.max(0, inFlight + 1 - backend.slots);
		const unreadTokens = Math.max(0, promptTokens - cachedTokens);
		const waitMs = ((view.unreadTokens + peers.unreadTokens + unreadTokens) / this.readingRate(backend.service).tokensPerMs) + (queued * queuedCostMs);
		const costMs = waitMs
			+ (promptTokens > 0 ? fullEngineCostMs * ((inFlight / backend.slots) ** 2) : slotCostMs * inFlight / backend.slots)
			+ (view.failures.length * failureCostMs)
			+ (backend.coldForMs > 0 ? coldCostMs : 0)
			+ (query.isConnected(backend) ? 0 : connectionCostMs)
			+ (backend.failureDomain === this.failureDomain ? 0 : otherDomainCostMs);
		return {
			backend, costMs, waitMs, cachedTokens, unreadTokens, inFlight, copyFrom: undefined,
		};
	}

	private view(backendId: string): View {
		let view = this.views.get(backendId);
		if (!view) {
			view = {
				inFlight: 0, unreadTokens: 0, stated: undefined, statedAtMs: 0, failures: [], cached: new Map(),
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

	/** @param rate Learns from this request; undefined where others were to be read before it. */
	constructor(
		private readonly view: View,
		private readonly unreadTokens: number,
		private readonly rate: ReadingRate | undefined,
		private readonly sentAtMs: number,
	) {}

	/** Its first event came: its prompt was read. */
	noteRead(nowMs: number): void {
		if (this.isReading) {
			this.rate?.note(this.unreadTokens, nowMs - this.sentAtMs);
			this.stopReading();
		}
	}

	/** It is over; later calls do nothing. */
	end(): void {
		if (!this.isOver) {
			this.isOver = true;
			this.stopReading();
			this.view.inFlight--;
		}
	}

	private stopReading(): void {
		if (this.isReading) {
			this.isReading = false;
			this.view.unreadTokens -= this.unreadTokens;
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
