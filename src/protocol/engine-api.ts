/**
 * The HTTP shapes of a model engine, as its stand-in serves them. Completions follow
 * the OpenAI completions API; the extra fields are those engines offer for serving
 * systems (request ids, priorities, resume, fencing tokens).
 *
 * - `POST /v1/completions` with {@link EngineCompletionRequest}: with `stream: true`,
 *   server-sent events of {@link EngineChunk} ending in `data: [DONE]`; otherwise one
 *   {@link EngineCompletion}.
 * - `GET /load`: {@link EngineLoad}, refreshed with a lag.
 * - `POST /v1/requests/{id}/cancel`: {@link CancelAnswer}.
 * - `POST /v1/requests/{id}/export`: {@link KvSnapshot}; the request's stream ends and its
 *   KV cache is held for an import; 404 when the request is not there.
 * - `POST /v1/kv/import` with {@link KvImport}: the engine pulls a held KV cache from
 *   another engine (`GET /v1/kv/{id}`); a completion with that request id then continues
 *   without prefill.
 * - `POST /v1/orders` with {@link EngineOrder}: 200, or 409 when the fencing token is old.
 *
 * A 503 whose error code is `not_run` says that the engine did not begin the request.
 */

/** A completion request to an engine. */
export type EngineCompletionRequest = {
	model: string;
	prompt: string;
	/** The number of tokens to generate, counted from token 0 even when resuming. */
	max_tokens: number;
	stream?: boolean;
	/** The caller's id for the request, used by cancel. */
	request_id?: string;
	/** Lower numbers are served first; 0 is the default. */
	priority?: number;
	/** Generate from this token index on: the tokens before it were already delivered. */
	resume_from?: number;
};

/** One streamed token. */
export type EngineChunk = {
	id: string;
	object: 'text_completion';
	model: string;
	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- the OpenAI chunk has `finish_reason: null` until the last.
	choices: Array<{index: 0; text: string; finish_reason: 'length' | 'stop' | null}>;
	/** Index of this token in the whole answer. */
	seq: number;
	/** On the first chunk of a run: tokens the engine had to compute before it. */
	prefilled?: number;
};

/** The error code with which an engine says that it did not begin a request. */
export const notRunCode = 'not_run';

/** A KV cache held by an engine: whose it is and how many tokens it covers. */
export type KvSnapshot = {
	requestId: string;
	promptHash: string;
	tokens: number;
};

/** An order to pull a KV cache from the engine at `source`. */
export type KvImport = {
	requestId: string;
	source: string;
};

/** A whole completion. */
export type EngineCompletion = {
	id: string;
	object: 'text_completion';
	model: string;
	choices: Array<{index: 0; text: string; finish_reason: 'length' | 'stop'}>;
	usage: {prompt_tokens: number; completion_tokens: number; total_tokens: number; cached_tokens: number};
};

/** What an engine is doing for the fleet. */
export enum EngineRole {
	/** Takes work for its model. */
	Serving = 'serving',
	/** Finishes what it has and takes no new work. */
	Draining = 'draining',
}

/** The load an engine reports, measured at `measuredAtMs` (its own clock). */
export type EngineLoad = {
	/** The id of the VM it runs on; a VM started later at the same address has another. */
	id: string;
	/** The loaded model; absent while none is. */
	model?: string;
	role: EngineRole;
	running: number;
	waiting: number;
	maxBatch: number;
	cacheBlocksUsed: number;
	cacheBlocks: number;
	measuredAtMs: number;
};

/** The answer to a cancel: whether the request stopped before it finished. */
export type CancelAnswer = {
	cancelled: boolean;
	/** Whether the engine had begun to work on it; false confirms that it never ran. */
	started: boolean;
	tokensSent: number;
};

/** The kinds of order the controller gives an engine. */
export enum OrderKind {
	LoadModel = 'load-model',
	ChangeRole = 'change-role',
}

/** An order to an engine, carrying the controller's fencing token. */
export type EngineOrder = {
	kind: OrderKind;
	fencingToken: number;
	model?: string;
	role?: EngineRole;
};
