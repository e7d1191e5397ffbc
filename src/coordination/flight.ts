/**
 * One completion being served: where it runs, how far it is, and whether it is being
 * moved away from a leaving engine.
 */
import {type BackendServer} from '../protocol/gateway-settings.js';
import {type KvSnapshot} from '../protocol/engine-api.js';
import {createLogger} from '../log.js';
import {StalledStreamError} from './errors.js';

const log = createLogger('completions');

/** Longest pause between two tokens of a running stream, in milliseconds. */
export const stallTimeoutMs = 5000;
/** Slack kept between a stream's expected end and its VM's, in milliseconds. */
export const finishMarginMs = 1000;

/** A completion as the gateway serves it. */
export type CompletionJob = {
	/** Unique per client account; a caller that reconnects gives the same one. */
	requestId: string;
	account: string;
	model: string;
	prompt: string;
	maxTokens: number;
	priority: number;
	/** The first token the caller still needs: above 0 when it reconnects. */
	resumeFrom: number;
};

/** The state of one completion being served. */
export class ActiveCompletion {
	/** The next token the caller needs. */
	delivered: number;
	/** Runs begun on engines so far. */
	runs = 0;
	failures = 0;
	/** Whether an engine may have begun the request. */
	mayHaveRun = false;
	readonly failedEngines = new Set<string>();
	/** The engine of the run in progress. */
	engine: BackendServer | undefined;
	private runController = new AbortController();
	private pendingExport: Promise<KvSnapshot | undefined> | undefined;
	private exportSource: BackendServer | undefined;
	private vmGoneTimer: NodeJS.Timeout | undefined;
	private stallTimer: NodeJS.Timeout | undefined;
	private firstTokenMs: number | undefined;
	private lastTokenMs = 0;
	private tokensThisRun = 0;

	/** @param canResumeElsewhere Whether an engine could go on with it now. */
	constructor(
		readonly job: CompletionJob,
		readonly signal: AbortSignal,
		private readonly canResumeElsewhere: (flight: ActiveCompletion) => boolean,
	) {
		this.delivered = job.resumeFrom;
	}

	/** The request's id at the engines, unique over client accounts. */
	get engineRequestId(): string {
		return `${this.job.account}.${this.job.requestId}`;
	}

	get hasDelivered(): boolean {
		return this.delivered > this.job.resumeFrom;
	}

	get hasBegun(): boolean {
		return this.runs > 0;
	}

	/** Begins a run; its signal aborts with the request, on a stall, or when the VM goes. */
	beginRun(engine: BackendServer): AbortSignal {
		this.engine = engine;
		this.runs++;
		this.runController = new AbortController();
		this.pendingExport = undefined;
		this.firstTokenMs = undefined;
		this.tokensThisRun = 0;
		return AbortSignal.any([this.signal, this.runController.signal]);
	}

	/** Ends the run in progress, however it ended, and closes its connection. */
	endRun(): void {
		clearTimeout(this.vmGoneTimer);
		clearTimeout(this.stallTimer);
		this.runController.abort();
		this.engine = undefined;
	}

	/** Counts a token delivered at `nowMs` (monotonic). */
	noteToken(nowMs: number): void {
		this.delivered++;
		this.tokensThisRun++;
		this.firstTokenMs ??= nowMs;
		this.lastTokenMs = nowMs;
		this.restartStallTimer();
	}

	/** Aborts the run when its VM goes, should its connection hang. */
	abortAfter(afterMs: number): void {
		clearTimeout(this.vmGoneTimer);
		this.vmGoneTimer = setTimeout(() => {
			this.runController.abort(new StalledStreamError('the VM is gone'));
		}, afterMs);
	}

	/** Whether, at its pace so far, the stream ends well before `leavesAtMs`. */
	willFinishBy(leavesAtMs: number, nowMs: number): boolean {
		if (this.firstTokenMs === undefined || this.tokensThisRun < 2) {
			return false;
		}

		const msPerToken = (this.lastTokenMs - this.firstTokenMs) / (this.tokensThisRun - 1);
		const remainingMs = (this.job.maxTokens - this.delivered) * msPerToken;
		return nowMs + remainingMs + finishMarginMs < leavesAtMs;
	}

	/** Whether the KV cache is being exported, or was. */
	get isExporting(): boolean {
		return this.pendingExport !== undefined;
	}

	/** Notes that the request's KV cache is being exported from its engine; one that fails may be tried again. */
	startExport(exporting: Promise<KvSnapshot>): void {
		const {runs} = this;
		this.pendingExport = (async () => {
			try {
				return await exporting;
			} catch (error) {
				log.warn('KV cache not exported, the stream stays.', {request: this.job.requestId, engine: this.engine?.id, error: String(error)});
				this.pendingExport = runs === this.runs ? undefined : this.pendingExport;
				return undefined;
			}
		})();
	}

	/** Whether the run ended because its KV cache was exported. */
	async wasExported(): Promise<boolean> {
		const source = this.engine;
		const snapshot = await this.pendingExport;
		this.pendingExport = undefined;
		this.exportSource = snapshot ? source : undefined;
		return snapshot !== undefined;
	}

	/** Takes the engine that holds the exported KV cache, once. */
	takeExportSource(): BackendServer | undefined {
		const source = this.exportSource;
		this.exportSource = undefined;
		return source;
	}

	/** Ends the run after a pause, unless nothing could go on with it: the engine may still. */
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
