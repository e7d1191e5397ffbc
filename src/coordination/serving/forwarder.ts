/**
 * Handles each client request: checks that the daemon's view of the configuration is recent
 * enough, finds the route and the client account, enforces the account's limit, forwards the
 * request, and writes the final answer. One log line per request states the outcome and what
 * it was based on.
 */
import {type Dialect} from '../../protocol/platform.js';
import {
	type Account, type CallerRequest, RequestKind, type Route,
} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {type Latch} from '../../latch.js';
import {type ViewAge} from '../../state/view-age.js';
import {type RouteTable} from '../../state/route-table.js';
import {type FrontRequest, writeErrorResponse} from '../../transport/front-server.js';
import {createLogger} from '../../log.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {formatFingerprint, computeFingerprint} from '../quarantine/request-fingerprint.js';
import {type QuotaLedger, type QuotaPeers, requestCost} from '../quota-ledger.js';
import {type RetryBudget} from '../retry-budget.js';
import {type UsageLedger} from '../usage-ledger.js';
import {type UnaryResult, forwardUnary} from './unary-forwarding.js';
import {type Dispatcher} from './dispatcher.js';
import {
	writeBackendAnswer, writeRefusal, chooseRetryAfterMs, addRetryJitter, promisesNotRun,
} from './final-answers.js';
import {describeAttempt, ServedRequest} from './served-request.js';
import {forwardStream, type StreamResult} from './stream-forwarding.js';
import {type StreamRegistry} from './stream-registry.js';
import {type RequestMetrics} from './request-metrics.js';

const log = createLogger('request');

/** The outcome of a request, as it appears in logs and metrics. */
export enum Outcome {
	Served = 'served',
	/** An error answer of a backend server was forwarded to the client. */
	BackendFailure = 'backend-failure',
	/** No backend server ran the request, and none will. */
	Refused = 'refused',
	/** The request may have run, but there is no answer. */
	Unknown = 'unknown',
	/** A stream broke off after events were delivered. */
	Broken = 'broken',
	ClientGone = 'client-gone',
	/** The request was not admitted, and no backend server was selected. */
	Rejected = 'rejected',
}

/** What a {@link Forwarder} depends on. */
export type ForwarderDependencies = {
	dialect: Dialect;
	routes: RouteTable;
	configView: ViewAge;
	/** Age of the view in milliseconds beyond which a key that it lists may have been revoked. */
	maxViewAgeMs: number;
	/** Age of the view in milliseconds beyond which it may lack an added route or key: an unknown one is then answered with 503 instead of 404 or 401. */
	maxDenialViewAgeMs: number;
	dispatcher: Dispatcher;
	registry: StreamRegistry;
	quota: QuotaLedger;
	usage: UsageLedger;
	retryBudget: RetryBudget;
	quarantine: Quarantine;
	clock: SteadyClock;
	/** Returns what is known of the other daemons that share the limits. */
	quotaPeers: (nowMs: number) => QuotaPeers;
	/** Opens once the configuration and the backend servers have been read. */
	initialView: Latch;
	metrics: RequestMetrics;
};

/** Share of a stream's remaining time: with a longer estimated wait, it is refused, since it would not begin in time. */
const maxWaitShare = 0.8;
/** Retry-After in milliseconds while the view is too old or no backend server is available. */
const outageRetryAfterMs = 800;

/** How long a request waits for a daemon that has just started to read its configuration, in milliseconds. The read takes 70 ms; a refusal would use up the client's only retry. */
const initialViewWaitMs = 400;
/** Timers may fire up to this many milliseconds early. */
const timerToleranceMs = 5;

type Admission = {route: Route; account: Account | undefined; service: string; cost: number; fingerprint: number | undefined};
type Rejection = {status: number; reason: string; retryAfterMs?: number};

function isRejection(value: Admission | Rejection): value is Rejection {
	return 'status' in value;
}

/** Serves client requests. */
export class Forwarder {
	constructor(private readonly dependencies: ForwarderDependencies) {}

	async handle(front: FrontRequest): Promise<void> {
		const {dialect, clock, routes, initialView} = this.dependencies;
		const arrivedAtMs = clock.now();
		const request = dialect.readRequest(front.method, front.path, front.rawHeaders);
		if (!request || request.id === '') {
			writeErrorResponse(front.response, 400, 'contradicting or missing headers');
			return;
		}

		await initialView.wait(initialViewWaitMs);
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
			await (route.kind === RequestKind.Streaming ? this.serveStream(served, front) : this.serveUnary(served, front));
		} finally {
			if (!served.mayHaveRun && account) {
				this.dependencies.quota.refund(account, cost, clock.now());
			}
		}
	}

	/** Finds the route and the account of a request and charges its cost to the account's limit. */
	private admit(request: CallerRequest, body: Uint8Array, nowMs: number): Admission | Rejection {
		const {
			routes, configView, maxViewAgeMs, maxDenialViewAgeMs, quota, quotaPeers, retryBudget, quarantine,
		} = this.dependencies;
		if (!routes.current) {
			return {status: 503, reason: 'configuration not known yet', retryAfterMs: outageRetryAfterMs};
		}

		const viewAgeMs = configView.ageMs(nowMs);
		const outdated: Rejection = {status: 503, reason: 'configuration too old', retryAfterMs: outageRetryAfterMs};
		const route = routes.match(request.host, request.path);
		if (!route) {
			return viewAgeMs > maxDenialViewAgeMs ? outdated : {status: 404, reason: 'no such route'};
		}

		let account: Account | undefined;
		if (!route.isPublic && routes.requiresApiKeys) {
			account = request.apiKey === undefined ? undefined : routes.accountOf(request.apiKey);
			if (viewAgeMs > (account ? maxViewAgeMs : maxDenialViewAgeMs)) {
				return outdated;
			}

			if (!account) {
				return {status: 401, reason: 'unknown API key'};
			}
		}

		const service = pickService(route);
		if (service === undefined) {
			return {status: 503, reason: 'route without a service', retryAfterMs: outageRetryAfterMs};
		}

		const fingerprint = this.fingerprintIfSuspected(request, body, account);
		const quarantined = fingerprint === undefined ? undefined : quarantine.admit(fingerprint, nowMs);
		if (quarantined) {
			return {status: 503, reason: `${quarantined.crashes} backend servers crashed under request ${formatFingerprint(fingerprint!)}`, retryAfterMs: quarantined.retryAfterMs};
		}

		const cost = account ? requestCost(account, request.promptTokens, request.maxOutputTokens) : 0;
		const peers = quotaPeers(nowMs);
		const refusal = account && quota.admit(account, cost, peers, Math.random(), nowMs);
		if (refusal) {
			return {status: 429, reason: `over the limit of ${account!.name}: cost ${cost}, ${refusal.waitMs} ms short, ${peers.silentDaemons} of ${peers.daemons} daemons silent`, retryAfterMs: refusal.waitMs};
		}

		retryBudget.countRequest(service, nowMs);
		return {
			route, account, service, cost, fingerprint,
		};
	}

	/** Returns the request's fingerprint while any request is suspected of crashing backend servers; otherwise undefined, which saves the hashing. */
	private fingerprintIfSuspected({host, method, path}: CallerRequest, body: Uint8Array, account: Account | undefined): number | undefined {
		if (this.dependencies.quarantine.isEmpty) {
			return undefined;
		}

		return computeFingerprint({
			account: account?.name, host, method, path, body,
		});
	}

	private reject(front: FrontRequest, id: string, rejection: Rejection, nowMs: number): void {
		const {status, reason, retryAfterMs} = rejection;
		const {routes, configView, metrics} = this.dependencies;
		if (status === 429 || status === 503) {
			writeRefusal(front.response, status, reason, addRetryJitter(retryAfterMs ?? outageRetryAfterMs));
		} else {
			writeErrorResponse(front.response, status, reason);
		}

		metrics.recordRequest('none', Outcome.Rejected, 0);
		log.info('rejected.', {
			request: id, status, reason, configVersion: routes.version, viewAgeMs: Math.round(configView.ageMs(nowMs)),
		});
	}

	private async serveUnary(served: ServedRequest, front: FrontRequest): Promise<void> {
		const {dispatcher, clock} = this.dependencies;
		const result = await forwardUnary(dispatcher, served, () => {
			this.countUsage(served);
		}, () => clock.now());
		this.writeFinalAnswer(served, front, result);
	}

	private async serveStream(served: ServedRequest, front: FrontRequest): Promise<void> {
		const {dispatcher, registry, clock} = this.dependencies;
		const nowMs = clock.now();
		const choice = dispatcher.selector.select(served);
		if (choice && choice.waitMs > served.remainingMs(nowMs) * maxWaitShare) {
			this.refuseServed(served, front, `would wait ${Math.round(choice.waitMs)} ms`);
			return;
		}

		const result = await forwardStream({dispatcher, registry, now: () => clock.now()}, served, front.response, () => {
			this.countUsage(served);
		});
		if (result.kind === 'complete') {
			front.response.end();
			this.recordOutcome(served, Outcome.Served, {events: result.events});
		} else if (result.kind === 'broken') {
			front.response.destroy();
			this.recordOutcome(served, front.signal.aborted ? Outcome.ClientGone : Outcome.Broken, {events: result.events, reason: result.reason});
		} else {
			this.writeFinalAnswer(served, front, result);
		}
	}

	/** Writes the final answer of a request of which nothing has been sent to the client yet. */
	private writeFinalAnswer(served: ServedRequest, front: FrontRequest, result: UnaryResult | Exclude<StreamResult, {kind: 'complete' | 'broken'}>): void {
		if (front.signal.aborted) {
			this.recordOutcome(served, Outcome.ClientGone, {});
			return;
		}

		if (result.kind === 'answer') {
			const {answer} = result;
			if (promisesNotRun(answer.status)) {
				// The backend server may have run the request, so its status must not tell the client that it has not.
				this.writeUnknownOutcome(served, front, `answered ${answer.status} without stating that it did not run the request`);
				return;
			}

			writeBackendAnswer(front.response, answer.status, answer.statusText, answer.rawHeaders, answer.body);
			this.recordOutcome(served, answer.status < 400 ? Outcome.Served : Outcome.BackendFailure, {status: answer.status});
		} else if (result.kind === 'not-run') {
			this.refuseServed(served, front, result.reason);
		} else {
			this.writeUnknownOutcome(served, front, result.reason);
		}
	}

	/** Answers a request that may have run. */
	private writeUnknownOutcome(served: ServedRequest, front: FrontRequest, reason: string): void {
		const isLate = served.remainingMs(this.dependencies.clock.now()) <= timerToleranceMs;
		const status = isLate ? 504 : 502;
		writeErrorResponse(front.response, status, reason);
		this.recordOutcome(served, Outcome.Unknown, {status, reason});
	}

	private refuseServed(served: ServedRequest, front: FrontRequest, reason: string): void {
		const {dispatcher, clock} = this.dependencies;
		const nowMs = clock.now();
		const retryAfterMs = chooseRetryAfterMs(served.remainingMs(nowMs), dispatcher.selector.waitMs(served, nowMs) ?? outageRetryAfterMs);
		writeRefusal(front.response, 503, reason, retryAfterMs);
		this.recordOutcome(served, Outcome.Refused, {status: 503, reason});
	}

	private countUsage(served: ServedRequest): void {
		const {account} = served.inputs;
		if (!served.isUsageCounted && account) {
			served.isUsageCounted = true;
			this.dependencies.usage.count(account.name, this.dependencies.clock.wallTimeMs());
		}
	}

	/** Counts a finished request in the metrics and writes its log line. */
	private recordOutcome(served: ServedRequest, outcome: Outcome, details: {status?: number; events?: number; reason?: string}): void {
		const {clock, configView, metrics} = this.dependencies;
		const {request, route, account, service, configVersion, arrivedAtMs} = served.inputs;
		const nowMs = clock.now();
		metrics.recordRequest(route.name, outcome, (nowMs - arrivedAtMs) / 1000);
		log.info(`${outcome}.`, {
			request: request.id, route: route.name, account: account?.name, service, ...details, ms: Math.round(nowMs - arrivedAtMs), configVersion, viewAgeMs: Math.round(configView.ageMs(nowMs)),
			attempts: served.attempts.map(attempt => describeAttempt(attempt)),
			budget: served.budgetStates.length > 0 ? served.budgetStates : undefined,
			fingerprint: served.excluded.size > 0 ? formatFingerprint(served.fingerprint) : undefined,
		});
	}
}

/** Picks the service of a request at random, by the weights of its route's targets. */
function pickService(route: Route): string | undefined {
	let totalWeight = 0;
	for (const target of route.targets) {
		totalWeight += target.weight;
	}

	let remainingWeight = Math.random() * totalWeight;
	for (const target of route.targets) {
		remainingWeight -= target.weight;
		if (remainingWeight < 0) {
			return target.service;
		}
	}

	return route.targets.at(-1)?.service;
}
