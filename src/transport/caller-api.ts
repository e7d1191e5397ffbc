/**
 * The routes callers use: OpenAI-compatible chat completions and completions,
 * streamed as server-sent events or whole, and calls to plain services. A caller's
 * API key maps to its client account; an unknown key is refused before any work.
 */
import {randomUUID} from 'node:crypto';
import {PassThrough} from 'node:stream';
import type Hapi from '@hapi/hapi';
import {
	Outcome, chatPrompt, checkChatRequest, checkCompletionRequest, defaultMaxTokens, errorBody,
} from '../protocol/openai.js';
import {ProtocolError} from '../protocol/errors.js';
import {type BackendServer, BackendKind, type ClientAccount} from '../protocol/settings.js';
import {type Completions, type CompletionJob, type Token} from '../coordination/completions.js';
import {Limits} from '../coordination/admission.js';
import {NoBackendError} from '../coordination/errors.js';
import {Claim, type Journal} from '../coordination/journal.js';
import {type ConfigTable} from '../state/config-table.js';
import {createLogger} from '../log.js';
import {requestJson} from './http-client.js';
import {bearerToken, headerValue} from './http-server.js';
import {doneEvent, formatEvent} from './sse.js';

const log = createLogger('gateway');

/** Seconds a caller is told to wait after a refusal with no better estimate. */
export const defaultRetryAfterSeconds = 1;

/** A refusal before dispatch: the request did not run. */
type Refusal = {
	status: number;
	message: string;
	code: string;
	/** Seconds after which the caller may try again. */
	retryAfterSeconds?: number;
};

/** What the caller routes need from the rest of the gateway. */
export type CallerContext = {
	accounts: ClientAccount[];
	backendServers: BackendServer[];
	completions: Completions;
	limits: Limits;
	config: ConfigTable;
	journal: Journal;
	/** Aborted when the gateway stops; streams in flight are finished first. */
	signal: AbortSignal;
};

/** Adds the caller routes to a server. */
export function addCallerRoutes(server: Hapi.Server, context: CallerContext): void {
	const accountByKey = new Map(context.accounts.flatMap(account => account.apiKeys.map(key => [key, account.name])));

	const authenticate = (request: Hapi.Request): string | undefined => accountByKey.get(bearerToken(request));

	const refuse = (h: Hapi.ResponseToolkit, {status, message, code, retryAfterSeconds}: Refusal) => {
		const type = status < 500 ? 'invalid_request_error' : 'server_error';
		const response = h.response(errorBody(message, type, code, Outcome.NotRun)).code(status).header('x-sesametally-outcome', Outcome.NotRun);
		return retryAfterSeconds === undefined ? response : response.header('retry-after', String(retryAfterSeconds));
	};

	const serveCompletion = async (request: Hapi.Request, h: Hapi.ResponseToolkit, chat: boolean) => {
		const account = authenticate(request);
		if (account === undefined) {
			return refuse(h, {status: 401, message: 'Unknown API key.', code: 'invalid_api_key'});
		}

		let job: CompletionJob;
		let stream: boolean;
		try {
			const body = chat ? checkChatRequest(request.payload) : checkCompletionRequest(request.payload);
			const prompt = 'messages' in body ? chatPrompt(body.messages) : body.prompt;
			stream = body.stream ?? false;
			job = {
				requestId: `req-${randomUUID()}`, account, model: body.model, prompt, maxTokens: body.max_tokens ?? defaultMaxTokens, priority: 0,
			};
		} catch (error) {
			if (error instanceof ProtocolError) {
				return refuse(h, {status: 400, message: error.message, code: 'invalid_request'});
			}

			throw error;
		}

		if (!context.completions.serves(job.model)) {
			return refuse(h, {status: 404, message: `The model ${job.model} does not exist.`, code: 'model_not_found'});
		}

		const admission = context.limits.admit(account, Limits.limitOf(context.config.activePreset, account), Date.now());
		if (!admission.admitted) {
			return refuse(h, {
				status: 429, message: `Client account ${account} is over its ${admission.refusal} limit.`, code: 'rate_limit_exceeded', retryAfterSeconds: Math.ceil(admission.retryAfterMs / 1000),
			});
		}

		const abort = new AbortController();
		request.raw.res.once('close', () => {
			abort.abort();
		});
		const tokens = context.completions.stream(job, abort.signal);
		let first: IteratorResult<Token>;
		try {
			first = await tokens.next();
		} catch (error) {
			admission.release();
			if (error instanceof NoBackendError) {
				log.warn('request refused before dispatch.', {request: job.requestId, account, error: error.message});
				return refuse(h, {
					status: 503, message: 'No engine can take the request now.', code: 'overloaded', retryAfterSeconds: defaultRetryAfterSeconds,
				});
			}

			throw error;
		}

		const created = Math.floor(Date.now() / 1000);
		const render = (token: Token) => chat
			? {
				id: job.requestId,
				object: 'chat.completion.chunk',
				created,
				model: job.model,
				seq: token.seq,
				choices: [{index: 0, delta: token.seq === 0 ? {role: 'assistant', content: token.text} : {content: token.text}, finish_reason: token.last ? 'length' : null}],
			}
			: {
				id: job.requestId, object: 'text_completion', created, model: job.model, seq: token.seq, choices: [{index: 0, text: token.text, finish_reason: token.last ? 'length' : null}],
			};

		if (!stream) {
			let text = first.done ? '' : first.value.text;
			try {
				for await (const token of tokens) {
					text += token.text;
				}
			} catch (error) {
				log.warn('request failed after dispatch.', {request: job.requestId, error: String(error)});
				return h.response(errorBody('The engine failed during the request.', 'server_error', 'engine_failed', Outcome.Unknown)).code(502).header('x-sesametally-outcome', Outcome.Unknown);
			} finally {
				admission.release();
			}

			const usage = {prompt_tokens: 0, completion_tokens: job.maxTokens, total_tokens: job.maxTokens};
			return chat
				? {
					id: job.requestId, object: 'chat.completion', created, model: job.model, choices: [{index: 0, message: {role: 'assistant', content: text}, finish_reason: 'length'}], usage,
				}
				: {
					id: job.requestId, object: 'text_completion', created, model: job.model, choices: [{index: 0, text, finish_reason: 'length'}], usage,
				};
		}

		const out = new PassThrough();
		void (async () => {
			try {
				if (!first.done) {
					out.write(formatEvent(JSON.stringify(render(first.value))));
				}

				for await (const token of tokens) {
					out.write(formatEvent(JSON.stringify(render(token))));
				}

				out.write(doneEvent);
			} catch (error) {
				log.warn('stream failed after dispatch.', {request: job.requestId, error: String(error)});
				out.write(formatEvent(JSON.stringify(errorBody('The engine failed during the stream.', 'server_error', 'engine_failed', Outcome.Unknown))));
			} finally {
				admission.release();
				out.end();
			}
		})();

		return h.response(out).type('text/event-stream').header('cache-control', 'no-cache').header('x-request-id', job.requestId);
	};

	server.route({method: 'POST', path: '/v1/chat/completions', handler: async (request, h) => serveCompletion(request, h, true)});
	server.route({method: 'POST', path: '/v1/completions', handler: async (request, h) => serveCompletion(request, h, false)});
	server.route({
		method: 'GET',
		path: '/v1/models',
		handler() {
			const models = new Set(context.backendServers.filter(backend => backend.kind === BackendKind.Engine).map(backend => backend.name));
			return {object: 'list', data: [...models].map(id => ({id, object: 'model', owned_by: 'sesametally'}))};
		},
	});

	let serviceTurn = 0;
	server.route({
		method: 'POST',
		path: '/v1/services/{name}/{call}',
		async handler(request, h) {
			const account = authenticate(request);
			if (account === undefined) {
				return refuse(h, {status: 401, message: 'Unknown API key.', code: 'invalid_api_key'});
			}

			const name = request.params.name as string;
			const targets = context.backendServers.filter(backend => backend.kind === BackendKind.Service && backend.name === name && !context.config.drained.has(backend.id));
			if (targets.length === 0) {
				return refuse(h, {
					status: 503, message: `No backend server of service ${name} is available.`, code: 'overloaded', retryAfterSeconds: defaultRetryAfterSeconds,
				});
			}

			const target = targets[serviceTurn++ % targets.length];
			const idempotent = headerValue(request, 'x-sesametally-idempotent') !== 'false';
			const givenKey = headerValue(request, 'idempotency-key');
			if (!idempotent) {
				if (givenKey === undefined) {
					return refuse(h, {status: 400, message: 'A non-idempotent call needs an idempotency-key header.', code: 'idempotency_key_missing'});
				}

				const claim = await context.journal.claim(account, givenKey, name, context.signal);
				if (claim === Claim.Taken) {
					const message = `Idempotency key ${givenKey} was already submitted; that call's outcome is not known here.`;
					const body = errorBody(message, 'invalid_request_error', 'idempotency_key_in_use', Outcome.Unknown);
					return h.response(body).code(409).header('x-sesametally-outcome', Outcome.Unknown);
				}

				if (claim !== Claim.Won) {
					return refuse(h, {
						status: 503, message: 'The call could not be recorded before dispatch; it did not run.', code: 'journal_unavailable', retryAfterSeconds: defaultRetryAfterSeconds,
					});
				}
			}

			const key = givenKey ?? `${account}-${randomUUID()}`;
			try {
				const answer = await requestJson({
					method: 'POST', url: `${target.url}/v1/${request.params.call as string}`, payload: request.payload ?? {}, headers: {'idempotency-key': key},
				});
				return h.response(answer.body as Record<string, unknown>).code(answer.statusCode);
			} catch (error) {
				log.warn('service call outcome unknown.', {
					service: name, backend: target.id, key, error: String(error),
				});
				const body = errorBody('The service call may or may not have run.', 'server_error', 'outcome_unknown', Outcome.Unknown);
				return h.response(body).code(502).header('x-sesametally-outcome', Outcome.Unknown);
			}
		},
	});
}
