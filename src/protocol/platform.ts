/**
 * The interfaces through which the serving daemon uses the platform that it runs on. An
 * adapter implements them with the platform's own names and calls. It only translates; all
 * decisions are made by the daemon.
 */
import {
	type AnswerMetadata, type AttemptHeaders, type Backend, type CallerRequest, type RolloutOrder, type ServingConfig,
} from './serving.js';
import {type Listen} from './settings.js';

/** The settings of a serving daemon. */
export type FrontSettings = {
	name: string;
	failureDomain: string;
	/** Whether the whole deployment is starting for the first time. */
	isFirstStart: boolean;
	host: string;
	/** The address at which clients connect. */
	callers: Listen;
	/** The address at which the load balancer queries the daemon's readiness. */
	readiness: Listen;
	/** The port for datagrams between daemons. */
	peerPort: number;
	metricsPort: number;
	/** The memory and the descriptors that the process may take. */
	machine: MachineLimits;
	/** The URL of the platform's store. */
	storeUrl: string;
	/** The URL of the platform's cloud API. */
	cloudUrl: string;
	/** The bounds that the operators set. The object is changed in place when the settings change, so its fields must be read at each use. */
	bounds: ServiceBounds;
};

/** The memory and the descriptors that a process may take. */
export type MachineLimits = {
	memoryMegabytes: number;
	maxDescriptors: number;
};

/** The bounds that the operators set for the deployment; times are in milliseconds. */
export type ServiceBounds = {
	/** Time within which every daemon applies an accepted configuration. */
	configApplyMs: number;
	/** Time within which a leaving backend server no longer gets new work. */
	drainMs: number;
	/** Time after which a process that was told to stop is killed. */
	graceMs: number;
	/** Time within which every daemon rejects a revoked API key. */
	revokeMs: number;
	/** The retry budget of all daemons together: the retries allowed per request in a window, before `retrySlack` is added. */
	retryRatio: number;
	/** The window of the retry budget. */
	retryWindowMs: number;
	/** The number of retries that the retry budget allows in a window in addition to `retryRatio`. */
	retrySlack: number;
	/** The limits of client accounts must hold in every time span of this length. */
	quotaWindowMs: number;
	/** The share of its limit by which an account may exceed the limit in a window. */
	quotaTolerance: number;
	/** The cost units by which an account may exceed its limit in a window, in addition to `quotaTolerance`. */
	quotaSlack: number;
	/** Time after an action of a duty holder during which no other daemon may act as duty holder. */
	leaseMs: number;
	/** The window that one usage report covers. */
	usageWindowMs: number;
	/** Share of a service's requests that may reach a version whose roll-out has not been decided, over all daemons. */
	canaryShare: number;
};

/** A record of a topic; a record without a value deletes its key. */
export type KeyedRecord = {key: string; value: Uint8Array | undefined; offset: number};

/** Records that were read, the offset to continue from (`next`), the end of the topic at the time of the read (`end`), and the era of all these offsets. */
export type RecordBatch = {records: KeyedRecord[]; next: number; end: number; era: number};

/** The limits of one read. */
export type ReadLimits = {
	/** How long the store may wait for records (long polling), in milliseconds. */
	waitMs: number;
	/** How long after `waitMs` the read may go without receiving a byte of the answer before it fails, in milliseconds. */
	answerMs: number;
	/** Total size of the records, in bytes, from which on no further record is added to the answer. */
	maxBytes: number;
};

/** The topics that the daemon reads and writes. */
export enum Topic {
	/** The operators' configuration. */
	Config = 'config',
	/** The platform's list of backend servers. */
	Backends = 'backends',
	/** The addresses of the daemons. */
	Members = 'members',
	/** The holder of the singleton duties, and the usage reports and roll-out phases that it has decided on. */
	Duties = 'duties',
	/** What operators read of the roll-outs' progress. */
	Status = 'status',
	/** The software versions at which running streams began. */
	Streams = 'streams',
}

/** The result of an append. */
export type AppendResult
	= | {kind: 'appended'; offset: number; era: number}
	/** The topic did not end at the offset that the append expected. */
		| {kind: 'conflict'};

/** The platform's store: an append-only log with topics. It may be restored from a copy, which begins a new era of its offsets. */
export type Store = {
	/**
	 * Reads the newest record of each key.
	 *
	 * @param answerMs How long the read may go without receiving a byte of the answer before it fails, in milliseconds.
	 * @throws {StateError} When the store cannot be read.
	 */
	readNewest(topic: Topic, answerMs: number, signal: AbortSignal): Promise<RecordBatch>;
	/**
	 * Reads records from an offset on, as soon as there are any; the batch is empty if none
	 * arrive during the wait. Records beyond the size limit, which may include the first one,
	 * are left to the next read: `next` is then below `end`.
	 *
	 * @returns The batch, or undefined when records at the offset are no longer retained.
	 * @throws {StateError} When the store cannot be read.
	 */
	read(topic: Topic, from: number, limits: ReadLimits, signal: AbortSignal): Promise<RecordBatch | undefined>;
	/**
	 * Appends one record; with `expectedEnd`, only if the topic ends at that offset.
	 *
	 * @throws {StateError} When the record was not appended.
	 * @throws {UnknownAppendError} When it is unknown whether the record was appended.
	 */
	append(topic: Topic, record: {key: string; value: Uint8Array}, expectedEnd: number | undefined, signal: AbortSignal): Promise<AppendResult>;
};

/** The platform's answer to a call that only the duty holder may make. */
export enum DutyResult {
	Accepted = 'accepted',
	/** The platform has seen a higher fencing token, or cannot supply what was ordered. */
	Refused = 'refused',
	/** There were too many calls, or the platform is unavailable: the call had no effect. */
	Busy = 'busy',
	/** There was no answer: the call may still take effect. */
	Unknown = 'unknown',
}

/** The holder of the singleton duties and its fencing token. */
export type DutyHolder = {name: string; token: number};

/** How many VMs of one kind a service should have in a failure domain. */
export type PoolOrder = {service: string; failureDomain: string; isReclaimable: boolean; count: number};

/** The platform's calls that only one daemon at a time, the duty holder, may make. */
export type Cloud = {
	/** Reports how many requests of each account began to run in a window. */
	reportUsage(holder: DutyHolder, window: number, counts: Record<string, number>, signal: AbortSignal): Promise<DutyResult>;
	/** Sets the number of VMs of one kind that a service should have in a failure domain. */
	orderPool(holder: DutyHolder, order: PoolOrder, signal: AbortSignal): Promise<DutyResult>;
};

/** Reads and writes the headers of clients and backend servers in the platform's format. */
export type Dialect = {
	/** The path at which the load balancer queries readiness. */
	readonly readinessPath: string;
	/** How many requests named more parts of a prompt than are read. */
	readonly truncatedPrompts: number;
	/** Reads a client's request; returns undefined when a header that may occur only once is repeated. */
	readRequest(method: string, path: string, rawHeaders: string[]): CallerRequest | undefined;
	/** Returns the headers of an attempt at one backend server, as alternating names and values. */
	backendHeaders(request: CallerRequest, attempt: AttemptHeaders): string[];
	readAnswer(headers: NodeJS.Dict<string | string[]>): AnswerMetadata;
};

/** A run whose KV cache was copied to another engine. */
export type MovedRun = {
	/** The location of the KV cache, in the form of {@link AttemptHeaders.kvSource}. */
	kvSource: string;
};

/** The result of an order to copy or move a run. */
export enum MoveResult {
	Done = 'done',
	/** The engine has stopped the run, but the target took no copy: the run can continue at the engine, which keeps its KV cache. */
	Stopped = 'stopped',
	/** The engine has no such run. */
	NotRunning = 'not running',
	/** The order was not carried out: the target has no room or is unreachable, or another order is in progress. */
	Refused = 'refused',
	/** There was no answer, or one that does not tell: the order may have been carried out, or may be carried out later. */
	Unanswered = 'unanswered',
}

/** The answer to an order to copy or move a run; `run` is set if the result is {@link MoveResult.Done} or {@link MoveResult.Stopped}. */
export type MoveAnswer = {
	result: MoveResult;
	run?: MovedRun;
	/** The status of the answer, for logs; undefined if there was none. */
	status?: number;
	/** Number of events that the run had made, for logs; undefined if it is not stated. */
	createdEvents?: number;
};

/** Room that an engine holds: memory for a number of tokens, and a slot, for a time in milliseconds. */
export type HeldRoom = {tokens: number; ttlMs: number};

/** Sends orders to model engines. */
export type EngineClient = {
	/** Copies the KV cache of a running request to another engine, which reserves room for the run; the run continues. */
	copy(requestId: string, source: Backend, target: Backend, signal: AbortSignal): Promise<MoveAnswer>;
	/** Stops a run and copies the part of its KV cache that was not yet copied; the run is stopped even if the target then refuses. The engine closes the connection of a stopped run without the end of its answer. */
	move(requestId: string, source: Backend, target: Backend, signal: AbortSignal): Promise<MoveAnswer>;
	/** Returns when the engine that answers at an address started, in milliseconds since 1970; undefined if it does not say. */
	readStartTime(engine: Backend, signal: AbortSignal): Promise<number | undefined>;
	/** Releases what a copy occupies on both engines. */
	release(run: MovedRun, source: Backend, signal: AbortSignal): Promise<void>;
	/** Holds room for a request that is to follow; returns the id of the hold, or undefined if the engine refuses or does not answer. */
	takeHold(engine: Backend, room: HeldRoom, signal: AbortSignal): Promise<string | undefined>;
	/**
	 * Drops a hold that is not needed.
	 *
	 * @throws {TransportError} When the engine does not answer; the hold then ends by itself.
	 */
	dropHold(engine: Backend, hold: string, signal: AbortSignal): Promise<void>;
};

/** The progress of a roll-out as operators see it. */
export enum RolloutState {
	Active = 'active',
	Completed = 'completed',
	RolledBack = 'rolled-back',
}

/** The status of a service's newest roll-out. */
export type RolloutStatus = {service: string; version: string; state: RolloutState};

/** Decodes the records of the operators and the platform, and encodes those that they read. */
export type RecordCodec = {
	/**
	 * Decodes a configuration.
	 *
	 * @throws {ProtocolError} When the record is not a valid configuration.
	 */
	readConfig(value: Uint8Array): ServingConfig;
	/**
	 * Decodes the entry of a backend server.
	 *
	 * @throws {ProtocolError} When the record is not a complete entry.
	 */
	readBackend(name: string, value: Uint8Array): Backend;
	/** Returns whether the record with this key in {@link Topic.Config} holds the configuration. */
	isConfigKey(key: string): boolean;
	/** Returns the service whose roll-out order a record with this key in {@link Topic.Config} holds; undefined for other records. */
	rolloutServiceOf(key: string): string | undefined;
	/**
	 * Decodes a roll-out order.
	 *
	 * @throws {ProtocolError} When the record is not a valid order for the service.
	 */
	readRolloutOrder(service: string, value: Uint8Array): RolloutOrder;
	/** Encodes a record of {@link Topic.Status}. */
	encodeRolloutStatus(status: RolloutStatus): {key: string; value: Uint8Array};
};

/** A platform, with everything that the serving daemon uses of it. */
export type Platform = {
	settings: FrontSettings;
	store: Store;
	cloud: Cloud;
	dialect: Dialect;
	engines: EngineClient;
	records: RecordCodec;
	/**
	 * Reads the settings again.
	 *
	 * @throws {SettingsError} When the settings are missing or invalid.
	 */
	readSettings(): FrontSettings;
};
