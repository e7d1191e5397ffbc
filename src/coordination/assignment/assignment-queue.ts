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
		return [...this.queued.values()].map(entry => this.rank(entry, nowMs)).toSorted((a, b) => compareRanks(a, b)).map(({entry}) => entry);
	}

	/** Returns the work that goes before a request if it waits from now on, in milliseconds of one backend server. */
	workAhead(entry: QueuedRequest, nowMs: number): number {
		const rank = this.rank(entry, nowMs);
		let workMs = 0;
		for (const other of this.queued.values()) {
			if (other !== entry && compareRanks(this.rank(other, nowMs), rank) <= 0) {
				workMs += other.workMs;
			}
		}

		return workMs;
	}

	private rank(entry: QueuedRequest, nowMs: number): Rank {
		return {entry, isLate: Number(isLate(entry, nowMs)), virtualTime: this.shares.virtualTime(accountOf(entry.request))};
	}
}

/** What the order of a request depends on at one time. */
type Rank = {entry: QueuedRequest; isLate: number; virtualTime: number};

function compareRanks(a: Rank, b: Rank): number {
	return (a.entry.request.priority - b.entry.request.priority)
		|| (a.isLate - b.isLate)
		|| (Number(b.entry.isReturning) - Number(a.entry.isReturning))
		|| (a.virtualTime - b.virtualTime)
		|| (a.entry.targetAtMs - b.entry.targetAtMs);
}

function accountOf({account}: Pick<AssignmentRequest, 'account'>): string {
	return account ?? noAccount;
}

/** Whether a request can no longer meet its latency target, even if it is assigned now. */
function isLate({targetAtMs, workMs}: QueuedRequest, nowMs: number): boolean {
	return nowMs + workMs > targetAtMs;
}
