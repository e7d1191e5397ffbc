/** One client request while it is being served, with the state that its log line reports. */
import {type ServerResponse} from 'node:http';
import {
	type Account, type Backend, type CallerRequest, RequestKind, type Route,
} from '../../protocol/serving.js';
import {type PlacementChoice} from '../placement.js';
import {type SlotLease} from '../slots/slot-leases.js';
import {computeFingerprints, type RequestFingerprints} from '../quarantine/request-fingerprint.js';
import {type OriginSource} from '../stream-origins/stream-origin-lookup.js';
import {type EarlyEnd} from './answer-ends.js';

/** One attempt: the request sent to one backend server. */
export type Attempt = {
	backendId: string;
	/** Host and port that it was sent to. */
	address: string;
	version: string;
	costMs: number;
	/** When it was sent, in milliseconds after the request's arrival. */
	sentAfterMs: number;
	/** The copied run from which it continues, if it does. */
	kvSource?: string;
	/** Whether the engine held room for it. */
	hasHold?: boolean;
	result: string;
	/** When the head of its answer arrived, in milliseconds after the request's arrival. */
	answeredAfterMs?: number;
	/** Whether its answer arrived on a connection that had been used before. */
	isConnectionReused?: boolean;
	/** When its answer ended, if only the end of its connection ends the answer, in milliseconds after the request's arrival. */
	connectionEndedAfterMs?: number;
	/** Why that end may have come before the end of the answer. */
	earlyEnd?: EarlyEnd;
	/** The orders to its engine that stop the run, and what was answered to them. */
	stopOrders?: string[];
	/** What the head of the answer stated of the backend server. */
	stated?: string;
	/** When its answer began: with the first event of a stream, or the head of any other answer. */
	writingSinceMs?: number;
};

/** What is known of a request when serving begins. */
export type ServedRequestInputs = {
	request: CallerRequest;
	route: Route;
	/** The service that was picked from its route's targets. */
	service: string;
	account: Account | undefined;
	body: Uint8Array;
	response: ServerResponse;
	/** Aborts when the client disconnects. */
	signal: AbortSignal;
	arrivedAtMs: number;
	configVersion: number;
	/** Whether another daemon sent it to this one, in whose place this one serves it. */
	isProxied?: boolean;
	/** Its fingerprints, if they have been computed already. */
	fingerprints?: RequestFingerprints;
};

/** A backend server reserved for a request's next attempt, and a retry taken from the retry budget for it. */
export type RetryReservation = {
	choice: Pick<PlacementChoice, 'backend' | 'costMs' | 'copyFrom'>;
	reservedAtMs: number;
	/** Whether the attempt is already charged to the rate limit of its backend server. */
	isRateLimitCharged: boolean;
	/** The slot of the backend server, once one has been acquired. */
	slot?: SlotLease;
	/** The id of the room that the engine holds, once it does. */
	hold?: string;
};

/** Describes an attempt for logs. */
export function describeAttempt({backendId, address, version, costMs, sentAfterMs, kvSource, hasHold, result, answeredAfterMs, isConnectionReused, connectionEndedAfterMs, earlyEnd, stopOrders, stated}: Attempt): string {
	const continuation = (kvSource === undefined ? '' : ` continues ${kvSource}`) + (hasHold ? ' with held room' : '');
	const answered = answeredAfterMs === undefined ? '' : `, answered +${answeredAfterMs}${isConnectionReused ? ' on a reused connection' : ''}`;
	const ended = connectionEndedAfterMs === undefined ? '' : `, ended with its connection +${connectionEndedAfterMs} (${earlyEnd ?? 'whole'})`;
	const stopped = stopOrders === undefined ? '' : `, ordered to stop ${stopOrders.join(' and ')}`;
	const suffix = stated === undefined ? '' : ` [${stated}]`;
	return `${backendId} at ${address} ${version} +${sentAfterMs} cost ${costMs}${continuation}: ${result}${answered}${ended}${stopped}${suffix}`;
}

/** The version of a stream that nothing may continue; no backend server has it. */
const unknownVersion = '(unknown)';

/** A request being served. */
export class ServedRequest {
	readonly attempts: Attempt[] = [];
	/** Ids of the backend servers that must not receive it again, since they failed it or the request is being moved off them. */
	readonly excluded = new Set<string>();
	/** The time at which its answer is of no use any more. */
	readonly deadlineAtMs: number;
	/** Whether a backend server may have started to run it. */
	mayHaveRun = false;
	/** Number of backend servers on which it may have run. */
	runs = 0;
	/** Number of attempts that reached a backend server, including refused ones. */
	deliveries = 0;
	/** The addresses at which it was delivered; several entries of backend servers may name one. */
	readonly deliveredTo = new Set<string>();
	/** The state of the retry budget at each retry taken from it, for the log line. */
	readonly budgetStates: string[] = [];
	/** The next attempt, reserved before the run in progress is abandoned. */
	reservation: RetryReservation | undefined;
	/** Whether its first attempt tests a version that is being rolled out; drawn on first use. */
	isCanary: boolean | undefined;
	/** The backend servers that accepted no connection for it. */
	readonly unreached: Backend[] = [];
	/** Whether it was given up because too many accepted none. */
	isUnreachable = false;
	/** The software version at which its stream began, once an event has been delivered; only backend servers of this version may continue it. */
	version: string | undefined;
	/** The backend server that delivered the first event, unless a client has taken the stream up. */
	beganAt: Backend | undefined;
	/** How this version became known, if a client takes the stream up. */
	originSource: OriginSource | undefined;
	/** Whether other daemons know this version. */
	isOriginShared = false;
	/** How it was assigned to a backend server, for the log line; undefined if it was placed by this daemon alone. */
	assignment: string | undefined;
	/** When its client may come back, in milliseconds from its refusal; set if a coordinator refused it. */
	refusalRetryAfterMs: number | undefined;
	/** Whether it has been counted for the usage reports. */
	isUsageCounted = false;
	/** Resolves once it is known whether the backend server at which its last run broke off has crashed. */
	crashCheck: Promise<void> | undefined;
	private cachedFingerprints: RequestFingerprints | undefined;

	constructor(readonly inputs: ServedRequestInputs) {
		const {request, route, arrivedAtMs} = inputs;
		this.deadlineAtMs = arrivedAtMs + Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
	}

	/** Whether its route allows more than one run. */
	get isRetryable(): boolean {
		const {kind, isResumable} = this.inputs.route;
		return kind === RequestKind.Idempotent || (kind === RequestKind.Streaming && isResumable);
	}

	/** Whether its route allows one more run. */
	get canRunAgain(): boolean {
		return this.isRetryable && this.runs < this.inputs.route.attempts;
	}

	/** The fingerprints of the request and of its prompt; computed on first use, since they are needed for few requests. */
	get fingerprints(): RequestFingerprints {
		const {account, request, body} = this.inputs;
		const {host, method, path, promptParts} = request;
		this.cachedFingerprints ??= this.inputs.fingerprints ?? computeFingerprints({
			account: account?.name, host, method, path, body, promptParts,
		});
		return this.cachedFingerprints;
	}

	/** Records the backend server whose event is delivered; the first one decides at which version the stream may go on. */
	noteDelivery(backend: Backend): void {
		if (this.version === undefined) {
			this.version = backend.version;
			this.beganAt = backend;
		}
	}

	/** Records that the backend server at which the stream began is not of the version that the list showed: no other may continue it. */
	noteUnknownVersion(): void {
		this.version = unknownVersion;
	}

	/** Whether a client takes up a stream of which it has received events. */
	get isResumption(): boolean {
		return this.inputs.request.lastEventId !== undefined;
	}

	/** The id of the client's attempt that received the first event of the stream; undefined if the client does not name it. */
	get originalRequestId(): string | undefined {
		const {id, resumedRequestId} = this.inputs.request;
		return this.isResumption ? resumedRequestId : id;
	}

	/** Whether a backend server may run it, as far as the version of its stream decides that. */
	fitsVersion({version}: Backend): boolean {
		return this.version === undefined || version === this.version;
	}

	get priority(): number {
		return this.inputs.account?.priority ?? this.inputs.route.priority;
	}

	remainingMs(nowMs: number): number {
		return this.deadlineAtMs - nowMs;
	}
}
