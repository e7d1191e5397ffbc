/**
 * Serves requests by way of another daemon while this one reaches no backend server of their
 * service. The other daemon admits the request, sends it and answers for it; this one passes
 * its answer on. A request is sent to another daemon only while it is certain that none before
 * has read or will serve it, and a request that came from another daemon is never sent on.
 */
import {pipeline} from 'node:stream/promises';
import {pack} from 'msgpackr';
import {type PeerAddress} from '../../protocol/fleet-messages.js';
import {declinedHeader, type ProxiedRequest, proxyPath} from '../../protocol/proxied-requests.js';
import {type SteadyClock} from '../../clock.js';
import {createLogger} from '../../log.js';
import {type BackendConnectionPool, type BackendResponse, sendBackendRequest} from '../../transport/backend-connection-pool.js';
import {ConnectError, TransportError} from '../../transport/errors.js';
import {type FrontRequest} from '../../transport/front-server.js';
import {isEndedByClose} from '../../transport/response-integrity.js';
import {type FleetTable, type ProxyCandidate} from '../fleet/fleet-table.js';
import {type Reachability} from '../reachability.js';
import {filterForwardedHeaders} from './final-answers.js';

const log = createLogger('proxy');

/** Connection timeout in milliseconds: some round trips between failure domains. */
const connectTimeoutMs = 200;
/** Other daemons that are tried for one request. */
const maxPeers = 3;
/** Time beyond a request's deadline after which the other daemon's answer is given up, in milliseconds. */
const lateAnswerMs = 250;

/** How a request ended that was to be served by another daemon. */
export type ProxyResult
	/** The other daemon's answer was passed on, or broke off on the way. */
	= | {kind: 'answered'; peer: string; status: number; isComplete: boolean}
	/** No other daemon serves it, and none ever will. */
		| {kind: 'not-run'; reason: string}
	/** Another daemon may have served it. */
		| {kind: 'unknown'; reason: string};

/** What a {@link PeerProxy} depends on. */
export type PeerProxyDependencies = {
	fleet: FleetTable;
	reachability: Reachability;
	pool: BackendConnectionPool;
	clock: SteadyClock;
	/** Returns a uniform random number from 0 to 1. */
	random: () => number;
};

/** Sends requests to other daemons. */
export class PeerProxy {
	constructor(private readonly dependencies: PeerProxyDependencies) {}

	/** Whether this daemon reaches no backend server of a service. */
	isNeeded(service: string): boolean {
		return this.dependencies.reachability.isCutOff(service);
	}

	/** Whether another daemon may reach the backend servers of a service. */
	isAvailable(service: string, nowMs: number): boolean {
		return this.dependencies.fleet.proxyCandidates(service, nowMs).length > 0;
	}

	/** Lets another daemon serve a request, and passes its answer on to the client. */
	async serve(front: FrontRequest, proxied: ProxiedRequest, service: string, deadlineAtMs: number): Promise<ProxyResult> {
		const {fleet, clock, random} = this.dependencies;
		const startedAtMs = clock.now();
		const peers = selectPeers(fleet.proxyCandidates(service, startedAtMs), random);
		let reason = 'no other daemon reaches the service';
		for (const peer of peers) {
			const elapsedMs = proxied.elapsedMs + clock.now() - startedAtMs;
			// eslint-disable-next-line no-await-in-loop -- one after the other, since only one may serve it.
			const result = await this.send(front, {...proxied, elapsedMs}, peer, deadlineAtMs);
			if (result.kind !== 'not-run' || front.signal.aborted) {
				return result;
			}

			({reason} = result);
		}

		return {kind: 'not-run', reason};
	}

	private async send(front: FrontRequest, proxied: ProxiedRequest, {name, address}: ProxyCandidate, deadlineAtMs: number): Promise<ProxyResult> {
		const {pool, clock} = this.dependencies;
		const timeout = AbortSignal.timeout(Math.max(0, Math.ceil(deadlineAtMs - clock.now() + lateAnswerMs)));
		let answer: BackendResponse;
		try {
			answer = await sendBackendRequest(pool, {
				backend: {id: name, ...address},
				method: 'POST',
				path: proxyPath,
				headers: ['Host', hostHeader(address), 'Content-Type', 'application/vnd.msgpack'],
				body: pack(proxied),
				isRetryable: false,
				connectTimeoutMs,
				signal: AbortSignal.any([front.signal, timeout]),
			});
		} catch (error) {
			log.info('another daemon did not answer.', {request: proxied.request.id, peer: name, error: String(error)});
			return {kind: error instanceof ConnectError ? 'not-run' : 'unknown', reason: `${name} did not answer`};
		}

		const declinedId = answer.response.headers[declinedHeader];
		if (declinedId === proxied.request.id) {
			answer.discard();
			return {kind: 'not-run', reason: `${name} declined`};
		}

		if (declinedId !== undefined) {
			log.warn('another daemon declined another request in place of this one.', {request: proxied.request.id, peer: name, declined: declinedId});
			answer.destroy();
			return {kind: 'unknown', reason: `${name} declined another request`};
		}

		return this.passOn(front, answer, name);
	}

	/** Passes an answer on as it arrives; a client must not take one that breaks off for complete. */
	private async passOn({response}: FrontRequest, answer: BackendResponse, peer: string): Promise<ProxyResult> {
		const {status, response: source} = answer;
		const length = source.headers['content-length'];
		const headers = filterForwardedHeaders(source.rawHeaders);
		response.writeHead(status, length === undefined ? headers : [...headers, 'Content-Length', length]);
		try {
			await pipeline(source, readWhole(answer), response);
		} catch (error) {
			response.destroy();
			log.info('the answer of another daemon broke off.', {peer, error: String(error)});
			return {
				kind: 'answered', peer, status, isComplete: false,
			};
		}

		return {
			kind: 'answered', peer, status, isComplete: true,
		};
	}
}

/**
 * Creates a transform that yields the body of an answer.
 *
 * @throws {TransportError} When it may lack a part: daemons state where their answers end, so one that ends with its connection is not whole.
 */
function readWhole(answer: BackendResponse): (body: AsyncIterable<Uint8Array>) => AsyncGenerator<Uint8Array> {
	return async function * (body) {
		yield * body;
		if (!answer.isComplete || isEndedByClose(answer.response)) {
			throw new TransportError('the answer ended with its connection');
		}
	};
}

/** Selects the daemons to try at random, so that all take an equal part; the last one is one that was heard from of late, since others may be gone. */
function selectPeers(candidates: ProxyCandidate[], random: () => number): ProxyCandidate[] {
	const shuffled = candidates.map(candidate => ({candidate, rank: random()})).toSorted((a, b) => a.rank - b.rank).map(({candidate}) => candidate);
	const selected = shuffled.slice(0, maxPeers - 1);
	const last = shuffled.find(candidate => candidate.isResponsive && !selected.includes(candidate)) ?? shuffled.at(maxPeers - 1);
	return last ? [...selected, last] : selected;
}

function hostHeader({host, port}: PeerAddress): string {
	return `${host}:${port}`;
}
