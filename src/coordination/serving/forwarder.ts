/**
 * Handles each client request: checks that the daemon's view of the configuration is recent
 * enough, finds the route and the client account, enforces the account's limit, forwards the
 * request, and writes the final answer. One log line per request states the outcome and what
 * it was based on.
 */
import {type Dialect} from '../../protocol/platform.js';
import {declinedHeader, type ProxiedRequest} from '../../protocol/proxied-requests.js';
import {
	type Account, type CallerRequest, RequestKind, type Route,
} from '../../protocol/serving.js';
import {type SteadyClock} from '../../clock.js';
import {type Latch} from '../../latch.js';
import {type ViewAge} from '../../state/view-age.js';
import {type RouteTable} from '../../state/route-table.js';
import {
	ConnectionCutError, type FrontRequest, RequestEndedError, writeErrorResponse,
} from '../../transport/front-server.js';
import {createLogger} from '../../log.js';
import {type Quarantine, type QuarantineRefusal} from '../quarantine/quarantine.js';
import {computeFingerprints, formatFingerprint, type RequestFingerprints} from '../quarantine/request-fingerprint.js';
import {type QuotaLedger, type QuotaPeers, requestCost} from '../quota-ledger.js';
import {type RetryBudget} from '../retry-budget.js';
import {OriginSource, type StreamOriginLookup} from '../stream-origins/stream-origin-lookup.js';
import {type UsageLedger} from '../usage-ledger.js';
import {type UnaryResult, forwardUnary} from './unary-forwarding.js';
import {type Dispatcher} from './dispatcher.js';
import {type PeerProxy} from './peer-proxy.js';
import {
	writeBackendAnswer, writeRefusal, chooseRetryAfterMs, addRetryJitter, promisesNotRun,
} from './final-answers.js';
import {describeAttempt, ServedRequest} from './served-request.js';
import {forwardStream, type StreamResult} from './stream-forwarding.js';
import {type StreamOriginSharing} from './stream-origin-sharing.js';
import {type StopAdmission} from './stop-admission.js';
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
	/** The daemon closed the client's connection at the end of its stop. */
	CutOff = 'cut-off',
	/** An error in the daemon ended the answer. */
	Failed = 'failed',
	/** Another daemon answered in place of this one. */
	Proxied = 'proxied',
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
	peerProxy: PeerProxy;
	registry: StreamRegistry;
	stopAdmission: StopAdmission;
	quota: QuotaLedger;
	usage: UsageLedger;
	retryBudget: RetryBudget;
	quarantine: Quarantine;
	originLookup: StreamOriginLookup;
	originSharing: StreamOriginSharing;
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
/** Most requests of other daemons that are served at once; further ones would take what this daemon's own clients need. */
const maxProxiedRequests = 400;
/** Retry-After of a request that a stopping daemon does not take, in milliseconds; short, since the client's next connection reaches another daemon. */
const stoppingRetryAfterMs = 50;
/** Timers may fire up to this many milliseconds early. */
const timerToleranceMs = 5;

type Destination = {route: Route; account: Account | undefined; service: string};
type Admission = Destination & {cost: number; fingerprints: RequestFingerprints | undefined};
type Rejection = {
	status: number;
	reason: string;
	retryAfterMs?: number;
	/** What the log states in addition. */
	context?: Record<string, unknown>;
};

function isRejection(value: Destination | Rejection): value is Rejection {
	return 'status' in value;
}

/** Serves client requests. */
export class Forwarder {
	/** Requests of other daemons that are being served. */
	private proxiedRequests = 0;

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
		const destination = this.findDestination(request, arrivedAtMs);
		if (!isRejection(destination) && !this.dependencies.stopAdmission.accepts(destination.route.name, clock.now())) {
			this.reject(front, request.id, {status: 503, reason: 'stopping', retryAfterMs: stoppingRetryAfterMs}, arrivedAtMs);
			return;
		}

		if (!isRejection(destination) && this.dependencies.peerProxy.isNeeded(destination.service)) {
			const unsent = new ServedRequest({
				...destination, request, body: front.body, response: front.response, signal: front.signal, arrivedAtMs, configVersion: routes.version!,
			});
			await this.serveByPeer(unsent, front);
			return;
		}

		const admission = isRejection(destination) ? destination : this.admit(destination, request, front.body, arrivedAtMs);
		if (isRejection(admission)) {
			this.reject(front, request.id, admission, arrivedAtMs);
			return;
		}

		await this.serve(admission, request, front, {arrivedAtMs, isProxied: false});
	}

	/** Serves a request for another daemon that reaches no backend server of its service; declines it if this one can't either, or can't tell whether it is allowed. */
	async handleProxied(front: FrontRequest, {request, body, account: accountName, configVersion, elapsedMs, isCounted}: ProxiedRequest): Promise<void> {
		const {
			routes, peerProxy, dispatcher, stopAdmission, clock,
		} = this.dependencies;
		const nowMs = clock.now();
		const account = accountName === undefined ? undefined : routes.accountNamed(accountName);
		const isKnown = routes.version !== undefined && routes.version >= configVersion && (accountName === undefined || account !== undefined);
		const destination = isKnown ? this.findRoute(request, account, nowMs) : undefined;
		if (!destination || isRejection(destination) || !stopAdmission.accepts(destination.route.name, nowMs) || peerProxy.isNeeded(destination.service) || !dispatcher.selector.hasCandidates(destination.service) || this.proxiedRequests >= maxProxiedRequests) {
			writeErrorResponse(front.response, 503, 'declined', {[declinedHeader]: request.id});
			return;
		}

		const admission = this.admit(destination, request, body, nowMs, isCounted);
		if (isRejection(admission)) {
			this.reject(front, request.id, admission, nowMs);
			return;
		}

		this.proxiedRequests++;
		try {
			await this.serve(admission, request, {...front, body}, {arrivedAtMs: nowMs - elapsedMs, isProxied: true});
		} finally {
			this.proxiedRequests--;
		}
	}

	/** Serves an admitted request. */
	private async serve({route, account, service, cost, fingerprints}: Admission, request: CallerRequest, front: FrontRequest, {arrivedAtMs, isProxied}: {arrivedAtMs: number; isProxied: boolean}): Promise<void> {
		const {routes, quota, clock} = this.dependencies;
		const isResumption = route.kind === RequestKind.Streaming && request.lastEventId !== undefined;
		const found = isResumption ? await this.dependencies.originLookup.find({account: account?.name, service, requestId: request.resumedRequestId}) : undefined;
		// The route may have several services; one that the route has left since cannot continue the stream.
		const origin = route.targets.some(target => target.service === found?.origin?.service) ? found?.origin : undefined;
		const served = new ServedRequest({
			request, route, service: origin?.service ?? service, account, body: front.body, response: front.response, signal: front.signal, arrivedAtMs, configVersion: routes.version!, isProxied, fingerprints,
		});
		served.version = origin?.version;
		served.originSource = found?.source;
		try {
			if (found?.source === OriginSource.Unknown) {
				this.refuseServed(served, front, 'version of the stream unknown');
			} else {
				await (route.kind === RequestKind.Streaming ? this.serveStream(served, front) : this.serveUnary(served, front));
			}
		} catch (error) {
			this.recordOutcome(served, Outcome.Failed, {reason: String(error)});
			throw error;
		} finally {
			if (!served.mayHaveRun && account) {
				quota.refund(account, cost, clock.now());
			}
		}
	}

	/** Lets another daemon serve a request that no backend server has received, and refuses it if none does. */
	private async serveByPeer(served: ServedRequest, front: FrontRequest): Promise<void> {
		const {peerProxy, clock} = this.dependencies;
		const {request, account, service, configVersion, arrivedAtMs} = served.inputs;
		const result = await peerProxy.serve(front, {
			request: {...request, apiKey: undefined}, body: front.body, account: account?.name, configVersion, elapsedMs: clock.now() - arrivedAtMs, isCounted: served.isUnreachable,
		}, service, served.deadlineAtMs);
		if (isClientGone(front.signal)) {
			this.recordOutcome(served, describeDisconnect(front.signal), {});
		} else if (result.kind === 'answered') {
			this.recordOutcome(served, Outcome.Proxied, {status: result.status, reason: result.isComplete ? result.peer : `${result.peer} broke off`});
		} else if (result.kind === 'not-run') {
			this.refuseServed(served, front, result.reason);
		} else {
			this.writeUnknownOutcome(served, front, result.reason);
		}
	}

	/** Finds the route and the account of a client's request. */
	private findDestination(request: CallerRequest, nowMs: number): Destination | Rejection {
		const {routes} = this.dependencies;
		return this.findRoute(request, request.apiKey === undefined ? undefined : routes.accountOf(request.apiKey), nowMs);
	}

	/** Finds the route of a request of an account, and checks that the account may use it. */
	private findRoute(request: CallerRequest, sender: Account | undefined, nowMs: number): Destination | Rejection {
		const {routes, configView, maxViewAgeMs, maxDenialViewAgeMs} = this.dependencies;
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
			account = sender;
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

		return {route, account, service};
	}

	/** Checks that a request is not quarantined and charges its cost to the account's limit. */
	private admit(destination: Destination, request: CallerRequest, body: Uint8Array, nowMs: number, isCounted = false): Admission | Rejection { // eslint-disable-line max-params
		const {
			quota, quotaPeers, retryBudget, quarantine, metrics,
		} = this.dependencies;
		const {account, service, route} = destination;
		const fingerprints = quarantine.isEmpty ? undefined : computeFingerprints({...request, account: account?.name, body});
		const quarantined = fingerprints && this.findQuarantine(fingerprints, nowMs);
		if (quarantined) {
			const {crashes, fingerprint, retryAfterMs} = quarantined;
			return {status: 503, reason: `${crashes} backend servers crashed under ${fingerprint === fingerprints.request ? 'request' : 'part'} ${formatFingerprint(fingerprint)}`, retryAfterMs};
		}

		const cost = account ? requestCost(account, request.promptTokens, request.maxOutputTokens) : 0;
		const peers = quotaPeers(nowMs);
		const refusal = account && quota.admit(account, {cost, service}, peers, Math.random(), nowMs);
		if (account?.ratePerSecond !== undefined) {
			metrics.recordLimit(account.name, route.name, !refusal, cost);
		}

		if (refusal) {
			const {waitMs, admittedShare, admittedInWindow} = refusal;
			const {silentDaemons, daemons, unreportedDaemons, isIsolated} = peers;
			return {
				status: 429,
				reason: `over the limit of ${account.name}: cost ${cost}, ${waitMs} ms short, ${silentDaemons} of ${daemons} daemons silent`,
				retryAfterMs: waitMs,
				context: {
					route: route.name, priority: route.priority, admittedShare, admittedInWindow: Math.round(admittedInWindow), unreportedDaemons, isIsolated,
				},
			};
		}

		if (!isCounted) {
			retryBudget.countRequest(service, nowMs);
		}

		return {...destination, cost, fingerprints};
	}

	/** Returns why a request must not run now; answers that are going on may clear it first. */
	private findQuarantine(fingerprints: RequestFingerprints, nowMs: number): QuarantineRefusal | undefined {
		const {quarantine, registry} = this.dependencies;
		if (!quarantine.admit(fingerprints, nowMs)) {
			return undefined;
		}

		registry.recordProgress(nowMs);
		return quarantine.admit(fingerprints, nowMs);
	}

	private reject(front: FrontRequest, id: string, rejection: Rejection, nowMs: number): void {
		const {
			status, reason, retryAfterMs, context,
		} = rejection;
		const {routes, configView, metrics} = this.dependencies;
		if (status === 429 || status === 503) {
			writeRefusal(front.response, status, reason, addRetryJitter(retryAfterMs ?? outageRetryAfterMs));
		} else {
			writeErrorResponse(front.response, status, reason);
		}

		metrics.recordRequest('none', Outcome.Rejected, 0);
		log.info('rejected.', {
			request: id, status, reason, ...context, configVersion: routes.version, viewAgeMs: Math.round(configView.ageMs(nowMs)),
		});
	}

	private async serveUnary(served: ServedRequest, front: FrontRequest): Promise<void> {
		const {dispatcher, clock} = this.dependencies;
		const result = await forwardUnary(dispatcher, served, () => {
			this.countUsage(served);
		}, () => clock.now());
		await this.finish(served, front, result);
	}

	/** Writes the final answer, or lets another daemon serve a request for which no backend server accepted a connection. */
	private async finish(served: ServedRequest, front: FrontRequest, result: UnaryResult | Exclude<StreamResult, {kind: 'complete' | 'broken'}>): Promise<void> {
		if (served.isUnreachable && result.kind === 'not-run' && !front.signal.aborted) {
			await this.serveByPeer(served, front);
		} else {
			this.writeFinalAnswer(served, front, result);
		}
	}

	private async serveStream(served: ServedRequest, front: FrontRequest): Promise<void> {
		const {dispatcher, registry, clock} = this.dependencies;
		const nowMs = clock.now();
		const choice = dispatcher.isAssigned(served) ? undefined : dispatcher.selector.select(served);
		if (choice && choice.waitMs > served.remainingMs(nowMs) * maxWaitShare) {
			this.refuseServed(served, front, `would wait ${Math.round(choice.waitMs)} ms`);
			return;
		}

		const result = await forwardStream({dispatcher, registry, now: () => clock.now()}, served, front.response, () => {
			this.countUsage(served);
			this.dependencies.originSharing.share(served, clock.now());
		});
		if (result.kind === 'complete') {
			front.response.end();
			this.recordOutcome(served, Outcome.Served, {events: result.events});
		} else if (result.kind === 'broken') {
			front.response.destroy();
			this.recordOutcome(served, isClientGone(front.signal) ? describeDisconnect(front.signal) : Outcome.Broken, {events: result.events, reason: result.reason});
		} else {
			await this.finish(served, front, result);
		}
	}

	/** Writes the final answer of a request of which nothing has been sent to the client yet. */
	private writeFinalAnswer(served: ServedRequest, front: FrontRequest, result: UnaryResult | Exclude<StreamResult, {kind: 'complete' | 'broken'}>): void {
		if (isClientGone(front.signal)) {
			this.recordOutcome(served, describeDisconnect(front.signal), {});
			return;
		}

		if (result.kind === 'answer') {
			const {answer} = result;
			if (promisesNotRun(answer.status)) {
				// The backend server may have run the request, so its status must not tell the client that it has not.
				this.writeUnknownOutcome(served, front, `answered ${answer.status} without stating that it did not run the request`);
				return;
			}

			writeBackendAnswer(front.response, answer.status, answer.rawHeaders, answer.body);
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
		const retryAfterMs = served.refusalRetryAfterMs ?? chooseRetryAfterMs(served.remainingMs(nowMs), dispatcher.selector.waitMs(served, nowMs) ?? outageRetryAfterMs);
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
		const {
			clock, configView, metrics, stopAdmission,
		} = this.dependencies;
		const {request, route, account, service, configVersion, arrivedAtMs} = served.inputs;
		const nowMs = clock.now();
		metrics.recordRequest(route.name, outcome, (nowMs - arrivedAtMs) / 1000);
		if (outcome === Outcome.Served) {
			stopAdmission.noteServed(route.name, nowMs - arrivedAtMs, nowMs);
		}

		if (route.kind === RequestKind.Streaming) {
			metrics.recordStream(served.isResumption ? (served.originSource ?? OriginSource.Unknown) : 'new', served.version !== undefined && (details.events ?? 0) > 0);
		}

		log.info(`${outcome}.`, {
			request: request.id, route: route.name, account: account?.name, service, ...details, ms: Math.round(nowMs - arrivedAtMs), configVersion, viewAgeMs: Math.round(configView.ageMs(nowMs)),
			assignment: served.assignment,
			attempts: served.attempts.map(attempt => describeAttempt(attempt)),
			resumes: request.lastEventId === undefined ? undefined : `${request.resumedRequestId ?? 'an unnamed attempt'} after event ${request.lastEventId}`,
			originSource: served.originSource,
			budget: served.budgetStates.length > 0 ? served.budgetStates : undefined,
			fingerprint: served.excluded.size > 0 ? formatFingerprint(served.fingerprints.request) : undefined,
		});
	}
}

/** Whether the connection of a request has closed, rather than that the daemon ends the request. */
function isClientGone({aborted, reason}: AbortSignal): boolean {
	return aborted && !(reason instanceof RequestEndedError);
}

/** Returns the outcome of a request whose connection closed before its answer was written. */
function describeDisconnect({reason}: AbortSignal): Outcome.ClientGone | Outcome.CutOff {
	return reason instanceof ConnectionCutError ? Outcome.CutOff : Outcome.ClientGone;
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
