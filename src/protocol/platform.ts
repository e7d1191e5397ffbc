/**
 * What the serving daemon needs of the platform it runs on. An adapter implements these
 * interfaces in the platform's names and calls; it decides nothing.
 */
import {
	type AnswerMarks, type Backend, type CallerRequest, type Dispatch, type ServingConfig,
} from './serving.js';
import {type Listen} from './settings.js';

/** The settings of one serving daemon. */
export type FrontSettings = {
	name: string;
	failureDomain: string;
	/** Whether the whole system starts for the first time. */
	isFirstStart: boolean;
	host: string;
	/** Where callers connect, and where the balancer asks whether the daemon is ready. */
	callers: Listen;
	readiness: Listen;
	/** Port for datagrams between daemons. */
	peerPort: number;
	metricsPort: number;
	/** The platform's own endpoints. */
	storeUrl: string;
	cloudUrl: string;
	/** What the operators hold the system to; times in milliseconds. Changed in place when the settings change, so it is read at each use. */
	bounds: ServiceBounds;
};

/** Bounds that the operators set for the deployment. */
export type ServiceBounds = {
	/** Within this, an accepted configuration is in force on every daemon. */
	configApplyMs: number;
	/** Within this, a leaving backend server gets no new work. */
	drainMs: number;
	/** A stopped process is killed after this. */
	graceMs: number;
	/** A revoked API key stops working within this, on every daemon. */
	revokeMs: number;
	/** Retries allowed for each request, plus `retrySlack` in each window, over all daemons. */
	retryRatio: number;
	retryWindowMs: number;
	retrySlack: number;
	/** Limits of accounts hold for any span of this length. */
	quotaWindowMs: number;
	/** Share of its limit, and cost units, by which an account may pass it in a window. */
	quotaTolerance: number;
	quotaSlack: number;
	/** Nobody else may act within this after a holder of a duty acted. */
	leaseMs: number;
	usageWindowMs: number;
};

/** A record of a topic; a record without a value says that its key was dropped. */
export type KeyedRecord = {key: string; value: Uint8Array | undefined; offset: number};

/** Records that were read, the offset to go on from, and where the topic ended. */
export type RecordBatch = {records: KeyedRecord[]; next: number; end: number};

/** What one read may take. */
export type ReadLimits = {
	/** How long it waits for records, in milliseconds. */
	waitMs: number;
	/** Time without a byte of the answer beyond the wait after which it fails, in milliseconds. */
	answerMs: number;
	/** Size of records beyond which no further one is added, in bytes. */
	mostBytes: number;
};

/** The topics that the daemon reads and writes. */
export enum Topic {
	/** The operators' configuration. */
	Config = 'config',
	/** The platform's list of backend servers. */
	Backends = 'backends',
	/** The daemons' own addresses. */
	Members = 'members',
	/** Who holds the singleton duties, and the usage reports decided on. */
	Duties = 'duties',
}

/** How an append ended. */
export type AppendResult
	= | {kind: 'appended'; offset: number}
	/** The topic does not end at the offset the append named. */
		| {kind: 'conflict'; end: number};

/** The platform's store: an append-only log with topics. */
export type Store = {
	/**
	 * The newest record of each key.
	 *
	 * @param answerMs Time without a byte of the answer after which it fails, in milliseconds.
	 * @throws {StateError} When the store does not answer with them.
	 */
	newest(topic: Topic, answerMs: number, signal: AbortSignal): Promise<RecordBatch>;
	/**
	 * Records from an offset on, as soon as there are any, or none after the wait. What is
	 * beyond the size limit is left to the next read, or the first record is: `end` tells.
	 *
	 * @returns Undefined when records at the offset are no longer kept.
	 * @throws {StateError} When the store does not answer with them.
	 */
	read(topic: Topic, from: number, limits: ReadLimits, signal: AbortSignal): Promise<RecordBatch | undefined>;
	/**
	 * Appends one record; with `at`, only if the topic ends at that offset.
	 *
	 * @throws {StateError} When nothing was done.
	 * @throws {UnknownAppendError} When the outcome is unknown.
	 */
	append(topic: Topic, record: {key: string; value: Uint8Array}, at: number | undefined, signal: AbortSignal): Promise<AppendResult>;
};

/** How the platform took a call that belongs to a singleton duty. */
export enum DutyResult {
	Accepted = 'accepted',
	/** A higher fencing token was seen, or what was ordered is not to be had. */
	Refused = 'refused',
	/** Too many calls, or the platform is out of order: nothing was done. */
	Busy = 'busy',
	/** No answer: it may still be carried out. */
	Unknown = 'unknown',
}

/** The holder of the duties and its fencing token. */
export type DutyHolder = {name: string; token: number};

/** How many VMs of one kind a service should have in a failure domain. */
export type PoolOrder = {service: string; failureDomain: string; isReclaimable: boolean; count: number};

/** The platform's calls that one daemon at a time may make. */
export type Cloud = {
	/** Reports the requests of each account that began to run in a window. */
	reportUsage(holder: DutyHolder, window: number, counts: Record<string, number>, signal: AbortSignal): Promise<DutyResult>;
	/** Orders the number of VMs of one kind. */
	orderPool(holder: DutyHolder, order: PoolOrder, signal: AbortSignal): Promise<DutyResult>;
};

/** Names and formats of the callers' and backend servers' headers. */
export type Dialect = {
	/** Path at which the balancer asks for readiness. */
	readonly readinessPath: string;
	/** Reads a caller's request; undefined when its own headers contradict each other. */
	readRequest(method: string, path: string, rawHeaders: string[]): CallerRequest | undefined;
	/** The headers of a request for one backend server, as name and value by turns. */
	backendHeaders(request: CallerRequest, dispatch: Dispatch): string[];
	readAnswer(headers: NodeJS.Dict<string | string[]>): AnswerMarks;
};

/** A copy of a run's KV cache at another engine. */
export type MovedRun = {
	/** Where to continue, in the form that {@link Dispatch.kvSource} takes. */
	kvSource: string;
};

/** How an engine took an order to copy or move a run. */
export enum MoveResult {
	Done = 'done',
	/** It has no such run, or the target has no room or cannot be reached. */
	Refused = 'refused',
	/** No answer: it may have been carried out. */
	Unanswered = 'unanswered',
}

/** The answer to an order to copy or move a run; `run` is set when it is done. */
export type MoveAnswer = {result: MoveResult; run?: MovedRun};

/** Orders to engines. */
export type Engines = {
	/** Copies a running request's KV cache to another engine, which keeps room for it; the run goes on. */
	copy(requestId: string, source: Backend, target: Backend, signal: AbortSignal): Promise<MoveAnswer>;
	/** Stops a run and copies what is new of its KV cache; it is stopped also where the target then refuses. */
	move(requestId: string, source: Backend, target: Backend, signal: AbortSignal): Promise<MoveAnswer>;
	/** Frees what a copy holds at both engines. */
	release(run: MovedRun, source: Backend, signal: AbortSignal): Promise<void>;
};

/** Decoders of the operators' and the platform's records. */
export type Records = {
	/** @throws {ProtocolError} When the record is not a configuration. */
	readConfig(value: Uint8Array): ServingConfig;
	/** @throws {ProtocolError} When the record is not a whole entry of a backend server. */
	readBackend(name: string, value: Uint8Array): Backend;
	/** Whether a record of {@link Topic.Config} holds the configuration. */
	isConfigKey(key: string): boolean;
};

/** A platform, as the serving daemon sees it. */
export type Platform = {
	settings: FrontSettings;
	store: Store;
	cloud: Cloud;
	dialect: Dialect;
	engines: Engines;
	records: Records;
	/** @throws {SettingsError} When the settings are bad. */
	readSettings(): FrontSettings;
};
