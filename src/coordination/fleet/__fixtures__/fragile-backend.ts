/** A backend server in simulated time that fails when it has to refuse too many requests within a second. */

/** Time over which refusals are counted, in milliseconds. */
const refusalWindowMs = 1000;
/** Time for which a failed backend server is gone, in milliseconds. */
const downMs = 3000;
/** Time after which a run whose connection was closed is dropped, in milliseconds. */
const dropDelayMs = 300;

/** What a backend server does with a request. */
export type RequestListener = {
	/** It answers; the request has run or was refused. */
	onAnswer: (isRefusal: boolean) => void;
	/** It has failed, and the connection breaks. */
	onBreak: () => void;
};

/** A request at a backend server. */
export type FragileRun = RequestListener & {endsAtMs: number | undefined; droppedAtMs: number | undefined};

/** The properties of a backend server. */
export type FragileBackendOptions = {slots: number; queue: number; runMs: number; refusalsPerSecond: number};

/** Runs as many requests as it has slots, queues a few more, and refuses the rest. */
export class FragileBackend {
	failures = 0;
	/** Whether refusals count towards a failure yet. */
	isFragile = false;
	private refusals: number[] = [];
	private running: FragileRun[] = [];
	private queued: FragileRun[] = [];
	/** What has arrived while it was silent. */
	private readonly unread: FragileRun[] = [];
	private silentUntilMs = Number.NEGATIVE_INFINITY;
	private downUntilMs = Number.NEGATIVE_INFINITY;

	constructor(readonly id: string, readonly options: FragileBackendOptions) {}

	/** Number of requests that run or wait here. */
	get load(): number {
		return this.running.length + this.queued.length;
	}

	isDown(nowMs: number): boolean {
		return nowMs < this.downUntilMs;
	}

	/** From now on does nothing for a time; what arrives meanwhile waits unread. */
	fallSilent(forMs: number, nowMs: number): void {
		this.silentUntilMs = nowMs + forMs;
	}

	/** Receives a request; returns undefined, and calls nothing, while it is down. */
	receive(listener: RequestListener, nowMs: number): FragileRun | undefined {
		if (this.isDown(nowMs)) {
			return undefined;
		}

		const run: FragileRun = {...listener, endsAtMs: undefined, droppedAtMs: undefined};
		if (nowMs < this.silentUntilMs) {
			this.unread.push(run);
		} else {
			this.accept(run, nowMs);
		}

		return run;
	}

	/** Notes that the connection of a request was closed by the daemon. */
	close(run: FragileRun, nowMs: number): void {
		run.droppedAtMs = nowMs + dropDelayMs;
	}

	step(nowMs: number): void {
		if (nowMs < this.silentUntilMs) {
			return;
		}

		for (const run of this.unread.splice(0)) {
			this.accept(run, nowMs);
		}

		const ended = this.running.filter(run => run.endsAtMs! <= nowMs || isDropped(run, nowMs));
		this.running = this.running.filter(run => !ended.includes(run));
		this.queued = this.queued.filter(run => !isDropped(run, nowMs));
		for (const run of ended) {
			if (run.droppedAtMs === undefined) {
				run.onAnswer(false);
			}
		}

		while (this.running.length < this.options.slots && this.queued.length > 0) {
			this.begin(this.queued.shift()!, nowMs);
		}
	}

	private accept(run: FragileRun, nowMs: number): void {
		const {slots, queue, refusalsPerSecond} = this.options;
		if (this.isDown(nowMs)) {
			run.onBreak();
		} else if (this.running.length < slots) {
			this.begin(run, nowMs);
		} else if (this.queued.length < queue) {
			this.queued.push(run);
		} else {
			this.refusals = [...this.refusals.filter(atMs => nowMs - atMs < refusalWindowMs), nowMs];
			run.onAnswer(true);
			if (this.isFragile && this.refusals.length > refusalsPerSecond) {
				this.fail(nowMs);
			}
		}
	}

	private begin(run: FragileRun, nowMs: number): void {
		run.endsAtMs = nowMs + this.options.runMs;
		this.running.push(run);
	}

	private fail(nowMs: number): void {
		this.failures++;
		this.downUntilMs = nowMs + downMs;
		const broken = [...this.running, ...this.queued];
		this.running = [];
		this.queued = [];
		this.refusals = [];
		for (const run of broken) {
			run.onBreak();
		}
	}
}

function isDropped({droppedAtMs}: FragileRun, nowMs: number): boolean {
	return droppedAtMs !== undefined && droppedAtMs <= nowMs;
}
