/**
 * Orders the requests that wait for a backend server of a group: the most urgent first; among
 * these, those that can still meet their latency target, those that came back after a refusal,
 * the account that has received least, and the earliest target.
 */
import {type AssignmentId, type AssignmentRequest} from '../../protocol/assignment.js';
import {AccountShares} from './account-shares.js';

/** A request that waits. */
export type QueuedRequest = {
	request: AssignmentRequest;
	queuedAtMs: number;
	/** When its daemon is told a new prediction. */
	noticeAtMs: number;
	targetAtMs: number;
	deadlineAtMs: number;
	/** Predicted time of the request's own work, in milliseconds. */
	workMs: number;
	isReturning: boolean;
};

/** The name under which requests without an account share what is short. */
const noAccount = '';

/** Returns a key that identifies a request of any daemon. */
export function keyOf({daemon, incarnation, id}: AssignmentId): string {
	return `${daemon} ${incarnation} ${id}`;
}

/** The requests that wait for a backend server of one group. */
export class AssignmentQueue {
	private readonly queued = new Map<string, QueuedRequest>();
	private readonly shares = new AccountShares();

	get size(): number {
		return this.queued.size;
	}

	get isEmpty(): boolean {
		return this.queued.size === 0;
	}

	values(): Iterable<QueuedRequest> {
		return this.queued.values();
	}

	get(id: AssignmentId): QueuedRequest | undefined {
		return this.queued.get(keyOf(id));
	}

	add(entry: QueuedRequest): void {
		const account = accountOf(entry.request);
		const waiting = new Set([...this.queued.values()].map(({request}) => accountOf(request)));
		if (!waiting.has(account)) {
			this.shares.noteWaiting(account, waiting);
		}

		this.queued.set(keyOf(entry.request), entry);
	}

	remove(id: AssignmentId): QueuedRequest | undefined {
		const key = keyOf(id);
		const entry = this.queued.get(key);
		this.queued.delete(key);
		if (this.isEmpty) {
			this.shares.reset();
		}

		return entry;
	}

	/** Records that a request is assigned while others wait. */
	charge({cost, accountWeight, ...request}: AssignmentRequest): void {
		if (!this.isEmpty) {
			this.shares.charge(accountOf(request), cost, accountWeight);
		}
	}

	/** Returns the waiting requests, the first to be assigned first. */
	ordered(nowMs: number): QueuedRequest[] {
		return [...this.queued.values()].toSorted((a, b) => this.compare(a, b, nowMs));
	}

	/** Returns the work that goes before a request if it waits from now on, in milliseconds of one backend server. */
	workAhead(entry: QueuedRequest, nowMs: number): number {
		let workMs = 0;
		for (const other of this.queued.values()) {
			if (other !== entry && this.compare(other, entry, nowMs) <= 0) {
				workMs += other.workMs;
			}
		}

		return workMs;
	}

	private compare(a: QueuedRequest, b: QueuedRequest, nowMs: number): number {
		return (a.request.priority - b.request.priority)
			|| (Number(isLate(a, nowMs)) - Number(isLate(b, nowMs)))
			|| (Number(b.isReturning) - Number(a.isReturning))
			|| (this.shares.virtualTime(accountOf(a.request)) - this.shares.virtualTime(accountOf(b.request)))
			|| (a.targetAtMs - b.targetAtMs);
	}
}

function accountOf({account}: Pick<AssignmentRequest, 'account'>): string {
	return account ?? noAccount;
}

/** Whether a request can no longer meet its latency target, even if it is assigned now. */
function isLate({targetAtMs, workMs}: QueuedRequest, nowMs: number): boolean {
	return nowMs + workMs > targetAtMs;
}
