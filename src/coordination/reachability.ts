/**
 * Decides whether this daemon is cut off from all backend servers of a service, so that other
 * daemons have to serve its requests. A single backend server proves nothing: it may have
 * crashed, or be silent for a second. Several in different failure domains that accept no
 * connection do, while none accepts one; connections that were open before may go on working.
 *
 * Requests that stay unanswered at several backend servers raise a suspicion, which connections
 * opened as probes confirm or refute. While the daemon is cut off, probes find the end of it,
 * so no request has to.
 */
import {type Backend} from '../protocol/serving.js';
import {createLogger} from '../log.js';

const log = createLogger('reachability');

/** Fewest backend servers that must accept no connection for a suspicion, and fewest failure domains that they must be in if the service has as many. */
const minUnreached = 2;
const minDomains = 2;
/** Share of a service's backend servers that must accept no connection for the daemon to be cut off: a few may have crashed together. */
const cutOffShare = 0.75;
/** Number of them that is enough for a service of up to sixteen; for a larger one it is the square root of its size, which probes alone reach before the first failures are too old. */
const minCutOffEvidence = 4;
/** Time for which a connection that did not open counts, in milliseconds. */
const failureMaxAgeMs = 2000;
/** Time without any answer after which requests that wait for one raise a suspicion, in milliseconds. */
const suspiciousSilenceMs = 800;
/** Shortest time between two rounds of probes, in milliseconds. */
const probeIntervalMs = 500;
/** Fewest backend servers probed in a round, and number of rounds in which the probes of a large service must suffice as evidence: those that fit before the first failures are too old. */
const minProbesPerRound = 3;
const evidenceRounds = 4;

/** A connection that did not open. */
type Failure = {failureDomain: string; atMs: number};

/** What is known of the way to the backend servers of one service. */
type ServiceState = {
	/** Failures since a connection was last opened, by id of the backend server. */
	failures: Map<string, Failure>;
	/** Requests without an answer yet, and when they were sent. */
	waiting: Map<Record<string, unknown>, {backend: Backend; sentAtMs: number}>;
	heardAtMs: number;
	probedAtMs: number;
	isCutOff: boolean;
};

/** The way from this daemon to the backend servers. */
export class Reachability {
	private readonly states = new Map<string, ServiceState>();

	/** @param random Returns a uniform random number from 0 to 1. */
	constructor(private readonly random: () => number) {}

	/** Whether this daemon is cut off from all backend servers of a service. */
	isCutOff(service: string): boolean {
		return this.states.get(service)?.isCutOff ?? false;
	}

	/** The services from whose backend servers this daemon is cut off. */
	get cutOffServices(): string[] {
		return [...this.states].filter(([, {isCutOff}]) => isCutOff).map(([service]) => service);
	}

	/** Records a request that is sent to a backend server; the returned function must be called once its answer begins or it has failed. */
	noteSent(backend: Backend, nowMs: number): (hasAnswered: boolean, endedAtMs: number) => void {
		const state = this.state(backend.service);
		const key = {};
		state.waiting.set(key, {backend, sentAtMs: nowMs});
		return (hasAnswered, endedAtMs) => {
			state.waiting.delete(key);
			state.heardAtMs = hasAnswered ? endedAtMs : state.heardAtMs;
		};
	}

	/** Records a new connection that a backend server accepted. */
	noteConnected({service, id}: Backend, nowMs: number): void {
		const state = this.state(service);
		state.failures.clear();
		state.heardAtMs = nowMs;
		if (state.isCutOff) {
			state.isCutOff = false;
			log.info('backend servers of a service accept connections again.', {service, backend: id});
		}
	}

	/**
	 * Records a connection that a backend server did not accept.
	 *
	 * @param candidates The backend servers of its service that should accept one.
	 */
	noteUnreached({service, id, failureDomain}: Backend, candidates: Backend[], nowMs: number): void {
		const state = this.state(service);
		state.failures.set(id, {failureDomain, atMs: nowMs});
		dropOldFailures(state, nowMs);
		const domains = failedDomains(state, candidates);
		if (!state.isCutOff && domains.length >= neededEvidence(candidates.length) && isSpread(domains, candidates)) {
			state.isCutOff = true;
			log.warn('no backend server of a service accepts connections.', {
				service, unreached: [...state.failures.keys()].join(','), known: candidates.length, silentMs: Math.round(nowMs - state.heardAtMs), waiting: state.waiting.size,
			});
		}
	}

	/**
	 * Returns the backend servers to which a connection should be opened now as a probe.
	 *
	 * @param candidatesOf Returns the backend servers of a service.
	 */
	takeDueProbes(candidatesOf: (service: string) => Backend[], nowMs: number): Backend[] {
		const due: Backend[] = [];
		for (const [service, state] of this.states) {
			if (nowMs - state.probedAtMs < probeIntervalMs) {
				continue;
			}

			const candidates = candidatesOf(service);
			dropOldFailures(state, nowMs);
			if (state.isCutOff || isSilent(state, nowMs) || isSpread(failedDomains(state, candidates), candidates)) {
				state.probedAtMs = nowMs;
				due.push(...this.selectProbes(candidates, state));
			}
		}

		return due;
	}

	/** Returns the services in the state dump. */
	toJson(nowMs: number): unknown {
		return [...this.states].map(([service, {failures, waiting, heardAtMs, isCutOff}]) => ({
			service, isCutOff, unreached: [...failures.keys()], waiting: waiting.size, silentMs: Math.round(nowMs - heardAtMs),
		}));
	}

	/** Selects backend servers at random, in different failure domains if there are several, and first those of which there is no evidence yet. */
	private selectProbes(candidates: Backend[], {failures}: ServiceState): Backend[] {
		const count = Math.max(minProbesPerRound, Math.ceil(neededEvidence(candidates.length) / evidenceRounds));
		const selected: Backend[] = [];
		const unknown = candidates.filter(({id}) => !failures.has(id));
		let remaining = unknown.length > 0 ? unknown : [...candidates];
		while (selected.length < count && remaining.length > 0) {
			const backend = remaining[Math.floor(this.random() * remaining.length)];
			selected.push(backend);
			const others = remaining.filter(other => other !== backend);
			const elsewhere = others.filter(({failureDomain}) => failureDomain !== backend.failureDomain);
			remaining = elsewhere.length > 0 ? elsewhere : others;
		}

		return selected;
	}

	private state(service: string): ServiceState {
		let state = this.states.get(service);
		if (!state) {
			state = {
				failures: new Map(), waiting: new Map(), heardAtMs: Number.NEGATIVE_INFINITY, probedAtMs: Number.NEGATIVE_INFINITY, isCutOff: false,
			};
			this.states.set(service, state);
		}

		return state;
	}
}

/** Whether backend servers in these failure domains are enough evidence about all of a service's. */
export function isSpread(failureDomains: string[], candidates: Backend[]): boolean {
	const knownDomains = new Set(candidates.map(({failureDomain}) => failureDomain)).size;
	return failureDomains.length >= minUnreached && new Set(failureDomains).size >= Math.min(minDomains, knownDomains);
}

/** Returns how many backend servers of a service must accept no connection for the daemon to be cut off. */
function neededEvidence(candidates: number): number {
	return Math.min(Math.ceil(candidates * cutOffShare), Math.max(minCutOffEvidence, Math.ceil(Math.sqrt(candidates))));
}

/** Returns the failure domains of those candidates that accepted no connection, one for each. */
function failedDomains({failures}: ServiceState, candidates: Backend[]): string[] {
	return candidates.filter(({id}) => failures.has(id)).map(({failureDomain}) => failureDomain);
}

function dropOldFailures({failures}: ServiceState, nowMs: number): void {
	for (const [id, {atMs}] of failures) {
		if (nowMs - atMs > failureMaxAgeMs) {
			failures.delete(id);
		}
	}
}

/** Whether requests have been waiting for too long at several backend servers, while none has answered. */
function isSilent({waiting, heardAtMs}: ServiceState, nowMs: number): boolean {
	if (nowMs - heardAtMs < suspiciousSilenceMs) {
		return false;
	}

	const overdue = [...waiting.values()].filter(({sentAtMs}) => nowMs - sentAtMs >= suspiciousSilenceMs);
	return new Set(overdue.map(({backend}) => backend.id)).size >= minUnreached;
}
