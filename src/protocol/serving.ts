/**
 * The types of the serving path: routes, services and client accounts from the operators'
 * configuration, backend servers, clients' requests and backend servers' answers. A platform
 * adapter translates the platform's own format to and from these types.
 */

/** The kinds of request, by whether they may be retried. */
export enum RequestKind {
	/** The request may run more than once. */
	Idempotent = 'idempotent',
	/** The request may run at most once. */
	NonIdempotent = 'non-idempotent',
	/** The request is answered with a stream of events, and is retried only if its route is resumable. */
	Streaming = 'streaming',
}

/** A service that receives a share of a route's requests, in proportion to its weight. */
export type RouteTarget = {service: string; weight: number};

/** A route: how requests for one host and path prefix are served. */
export type Route = {
	name: string;
	host: string;
	/** The path prefix, which begins and ends with a slash. */
	pathPrefix: string;
	kind: RequestKind;
	/** Maximum time that a request may wait for its answer, in milliseconds. */
	timeoutMs: number;
	/** Target for the time until the answer, in milliseconds; for streams, until the first event. */
	latencyTargetMs: number;
	/** The priority of requests; 0 is the most urgent. */
	priority: number;
	/** Maximum number of backend servers that may run one request. */
	attempts: number;
	/** Whether requests need no API key. */
	isPublic: boolean;
	/** Whether a stream may be continued by another run after a given event. */
	isResumable: boolean;
	targets: RouteTarget[];
};

/** The capabilities of a service's engines. */
export type EngineTraits = {
	/** Whether a running request can be moved to another engine with its KV cache. */
	canMove: boolean;
	/** Number of output tokens in one event of a stream. */
	tokensPerEvent: number;
	/** Tokens that an engine's memory holds, for running requests and cached prompt parts; undefined if it is not stated. */
	kvTokens?: number;
	/** The longest time for which an engine holds room for a request that is to follow, in milliseconds; undefined if engines hold none. */
	holdMs?: number;
};

/** The limits and prices of a service's pool of backend servers, per failure domain. */
export type Scaling = {
	min: number;
	max: number;
	/** Time from an order until the new backend server is ready, in milliseconds. */
	bootMs: number;
	/** Price of a reclaimable VM as a share of that of an on-demand VM; undefined if reclaimable VMs are not available. */
	reclaimablePriceRatio: number | undefined;
	/** Price of an on-demand VM per second, by failure domain. */
	prices: Map<string, number>;
};

/** A service, whose backend servers receive the requests of routes. */
export type Service = {
	name: string;
	engine: EngineTraits | undefined;
	scaling: Scaling | undefined;
};

/** A client account, with its API keys and its limit, which holds for all daemons together. */
export type Account = {
	name: string;
	apiKeys: string[];
	/** The priority of the account's requests; it overrides the route's priority. */
	priority: number | undefined;
	/** The limit in cost units per second; undefined means no limit. */
	ratePerSecond: number | undefined;
	/** Cost units that may be used in a burst beyond the rate. */
	burst: number;
	/** Whether a request's cost is its number of tokens rather than 1. */
	countsTokens: boolean;
	/** Cost of a request that states no token counts, if `countsTokens` is set. */
	defaultTokenCost: number;
};

/** The limits on the size of clients' requests, and on the time to receive their headers and to stay idle. */
export type ClientLimits = {
	headerBytes: number;
	bodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
};

/** One version of the operators' configuration. */
export type ServingConfig = {
	version: number;
	routes: Route[];
	services: Service[];
	limits: ClientLimits;
	accounts: Account[];
};

/** Whether a backend server accepts new work. */
export enum BackendState {
	Ready = 'ready',
	Draining = 'draining',
}

/** A backend server: a running replica of a service, as listed by the platform. */
export type Backend = {
	/** An id that is unique to one start of the backend server. All state is kept by this id, since a restarted backend server retains nothing (such as cached prompts) from before. */
	id: string;
	/** The name on the platform, which stays the same when the backend server restarts. */
	name: string;
	/** The start time, in milliseconds since 1970; undefined if the entry does not state it. */
	startedAtMs: number | undefined;
	service: string;
	/** The version of its software; requests may only run on versions that serve or are being rolled out. */
	version: string;
	host: string;
	port: number;
	failureDomain: string;
	slots: number;
	state: BackendState;
	isReclaimable: boolean;
	/** Time until a leaving backend server stops, in milliseconds after its entry was written. */
	leavesInMs: number | undefined;
	/** Time for which it remains slow after its start (cold start), in milliseconds after its entry was written. */
	coldForMs: number;
	/** Number of times that its entry was written; undefined if the platform does not tell. */
	updates?: number;
};

/** An operator's order to move a service's traffic to another version of its software. */
export type RolloutOrder = {
	service: string;
	version: string;
	/** Time within which the order must be carried out or rolled back, in milliseconds. */
	durationMs: number;
};

/** A part of a request's prompt. All parts but the last may be shared with other requests. */
export type PromptPart = {id: string; tokens: number};

/** The parts of a client's request by which the daemon decides how to serve it. */
export type CallerRequest = {
	/** An id that is unique to one attempt of the client; the backend server's answer repeats it. */
	id: string;
	host: string;
	path: string;
	method: string;
	apiKey: string | undefined;
	/** How long the client waits for the answer, in milliseconds. */
	deadlineMs: number | undefined;
	promptTokens: number | undefined;
	maxOutputTokens: number | undefined;
	/** The client's estimate of the output's length, in tokens. */
	expectedOutputTokens: number | undefined;
	promptParts: PromptPart[];
	/** The id of the last event that the client received in an earlier attempt. */
	lastEventId: string | undefined;
	/** The id of the client's attempt that received the first event of the stream that this one continues. */
	resumedRequestId: string | undefined;
	/** The headers that are forwarded to the backend server, as alternating names and values. */
	forwardedHeaders: string[];
};

/** The values of the headers that the daemon adds to an attempt at one backend server. */
export type AttemptHeaders = {
	backendName: string;
	account: string | undefined;
	/** Time until the answer is due, in milliseconds. */
	deadlineMs: number;
	priority: number | undefined;
	/** The id of the event after which the run continues, instead of the one that the client named. */
	lastEventId: string | undefined;
	/** The location of the KV cache of the run to continue, as host:port/handle. */
	kvSource: string | undefined;
	/** The engine from which cached prompt parts are copied before the run. */
	copyFrom: Backend | undefined;
	/** The id of the room that the engine holds for the request. */
	hold: string | undefined;
};

/** The load that a backend server reports in its answer. */
export type ReportedLoad = {
	running: number;
	waiting: number;
	slots: number;
	/** How long work takes there at the moment, in percent of the usual time; undefined if it is not stated. */
	pacePercent?: number;
};

/** What the headers of a backend server's answer state. */
export type AnswerMetadata = {
	requestId: string | undefined;
	/** Whether the answer carries the seal by which a backend server marks its own answers. */
	isSealed: boolean;
	/** Whether the backend server states that it did not run the request. */
	isNotRun: boolean;
	/** Whether the body has a content encoding; backend servers never use one. */
	isEncoded: boolean;
	load: ReportedLoad | undefined;
	/** The number of requests per second that the backend server accepts from all daemons together; undefined if it states no limit. */
	limitPerSecond: number | undefined;
	/** The number of requests per second that the backend server can refuse for want of room without failing; undefined if it states none. */
	refusalsPerSecond: number | undefined;
	/** Whether the backend server states that it is leaving. */
	isLeaving: boolean;
	/** The delay that the answer's Retry-After states, in milliseconds; undefined if it states none. */
	retryAfterMs: number | undefined;
};
