/**
 * The messages of the serving path: what the operators' configuration says of routes,
 * services and client accounts, what is known of a backend server, and what the daemon
 * reads of a caller's request. An adapter decodes a platform's own format into these.
 */

/** What may be repeated of a request. */
export enum RequestKind {
	/** May run more than once. */
	Idempotent = 'idempotent',
	/** Runs at most once. */
	NonIdempotent = 'non-idempotent',
	/** Answered with a series of events; repeated only where its route is resumable. */
	Streaming = 'streaming',
}

/** A service that takes a share of a route's requests. */
export type RouteTarget = {service: string; weight: number};

/** How requests of one host and path prefix are served. */
export type Route = {
	name: string;
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RequestKind;
	/** Longest time that a request may be kept waiting, in milliseconds. */
	timeoutMs: number;
	/** Time within which an answer is on time, in milliseconds; for streams, to the first event. */
	latencyTargetMs: number;
	/** 0 is the most urgent. */
	priority: number;
	/** Most backend servers that may run one request. */
	attempts: number;
	/** Whether requests need no API key. */
	isPublic: boolean;
	isResumable: boolean;
	targets: RouteTarget[];
};

/** What is known of the engines of a service. */
export type EngineTraits = {
	/** Whether a running request may be moved with its KV cache. */
	canMove: boolean;
	/** Output tokens in one event of a stream. */
	tokensPerEvent: number;
};

/** Limits and prices of a service's pool of backend servers, per failure domain. */
export type Scaling = {
	min: number;
	max: number;
	/** Time from an order until the new backend server serves, in milliseconds. */
	bootMs: number;
	/** Price of a reclaimable VM as a share of an on-demand one; undefined where none are sold. */
	reclaimablePriceRatio: number | undefined;
	/** Price of an on-demand VM per second, by failure domain. */
	prices: Map<string, number>;
};

/** A service that routes send requests to. */
export type Service = {
	name: string;
	engine: EngineTraits | undefined;
	scaling: Scaling | undefined;
};

/** A client account, its API keys and its limit over all daemons together. */
export type Account = {
	name: string;
	apiKeys: string[];
	/** Goes before the route's priority. */
	priority: number | undefined;
	/** Cost units a second; undefined means no limit. */
	ratePerSecond: number | undefined;
	/** Cost units that may be used at once beyond the rate. */
	burst: number;
	/** Whether a request costs its tokens rather than 1. */
	countsTokens: boolean;
	/** Cost of a request that names no token counts, where tokens count. */
	plainTokens: number;
};

/** What a client may send, and how long it may take or stay idle. */
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

/** Whether a backend server takes new work. */
export enum BackendState {
	Ready = 'ready',
	Draining = 'draining',
}

/** A running replica of a service, as the platform lists it. */
export type Backend = {
	/** Unique to one start of the backend server; all that is known of it goes by this, since a restarted one holds nothing of before. */
	id: string;
	/** Its name on the platform, which it keeps when it starts again. */
	name: string;
	/** When it started, in milliseconds since 1970; undefined where its entry does not say. */
	startedAtMs: number | undefined;
	service: string;
	host: string;
	port: number;
	failureDomain: string;
	slots: number;
	state: BackendState;
	isReclaimable: boolean;
	/** Time left before a leaving backend server goes, in milliseconds from when its state was written. */
	leavesInMs: number | undefined;
	/** How much longer it stays slow after its start, in milliseconds from when its state was written. */
	coldForMs: number;
};

/** A part of a request's prompt, shared with other requests unless it is the last. */
export type PromptPart = {id: string; tokens: number};

/** What the daemon reads of a caller's request before it decides on it. */
export type CallerRequest = {
	/** Unique to one try of the client; it travels with the request and its answer. */
	id: string;
	host: string;
	path: string;
	method: string;
	apiKey: string | undefined;
	/** How long the client waits, in milliseconds. */
	deadlineMs: number | undefined;
	promptTokens: number | undefined;
	maxOutputTokens: number | undefined;
	/** The client's estimate of the output's length, in tokens. */
	expectedOutputTokens: number | undefined;
	promptParts: PromptPart[];
	/** The last event the client has of an earlier try. */
	lastEventId: string | undefined;
	/** Headers that go on to the backend server, as name and value by turns. */
	forwardedHeaders: string[];
};

/** What the daemon sets on a request for one backend server. */
export type Dispatch = {
	backendName: string;
	account: string | undefined;
	/** Time left for the answer, in milliseconds. */
	deadlineMs: number;
	priority: number | undefined;
	/** Continues after this event instead of the one the client named. */
	lastEventId: string | undefined;
	/** Where the KV cache of the run to continue is, as host:port/handle. */
	kvSource: string | undefined;
	/** Another engine to copy cached prompt parts from before the run. */
	copyFrom: Backend | undefined;
};

/** Load that a backend server states of itself. */
export type StatedLoad = {running: number; waiting: number; slots: number};

/** What a backend server's answer says beside its bytes. */
export type AnswerMarks = {
	requestId: string | undefined;
	/** Whether the backend server signed the answer as its own. */
	isSealed: boolean;
	/** Whether it states that it did not run the request. */
	isNotRun: boolean;
	/** Whether the body is encoded, which backend servers never do. */
	isEncoded: boolean;
	load: StatedLoad | undefined;
	/** Requests a second that the backend server takes from all daemons together; undefined when it states no limit. */
	limitPerSecond: number | undefined;
};
