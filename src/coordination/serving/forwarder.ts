/**
 * Decides on each caller's request: whether the daemon's view is young enough to serve it,
 * which route and client account it belongs to, whether it is within its limits, and how
 * its end is told to the client. One log line says what was decided, from what.
 */
import {type Dialect} from '../../protocol/platform.js';
import {
	type Account, type CallerRequest, RequestKind, type Route,
} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {type Gate} from '../../gate.js';
import {type Belief} from '../../state/belief.js';
import {type RouteTable} from '../../state/route-table.js';
import {type FrontRequest, writeOwnAnswer} from '../../transport/front-server.js';
import {createLogger} from '../../log.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {describeFingerprint, fingerprintOf} from '../quarantine/request-fingerprint.js';
import {type QuotaLedger, type QuotaPeers, requestCost} from '../quota-ledger.js';
import {type RetryAllowance} from '../retry-allowance.js';
import {type UsageLedger} from '../usage-ledger.js';
import {type CallResult, forwardCall} from './call-forwarding.js';
import {type Dispatcher} from './dispatcher.js';
import {
	passWhole, refuse, returnAfterMs, spreadReturn,
} from './final-answers.js';
import {ServedRequest} from './served-request.js';
import {forwardStream, type StreamResult} from './stream-forwarding.js';
import {type StreamRegistry} from './stream-registry.js';
import {type RequestMetrics} from './request-metrics.js';

const log = createLogger('request');

/** How a request ended, as the logs and counters name it. */
export enum Outcome {
	Served = 'served',
	/** A failure of the backend server was passed on. */
	BackendFailure = 'backend-failure',
	Refused = 'refused',
	Unknown = 'unknown',
	Broken = 'broken',
	ClientGone = 'client-gone',
	Rejected = 'rejected',
}

/** The parts a forwarder works with. */
export type ForwarderParts = {
	dialect: Dialect;
	routes: RouteTable;
	belief: Belief;
	/** Age beyond which the view may miss a revoked key, in milliseconds. */
	mostBeliefMs: number;
	/** Age beyond which the view may miss an added route or key, in milliseconds: what it does not know is then refused for now only. */
	mostDenialMs: number;
	dispatcher: Dispatcher;
	registry: StreamRegistry;
	quota: QuotaLedger;
	usage: UsageLedger;
	allowance: RetryAllowance;
	quarantine: Quarantine;
	clock: SteadyClock;
	/** What is known of the other daemons now. */
	quotaPeers: (nowMs: number) => QuotaPeers;
	/** Open once the configuration and the backend servers are known. */
	firstView: Gate;
	metrics: RequestMetrics;
};

/** Delay estimate beyond which a stream is refused, as a share of the time it has left: it would not begin in time. */
const hopelessShare = 0.8;
/** A wait proposed to clients while the view is too old or no backend server is there, in milliseconds. */
const outageReturnMs = 800;

/** How long a request waits for a daemon that has just started to read its configuration, in milliseconds: a read takes 70 after a start; a refusal would cost the client its one return. */
const firstViewMs = 400;
/** Timers fire up to this much early, in milliseconds. */
const lateMarginMs = 5;

type Admission = {route: Route; account: Account | undefined; service: string; cost: number; fingerprint: number | undefined};
type Rejection = {status: number; reason: string; retryAfterMs?: number};

function isRejection(value: Admission | Rejection): value is Rejection {
	return 'status' in value;
}

/** Serves callers' requests. */
export class Forwarder {
	constructor(private readonly parts: ForwarderParts) {}

	async handle(front: FrontRequest): Promise<void> {
		const {dialect, clock, routes, firstView} = this.parts;
		const arrivedAtMs = clock.now();
		const request = dialect.readRequest(front.method, front.path, front.rawHeaders);
		if (!request || request.id === '') {
			writeOwnAnswer(front.response, 400, 'contradicting or missing headers');
			return;
		}

		await firstView.wait(firstViewMs);
		const admission = this.admit(request, front.body, arrivedAtMs);
		if (isRejection(admission)) {
			this.reject(front, request.id, admission, arrivedAtMs);
			return;
		}

		const {
			route, account, service, cost, fingerprint,
		} = admission;
		const served = new ServedRequest({
			request, route, service, account, body: front.body, response: front.response, signal: front.signal, arrivedAtMs, configVersion: routes.version!, fingerprint,
		});
		try {
			await (route.kind === RequestKind.Streaming ? this.serveStream(served, front) : this.serveCall(served, front));
		} finally {
			if (!served.mayHaveRun && account) {
				this.parts.quota.refund(account, cost, clock.now());
			}
		}
	}

	/** Finds the route and account of a request and takes its cost from the limit. */
	private admit(request: CallerRequest, body: Uint8Array, nowMs: number): Admission | Rejection {
		const {
			routes, belief, mostBeliefMs, mostDenialMs, quota, quotaPeers, allowance, quarantine,
		} = this.parts;
		if (!routes.current) {
			return {status: 503, reason: 'configuration not known yet', retryAfterMs: outageReturnMs};
		}

		const viewAgeMs = belief.ageMs(nowMs);
		const outdated: Rejection = {status: 503, reason: 'configuration too old', retryAfterMs: outageReturnMs};
		const route = routes.match(request.host, request.path);
		if (!route) {
			return viewAgeMs > mostDenialMs ? outdated : {status: 404, reason: 'no such route'};
		}

		let account: Account | undefined;
		if (!route.isPublic && routes.needsKeys) {
			account = request.apiKey === undefined ? undefined : routes.accountOf(request.apiKey);
			if (viewAgeMs > (account ? mostBeliefMs : mostDenialMs)) {
				return outdated;
			}

			if (!account) {
				return {status: 401, reason: 'unknown API key'};
			}
		}

		const service = pickTarget(route);
		if (service === undefined) {
			return {status: 503, reason: 'route without a service', retryAfterMs: outageReturnMs};
		}

		const fingerprint = this.suspectFingerprint(request, body, account);
		const quarantined = fingerprint === undefined ? undefined : quarantine.admit(fingerprint, nowMs);
		if (quarantined) {
			return {status: 503, reason: `${quarantined.crashes} backend servers crashed under request ${describeFingerprint(fingerprint!)}`, retryAfterMs: quarantined.returnAfterMs};
		}

		const cost = account ? requestCost(account, request.promptTokens, request.maxOutputTokens) : 0;
		const peers = quotaPeers(nowMs);
		const refusal = account && quota.admit(account, cost, peers, Math.random(), nowMs);
		if (refusal) {
			return {status: 429, reason: `over the limit of ${account!.name}: cost ${cost}, ${refusal.waitMs} ms short, ${peers.silent} of ${peers.daemons} daemons silent`, retryAfterMs: refusal.waitMs};
		}

		allowance.countRequest(service, nowMs);
		return {
			route, account, service, cost, fingerprint,
		};
	}

	/** A request's identity while any request is suspected of crashing backend servers; otherwise none is hashed. */
	private suspectFingerprint({host, method, path}: CallerRequest, body: Uint8Array, account: Account | undefined): number | undefined {
		if (this.parts.quarantine.isEmpty) {
			return undefined;
		}

		return fingerprintOf({
			account: account?.name, host, method, path, body,
		});
	}

	private reject(front: FrontRequest, id: string, rejection: Rejection, nowMs: number): void {
		const {status, reason, retryAfterMs} = rejection;
		const {routes, belief, metrics} = this.parts;
		if (status === 429 || status === 503) {
			refuse(front.response, status, reason, spreadReturn(retryAfterMs ?? outageReturnMs));
		} else {
			writeOwnAnswer(front.response, status, reason);
		}

		metrics.finish('none', Outcome.Rejected, 0);
		log.info('rejected.', {
			request: id, status, reason, configVersion: routes.version, viewAgeMs: Math.round(belief.ageMs(nowMs)),
		});
	}

	private async serveCall(served: ServedRequest, front: FrontRequest): Promise<void> {
		const {dispatcher, clock} = this.parts;
		const result = await forwardCall(dispatcher, served, () => {
			this.countBegun(served);
		}, () => clock.now());
		this.answerCall(served, front, result);
	}

	private async serveStream(served: ServedRequest, front: FrontRequest): Promise<void> {
		const {dispatcher, registry, clock} = this.parts;
		const nowMs = clock.now();
		const choice = dispatcher.choice.choose(served);
		if (choice && choice.waitMs > served.remainingMs(nowMs) * hopelessShare) {
			this.finishRefused(served, front, `would wait ${Math.round(choice.waitMs)} ms`);
			return;
		}

		const result = await forwardStream({dispatcher, registry, now: () => clock.now()}, served, front.response, () => {
			this.countBegun(served);
		});
		if (result.kind === 'complete') {
			front.response.end();
			this.conclude(served, Outcome.Served, {events: result.events});
		} else if (result.kind === 'broken') {
			front.response.destroy();
			this.conclude(served, front.signal.aborted ? Outcome.ClientGone : Outcome.Broken, {events: result.events, reason: result.reason});
		} else {
			this.answerCall(served, front, result);
		}
	}

	/** Writes the final answer of a request that delivered nothing yet. */
	private answerCall(served: ServedRequest, front: FrontRequest, result: CallResult | Exclude<StreamResult, {kind: 'complete' | 'broken'}>): void {
		if (front.signal.aborted) {
			this.conclude(served, Outcome.ClientGone, {});
			return;
		}

		if (result.kind === 'answer') {
			const {answer} = result;
			passWhole(front.response, answer.status, answer.statusText, answer.rawHeaders, answer.body);
			this.conclude(served, answer.status < 400 ? Outcome.Served : Outcome.BackendFailure, {status: answer.status});
		} else if (result.kind === 'not-run') {
			this.finishRefused(served, front, result.reason);
		} else {
			const isLate = served.remainingMs(this.parts.clock.now()) <= lateMarginMs;
			writeOwnAnswer(front.response, isLate ? 504 : 502, result.reason);
			this.conclude(served, Outcome.Unknown, {status: isLate ? 504 : 502, reason: result.reason});
		}
	}

	private finishRefused(served: ServedRequest, front: FrontRequest, reason: string): void {
		const {dispatcher, clock} = this.parts;
		const nowMs = clock.now();
		const retryAfterMs = returnAfterMs(served.remainingMs(nowMs), dispatcher.choice.limitReturnMs(served, nowMs) ?? outageReturnMs);
		refuse(front.response, 503, reason, retryAfterMs);
		this.conclude(served, Outcome.Refused, {status: 503, reason});
	}

	private countBegun(served: ServedRequest): void {
		const {account} = served.inputs;
		if (!served.isCounted && account) {
			served.isCounted = true;
			this.parts.usage.count(account.name, this.parts.clock.wallNow());
		}
	}

	/** Counts a request that is over and writes its log line. */
	private conclude(served: ServedRequest, outcome: Outcome, details: {status?: number; events?: number; reason?: string}): void {
		const {clock, belief, metrics} = this.parts;
		const {request, route, account, service, configVersion, arrivedAtMs} = served.inputs;
		const nowMs = clock.now();
		metrics.finish(route.name, outcome, (nowMs - arrivedAtMs) / 1000);
		log.info(`${outcome}.`, {
			request: request.id, route: route.name, account: account?.name, service, ...details, ms: Math.round(nowMs - arrivedAtMs), configVersion, viewAgeMs: Math.round(belief.ageMs(nowMs)),
			attempts: served.attempts.map(attempt => `${attempt.backendId} +${attempt.atMs} cost ${attempt.costMs}: ${attempt.result}`),
			fingerprint: served.excluded.size > 0 ? describeFingerprint(served.fingerprint) : undefined,
		});
	}
}

/** Picks the service of a request by the weights of its route. */
function pickTarget(route: Route): string | undefined {
	let total = 0;
	for (const target of route.targets) {
		total += target.weight;
	}

	let draw = Math.random() * total;
	for (const target of route.targets) {
		draw -= target.weight;
		if (draw < 0) {
			return target.service;
		}
	}

	return route.targets.at(-1)?.service;
}
