/**
 * The HTTP messages of a model engine, as its stand-in serves them. Completions follow
 * the OpenAI completions API, with the additional fields that engines offer to serving
 * systems (request ids, priorities, resumption, fencing tokens).
 *
 * - `POST /v1/completions` with {@link EngineCompletionRequest}: with `stream: true`,
 *   server-sent events of {@link EngineChunk} ending in `data: [DONE]`; otherwise one
 *   {@link EngineCompletion}.
 * - `GET /load`: {@link EngineLoad}, which is updated with a delay.
 * - `POST /v1/requests/{id}/cancel`: {@link CancelAnswer}.
 * - `POST /v1/requests/{id}/export`: {@link KvSnapshot}; the request's stream ends and its
 *   KV cache is held for an import; 404 when the engine has no such request.
 * - `POST /v1/kv/import` with {@link KvImport}: the engine pulls a held KV cache from
 *   another engine (`GET /v1/kv/{id}`); a completion with that request id then continues
 *   without prefill.
 * - `POST /v1/orders` with {@link EngineOrder}: 200, or 409 when the fencing token is outdated.
 *
 * A 503 with the error code `not_run` means that the engine did not begin the request.
 */

/** A completion request to an engine. */
export type EngineCompletionRequest = {
	model: string;
	prompt: string;
	/** The length of the whole answer in tokens; a resumed request counts the tokens before `resume_from` too. */
	max_tokens: number;
	stream?: boolean;
	/** The gateway's id of the request; cancel, export and import refer to it. */
	request_id?: string;
	/** Requests with lower numbers are served first; 0 is the default. */
	priority?: number;
	/** Index of the first token to generate; the tokens before it were already delivered. */
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
	/** On the first chunk of a run: the number of tokens that the engine had to prefill before it. */
	prefilled?: number;
};

/** The error code of an engine that did not begin a request. */
export const notRunCode = 'not_run';

/** A KV cache that an engine holds: the request that it belongs to and the number of tokens that it covers. */
export type KvSnapshot = {
	requestId: string;
	promptHash: string;
	tokens: number;
};

/** A request to pull a KV cache from the engine at the URL `source`. */
export type KvImport = {
	requestId: string;
	source: string;
};

/** A completion that is not streamed. */
export type EngineCompletion = {
	id: string;
	object: 'text_completion';
	model: string;
	choices: Array<{index: 0; text: string; finish_reason: 'length' | 'stop'}>;
	usage: {prompt_tokens: number; completion_tokens: number; total_tokens: number; cached_tokens: number};
};

/** Whether an engine accepts new work. */
export enum EngineRole {
	/** Accepts requests for its model. */
	Serving = 'serving',
	/** Finishes its running requests and accepts no new ones. */
	Draining = 'draining',
}

/** The load that an engine reports, measured at `measuredAtMs` of its own clock. */
export type EngineLoad = {
	/** The id of the VM on which it runs; a VM that is started later at the same address has another id. */
	id: string;
	/** The loaded model; absent while none is loaded. */
	model?: string;
	role: EngineRole;
	running: number;
	waiting: number;
	maxBatch: number;
	cacheBlocksUsed: number;
	cacheBlocks: number;
	measuredAtMs: number;
};

/** The answer to a cancellation. */
export type CancelAnswer = {
	/** Whether the request was stopped before it finished. */
	cancelled: boolean;
	/** Whether the engine had begun to run the request; false confirms that it never ran. */
	started: boolean;
	tokensSent: number;
};

/** The kinds of order that the controller sends to an engine. */
export enum OrderKind {
	LoadModel = 'load-model',
	ChangeRole = 'change-role',
}

/** An order to an engine, with the controller's fencing token. */
export type EngineOrder = {
	kind: OrderKind;
	fencingToken: number;
	model?: string;
	role?: EngineRole;
};
