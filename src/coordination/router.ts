/**
 * Routes a completion to a model engine by load and prefix-cache affinity. Prompts that share
 * a prefix go to the same engine by rendezvous hashing, unless its load exceeds that of the
 * least loaded engine by more than the preset's slack. The load is the one that the engine
 * reported last, plus the requests that this gateway has sent since, since reports are stale.
 */
import {createHash} from 'node:crypto';
import {type BackendServer} from '../protocol/gateway-settings.js';
import {type EngineLoad} from '../protocol/engine-api.js';
import {tokenizePrompt} from '../protocol/tokens.js';
import {NoBackendError} from './errors.js';

/** Leading tokens of the prompt that make up the prefix for affinity. */
export const affinityTokens = 32;
/** Default slack: requests that an engine with affinity may have beyond the least loaded one. */
export const defaultAffinitySlack = 4;
/** Age beyond which a load report is ignored, in milliseconds. */
export const staleLoadMs = 2000;

/** What a gateway knows of one backend server's load and health. */
export type LoadView = {
	report?: EngineLoad;
	receivedAtMs?: number;
	/** Requests that this gateway has dispatched since the report arrived. */
	sentSinceReport: number;
	healthy: boolean;
};

/** Returns whether an engine serves a model, by its load report, or by its settings until it has reported. */
export function servesModel(backend: BackendServer, view: LoadView | undefined, model: string): boolean {
	return (view?.report ? view.report.model : backend.name) === model;
}

/** The inputs of one routing decision. */
export type RouteQuery = {
	candidates: BackendServer[];
	loads: ReadonlyMap<string, LoadView>;
	excluded: ReadonlySet<string>;
	prompt: string;
	affinitySlack: number;
	nowMs: number;
};

/** Estimates the requests running and waiting at a backend server at `nowMs`. */
export function estimateLoad(view: LoadView | undefined, nowMs: number): number {
	if (!view) {
		return 0;
	}

	const isFresh = view.report !== undefined && view.receivedAtMs !== undefined && nowMs - view.receivedAtMs <= staleLoadMs;
	return (isFresh ? view.report!.running + view.report!.waiting : 0) + view.sentSinceReport;
}

/** Returns the rendezvous-hashing score of a backend server for a prompt prefix. */
export function affinityScore(prefix: string, backendId: string): number {
	return createHash('sha256').update(prefix).update('\0').update(backendId).digest().readUInt32BE(0);
}

/**
 * Chooses the backend server for a prompt.
 *
 * @throws {NoBackendError} When every candidate is unhealthy or excluded.
 */
export function chooseBackend(query: RouteQuery): BackendServer {
	const {candidates, loads, excluded, prompt, affinitySlack, nowMs} = query;
	const usable = candidates.filter(backend => !excluded.has(backend.id) && (loads.get(backend.id)?.healthy ?? true));
	if (usable.length === 0) {
		throw new NoBackendError(`no backend server can take the request (${candidates.length} known, ${excluded.size} excluded)`);
	}

	const prefix = tokenizePrompt(prompt).slice(0, affinityTokens).join(' ');
	const ranked = usable
		.map(backend => ({backend, load: estimateLoad(loads.get(backend.id), nowMs), score: affinityScore(prefix, backend.id)}))
		.toSorted((a, b) => b.score - a.score);
	const least = Math.min(...ranked.map(entry => entry.load));
	const choice = ranked.find(entry => entry.load <= least + affinitySlack)!;
	return choice.backend;
}
