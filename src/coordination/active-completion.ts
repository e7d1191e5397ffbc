/**
 * The state of one completion being served: its engine, its progress, and whether it is
 * being moved from a leaving engine to another one.
 */
import {type BackendServer} from '../protocol/gateway-settings.js';
import {type KvSnapshot} from '../protocol/engine-api.js';
import {createLogger} from '../log.js';
import {StalledStreamError} from './errors.js';

const log = createLogger('completions');

/** Time without a token after which a running stream is stalled, in milliseconds. */
export const stallTimeoutMs = 5000;
/** Minimum time between a stream's expected end and the end of its VM, in milliseconds. */
export const finishMarginMs = 1000;

/** A completion request to be served. */
export type CompletionJob = {
	/** Unique per client account; a caller that reconnects sends the same id. */
	requestId: string;
	account: string;
	model: string;
	prompt: string;
	maxTokens: number;
	priority: number;
	/** Index of the first token that the caller still needs; above 0 when it reconnects. */
	resumeFrom: number;
};

/** The state of one completion being served. */
export class ActiveCompletion {
	/** Number of tokens delivered, including those before a reconnect; also the index of the next token. */
	delivered: number;
	/** Number of runs begun on engines. */
	runs = 0;
	/** Number of failed runs. */
	failures = 0;
	/** Whether an engine may have begun the request. */
	mayHaveRun = false;
	/** Ids of the engines on which a run failed. */
	readonly failedEngines = new Set<string>();
	/** The engine of the current run. */
	engine: BackendServer | undefined;
	private runController = new AbortController();
	private pendingExport: Promise<KvSnapshot | undefined> | undefined;
	private exportSource: BackendServer | undefined;
	private vmGoneTimer: NodeJS.Timeout | undefined;
	private stallTimer: NodeJS.Timeout | undefined;
	private firstTokenMs: number | undefined;
	private lastTokenMs = 0;
	private tokensThisRun = 0;

	/** @param canResumeElsewhere Returns whether the stream could resume at another engine now. */
	constructor(
		readonly job: CompletionJob,
		readonly signal: AbortSignal,
		private readonly canResumeElsewhere: (completion: ActiveCompletion) => boolean,
	) {
		this.delivered = job.resumeFrom;
	}

	/** The request's id at the engines, unique across client accounts. */
	get engineRequestId(): string {
		return `${this.job.account}.${this.job.requestId}`;
	}

	get hasDelivered(): boolean {
		return this.delivered > this.job.resumeFrom;
	}

	get hasBegun(): boolean {
		return this.runs > 0;
	}

	/** Begins a run. The returned signal aborts with the request, on a stall, or when the VM has gone. */
	beginRun(engine: BackendServer): AbortSignal {
		this.engine = engine;
		this.runs++;
		this.runController = new AbortController();
		this.pendingExport = undefined;
		this.firstTokenMs = undefined;
		this.tokensThisRun = 0;
		return AbortSignal.any([this.signal, this.runController.signal]);
	}

	/** Ends the current run, whatever its outcome, and closes its connection. */
	endRun(): void {
		clearTimeout(this.vmGoneTimer);
		clearTimeout(this.stallTimer);
		this.runController.abort();
		this.engine = undefined;
	}

	/** Counts a token that was delivered at `nowMs` by the monotonic clock. */
	countToken(nowMs: number): void {
		this.delivered++;
		this.tokensThisRun++;
		this.firstTokenMs ??= nowMs;
		this.lastTokenMs = nowMs;
		this.restartStallTimer();
	}

	/** Aborts the current run after a delay, when its VM is gone, in case the connection hangs. */
	abortAfter(afterMs: number): void {
		clearTimeout(this.vmGoneTimer);
		this.vmGoneTimer = setTimeout(() => {
			this.runController.abort(new StalledStreamError('the VM is gone'));
		}, afterMs);
	}

	/** Whether the stream, at its average token rate in this run, ends at least {@link finishMarginMs} before `leavesAtMs`. */
	willFinishBy(leavesAtMs: number, nowMs: number): boolean {
		if (this.firstTokenMs === undefined || this.tokensThisRun < 2) {
			return false;
		}

		const msPerToken = (this.lastTokenMs - this.firstTokenMs) / (this.tokensThisRun - 1);
		const remainingMs = (this.job.maxTokens - this.delivered) * msPerToken;
		return nowMs + remainingMs + finishMarginMs < leavesAtMs;
	}

	/** Whether the KV cache is being exported or was exported in this run. */
	get isExporting(): boolean {
		return this.pendingExport !== undefined;
	}

	/** Tracks an export of the request's KV cache from its current engine; a failed export may be retried. */
	trackExport(exportResult: Promise<KvSnapshot>): void {
		const {runs} = this;
		this.pendingExport = (async () => {
			try {
				return await exportResult;
			} catch (error) {
				log.warn('KV cache export failed, the stream stays at its engine.', {request: this.job.requestId, engine: this.engine?.id, error: String(error)});
				this.pendingExport = runs === this.runs ? undefined : this.pendingExport;
				return undefined;
			}
		})();
	}

	/** Waits for a pending export; returns whether the run ended because its KV cache was exported. */
	async wasExported(): Promise<boolean> {
		const source = this.engine;
		const snapshot = await this.pendingExport;
		this.pendingExport = undefined;
		this.exportSource = snapshot ? source : undefined;
		return snapshot !== undefined;
	}

	/** Returns the engine that holds the exported KV cache, and clears it. */
	takeExportSource(): BackendServer | undefined {
		const source = this.exportSource;
		this.exportSource = undefined;
		return source;
	}

	/** Aborts the run when it stalls, unless the stream could not resume at another engine: its own engine may still continue. */
	private restartStallTimer(): void {
		clearTimeout(this.stallTimer);
		this.stallTimer = setTimeout(() => {
			if (this.canResumeElsewhere(this)) {
				this.runController.abort(new StalledStreamError(`no token for ${stallTimeoutMs} ms`));
			} else {
				this.restartStallTimer();
			}
		}, stallTimeoutMs);
	}
}
