/**
 * Explains where a request would go now, and why, without sending it: it runs the deciding code
 * on the daemon's current state and changes nothing. If another daemon coordinates the backend
 * servers, the explanation names that daemon, which knows the figures.
 */
import {type AssignmentExplanation, AssignmentKind} from '../../protocol/assignment.js';
import {
	type Account, type CallerRequest, type PromptPart, type Route,
} from '../../protocol/serving.js';
import {type RouteTable} from '../../state/route-table.js';
import {type ViewAge} from '../../state/view-age.js';
import {type AssignmentExchange} from '../assignment/assignment-exchange.js';
import {type QuotaLedger, type QuotaPeers, requestCost} from '../quota-ledger.js';
import {createAssignmentQuery} from './request-assignment.js';
import {type BackendSelector, type ExplainedBackend} from './backend-selector.js';

/** The request to explain. */
export type ExplanationQuery = {
	host: string;
	path: string;
	/** The name of the client account; never an API key. */
	account: string | undefined;
	promptTokens: number | undefined;
	maxOutputTokens: number | undefined;
	promptParts: PromptPart[];
};

/** What would happen to the request. */
export enum ExplainedOutcome {
	Sent = 'sent',
	Queued = 'queued',
	Refused = 'refused',
	/** No route matches, or the account is unknown. */
	Rejected = 'rejected',
	/** The coordinator of the backend servers decides, which is another daemon. */
	DecidedElsewhere = 'decided-elsewhere',
}

/** A group of backend servers, as far as this daemon knows it. */
export type ExplainedGroup = {
	group: string;
	coordinator: {name: string; host: string} | undefined;
	statedWaitMs: number;
	/** The decision and its candidates; undefined if this daemon does not coordinate the group. */
	explanation: AssignmentExplanation | undefined;
};

/** Where a request would go. */
export type RequestExplanation = {
	outcome: ExplainedOutcome;
	reason: string;
	configVersion: number | undefined;
	viewAgeMs: number;
	route?: string;
	service?: string;
	/** The share of such requests of the account that is admitted now, and what one costs. */
	limit?: {account: string; cost: number; admittedShare: number};
	retryAfterMs?: number;
	/** The groups in the order in which they would be asked; undefined if the daemon places the request by itself. */
	groups?: ExplainedGroup[];
	/** The backend servers as this daemon would place the request by itself, the cheapest first. */
	backends?: ExplainedBackend[];
};

/** What a {@link RequestExplainer} depends on. */
export type RequestExplainerParts = {
	routes: Pick<RouteTable, 'current' | 'version' | 'match' | 'accountNamed' | 'requiresApiKeys'>;
	configView: Pick<ViewAge, 'ageMs'>;
	quota: Pick<QuotaLedger, 'admittedShare'>;
	quotaPeers: (nowMs: number) => QuotaPeers;
	exchange: Pick<AssignmentExchange, 'isActive' | 'explain'>;
	selector: Pick<BackendSelector, 'explain'>;
};

/** Explains requests. */
export class RequestExplainer {
	constructor(private readonly parts: RequestExplainerParts) {}

	explain(query: ExplanationQuery, nowMs: number): RequestExplanation {
		const {routes, configView} = this.parts;
		const base = {configVersion: routes.version, viewAgeMs: Math.round(configView.ageMs(nowMs))};
		const route = routes.match(query.host, query.path);
		if (!route) {
			return {...base, outcome: ExplainedOutcome.Rejected, reason: routes.current ? 'no such route' : 'configuration not known yet'};
		}

		const isAccountNeeded = !route.isPublic && routes.requiresApiKeys;
		const account = query.account === undefined ? undefined : routes.accountNamed(query.account);
		if (isAccountNeeded && !account) {
			return {
				...base, route: route.name, outcome: ExplainedOutcome.Rejected, reason: query.account === undefined ? 'the route needs an account' : 'unknown account',
			};
		}

		return {...base, ...this.explainDestination(query, route, account, nowMs)};
	}

	private explainDestination(query: ExplanationQuery, route: Route, account: Account | undefined, nowMs: number): Omit<RequestExplanation, 'configVersion' | 'viewAgeMs'> {
		// The one that most requests of the route go to.
		const service = route.targets.toSorted((a, b) => b.weight - a.weight).at(0)?.service;
		if (service === undefined) {
			return {route: route.name, outcome: ExplainedOutcome.Refused, reason: 'route without a service'};
		}

		const cost = account ? requestCost(account, query.promptTokens, query.maxOutputTokens) : 0;
		const admittedShare = account?.ratePerSecond === undefined ? 1 : this.parts.quota.admittedShare(account, {cost, service}, this.parts.quotaPeers(nowMs), nowMs);
		const destination = {route: route.name, service, limit: account && {account: account.name, cost, admittedShare}};
		if (admittedShare <= 0) {
			return {...destination, outcome: ExplainedOutcome.Refused, reason: `over the limit of ${account!.name}`};
		}

		const backends = this.parts.selector.explain(service, toCallerRequest(query), nowMs);
		if (!this.parts.exchange.isActive(service, nowMs)) {
			const target = backends.find(({excludedReason}) => excludedReason === undefined);
			return {
				...destination, backends, outcome: target ? ExplainedOutcome.Sent : ExplainedOutcome.Refused, reason: target ? `cheapest of the backend servers that may receive it: ${target.backend}` : 'no backend server may receive it',
			};
		}

		return {...destination, backends, ...this.explainGroups(query, {route, account, service}, nowMs)};
	}

	/** Explains what the coordinators would decide; the first group decides unless it refuses. */
	private explainGroups(query: ExplanationQuery, {route, account, service}: {route: Route; account: Account | undefined; service: string}, nowMs: number): Pick<RequestExplanation, 'outcome' | 'reason' | 'retryAfterMs' | 'groups'> {
		const groups = this.parts.exchange.explain(createAssignmentQuery(query, {route, account, service}, {
			priority: account?.priority ?? route.priority, targetMs: route.latencyTargetMs, remainingMs: route.timeoutMs, excluded: new Set(),
		}), nowMs);
		const first = groups.at(0);
		const decision = first?.explanation?.decision;
		if (!first || !decision) {
			return {groups, outcome: first ? ExplainedOutcome.DecidedElsewhere : ExplainedOutcome.Refused, reason: first ? `${first.coordinator?.name ?? 'no daemon'} coordinates ${first.group}` : 'no backend server'};
		}

		if (decision.kind === AssignmentKind.Refused) {
			return {
				groups, outcome: ExplainedOutcome.Refused, reason: decision.reason, retryAfterMs: decision.retryAfterMs,
			};
		}

		return decision.kind === AssignmentKind.Assigned
			? {groups, outcome: ExplainedOutcome.Sent, reason: `first event predicted after ${Math.round(decision.terms.predictedMs)} ms`}
			: {groups, outcome: ExplainedOutcome.Queued, reason: `would wait, first event predicted after ${decision.expectedMs} ms`};
	}
}

function toCallerRequest({host, path, promptTokens, maxOutputTokens, promptParts}: ExplanationQuery): CallerRequest {
	return {
		id: '', host, path, method: 'POST', apiKey: undefined, deadlineMs: undefined, promptTokens, maxOutputTokens, expectedOutputTokens: undefined, promptParts, lastEventId: undefined, resumedRequestId: undefined, forwardedHeaders: [],
	};
}

/**
 * Reads a query from the parameters of a URL.
 *
 * @throws {RangeError} When a parameter is missing or malformed.
 */
export function readExplanationQuery(parameters: URLSearchParams): ExplanationQuery {
	const host = parameters.get('host');
	const path = parameters.get('path');
	if (!host || !path?.startsWith('/')) {
		throw new RangeError('host and path are needed, the path with a leading slash');
	}

	const [promptTokens, maxOutputTokens] = readTokens(parameters.get('tokens') ?? undefined);
	return {
		host, path, account: parameters.get('account') ?? undefined, promptTokens, maxOutputTokens, promptParts: readParts(parameters.get('parts') ?? undefined),
	};
}

function readTokens(text: string | undefined): Array<number | undefined> {
	return text === undefined ? [] : text.split(',').map(part => readCount(part, 'tokens'));
}

function readParts(text: string | undefined): PromptPart[] {
	return text === undefined
		? []
		: text.split(',').map(entry => {
			const [id, tokens, ...rest] = entry.split(':');
			if (id === '' || rest.length > 0) {
				throw new RangeError(`malformed prompt part ${entry}, expected ID:TOKENS`);
			}

			return {id, tokens: readCount(tokens ?? '', 'prompt part')};
		});
}

function readCount(text: string, subject: string): number {
	if (!/^\d+$/v.test(text)) {
		throw new RangeError(`malformed number of ${subject}: ${text}`);
	}

	return Number(text);
}
