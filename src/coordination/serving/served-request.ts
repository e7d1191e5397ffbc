/** One caller's request while it is being served, and what its log line will say. */
import {type ServerResponse} from 'node:http';
import {
	type Account, type CallerRequest, RequestKind, type Route,
} from '../../protocol/serving.js';
import {type Choice} from '../placement.js';
import {fingerprintOf} from '../quarantine/request-fingerprint.js';

/** One request sent to a backend server. */
export type Attempt = {backendId: string; costMs: number; atMs: number; result: string};

/** What a request is served from. */
export type ServedInputs = {
	request: CallerRequest;
	route: Route;
	/** The service its route selected for it. */
	service: string;
	account: Account | undefined;
	body: Uint8Array;
	response: ServerResponse;
	/** Aborts when the client has gone. */
	signal: AbortSignal;
	arrivedAtMs: number;
	configVersion: number;
	/** Its identity over the client's attempts, where it is known already. */
	fingerprint?: number;
};

/** A backend server for a request's next run, and a place in the repeat allowance taken for it. */
export type Successor = {
	choice: Pick<Choice, 'backend' | 'costMs' | 'copyFrom'>;
	heldAtMs: number;
	/** Whether the run is counted at the limit of its backend server already. */
	isClaimed: boolean;
};

/** A request being served. */
export class ServedRequest {
	readonly attempts: Attempt[] = [];
	/** Backend servers that failed it. */
	readonly excluded = new Set<string>();
	/** When its answer is of no use any more. */
	readonly deadlineAtMs: number;
	/** Whether a backend server may have begun to run it. */
	mayHaveRun = false;
	/** Backend servers it may have run on. */
	runs = 0;
	/** Arrivals at backend servers, refused ones included. */
	arrivals = 0;
	/** What takes over from the run in progress, held before that is given up. */
	successor: Successor | undefined;
	/** Whether it was counted as begun for the usage reports. */
	isCounted = false;
	/** Done once it is known whether the backend server at which its last run broke off has ended. */
	crashCheck: Promise<void> | undefined;
	private hashed: number | undefined;

	constructor(readonly inputs: ServedInputs) {
		const {request, route, arrivedAtMs} = inputs;
		this.deadlineAtMs = arrivedAtMs + Math.min(request.deadlineMs ?? route.timeoutMs, route.timeoutMs);
	}

	/** Whether it may run a second time. */
	get isRepeatable(): boolean {
		const {kind, isResumable} = this.inputs.route;
		return kind === RequestKind.Idempotent || (kind === RequestKind.Streaming && isResumable);
	}

	/** Whether the route lets one more backend server run it. */
	get mayRunAgain(): boolean {
		return this.isRepeatable && this.runs < this.inputs.route.attempts;
	}

	/** Its identity over the client's attempts; hashed on first use, since few requests are ever asked for it. */
	get fingerprint(): number {
		const {account, request, body} = this.inputs;
		this.hashed ??= this.inputs.fingerprint ?? fingerprintOf({
			account: account?.name, host: request.host, method: request.method, path: request.path, body,
		});
		return this.hashed;
	}

	get priority(): number {
		return this.inputs.account?.priority ?? this.inputs.route.priority;
	}

	remainingMs(nowMs: number): number {
		return this.deadlineAtMs - nowMs;
	}
}
