/**
 * The OpenAI-compatible completion routes, streamed as server-sent events or as one response.
 *
 * The id of each event of a stream is its token's sequence number. After a lost connection,
 * a caller resumes the stream at any gateway: it repeats the request with the stream's
 * `x-request-id` and the last received id as `last-event-id`, and gets the remaining tokens.
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {PassThrough} from 'node:stream';
import type Hapi from '@hapi/hapi';
import {
	Outcome, renderChatPrompt, checkChatRequest, checkCompletionRequest, defaultMaxTokens, createErrorBody,
} from '../protocol/openai.js';
import {tokenizePrompt} from '../protocol/tokens.js';
import {ProtocolError} from '../protocol/errors.js';
import {type Token} from '../coordination/completions.js';
import {type CompletionJob} from '../coordination/active-completion.js';
import {NoBackendError, OutcomeUnknownError} from '../coordination/errors.js';
import {createLogger} from '../log.js';
import {admitRequest, refuseOverLimit} from './caller-admission.js';
import {
	respondWithFailure, refuseRequest, refuseOverloaded, refuseUnknownKey,
} from './caller-responses.js';
import {completedOutcome} from './caller-metrics.js';
import {type AuthenticatedContext} from './caller-context.js';
import {headerValue} from './http-server.js';
import {doneEvent, formatEvent} from './sse.js';

const log = createLogger('gateway');

const requestIdPattern = /^[\w\-]{1,64}$/v;
const engineFailedMessage = 'The engine failed during the request.';

/** A validated completion request of a caller. */
type CallerRequest = {
	job: CompletionJob;
	isChat: boolean;
	isStreaming: boolean;
	createdSeconds: number;
};

/** Adds the completion routes to a server. */
export function addCompletionRoutes(server: Hapi.Server, context: AuthenticatedContext): void {
	server.route({method: 'POST', path: '/v1/chat/completions', handler: async (request, h) => serveCompletion(request, h, context, true)});
	server.route({method: 'POST', path: '/v1/completions', handler: async (request, h) => serveCompletion(request, h, context, false)});
	server.route({
		method: 'GET',
		path: '/v1/models',
		handler: () => ({object: 'list', data: [...context.completions.models()].map(id => ({id, object: 'model', owned_by: 'sesametally'}))}),
	});
}

async function serveCompletion(request: Hapi.Request, h: Hapi.ResponseToolkit, context: AuthenticatedContext, isChat: boolean): Promise<Hapi.ResponseObject> {
	const account = context.findAccount(request);
	if (account === undefined) {
		return refuseUnknownKey(h);
	}

	let caller: CallerRequest;
	try {
		caller = readRequest(request, account, isChat);
	} catch (error) {
		if (error instanceof ProtocolError) {
			return refuseRequest(h, {status: 400, message: error.message, code: 'invalid_request'});
		}

		throw error;
	}

	const {job} = caller;
	if (!context.completions.serves(job.model)) {
		return refuseRequest(h, {status: 404, message: `The model ${job.model} does not exist.`, code: 'model_not_found'});
	}

	const admission = admitRequest(context, account, Date.now());
	if (!admission.admitted) {
		return refuseOverLimit(h, context, account, admission);
	}

	const {metrics} = context;
	const admittedAtMs = performance.now();
	const disconnect = new AbortController();
	request.raw.res.once('close', () => {
		disconnect.abort();
	});
	const tokens = context.completions.stream(job, disconnect.signal);
	let first: IteratorResult<Token>;
	try {
		// The status is sent after the first token, so that a request without one can still be refused.
		first = await tokens.next();
	} catch (error) {
		admission.release();
		metrics.recordEnd(account, error instanceof NoBackendError ? Outcome.NotRun : Outcome.Unknown);
		return respondWithoutToken(h, job, error);
	}

	metrics.recordFirstToken(account, performance.now() - admittedAtMs);
	const allTokens = prependFirst(first, tokens);
	const onEnd = (isComplete: boolean) => {
		admission.release();
		metrics.recordEnd(account, isComplete ? completedOutcome : Outcome.Unknown);
	};

	return caller.isStreaming ? respondStreaming(h, caller, allTokens, {onEnd, signal: disconnect.signal}) : respondWhole(h, caller, allTokens, onEnd);
}

/**
 * Reads and validates a request.
 *
 * @throws {ProtocolError} When the request is malformed.
 */
function readRequest(request: Hapi.Request, account: string, isChat: boolean): CallerRequest {
	const body = isChat ? checkChatRequest(request.payload) : checkCompletionRequest(request.payload);
	const requestId = headerValue(request, 'x-request-id') ?? `req-${randomUUID()}`;
	if (!requestIdPattern.test(requestId)) {
		throw new ProtocolError('x-request-id must be 1 to 64 letters, digits, dashes or underscores');
	}

	const lastEventId = headerValue(request, 'last-event-id');
	const resumeFrom = lastEventId === undefined ? 0 : Number(lastEventId) + 1;
	if (!Number.isSafeInteger(resumeFrom) || resumeFrom < 0) {
		throw new ProtocolError('last-event-id must be the number of the last token received');
	}

	return {
		isChat,
		isStreaming: body.stream ?? false,
		createdSeconds: Math.floor(Date.now() / 1000),
		job: {
			requestId,
			account,
			model: body.model,
			prompt: 'messages' in body ? renderChatPrompt(body.messages) : body.prompt,
			maxTokens: body.max_tokens ?? defaultMaxTokens,
			priority: 0,
			resumeFrom,
		},
	};
}

function respondWithoutToken(h: Hapi.ResponseToolkit, job: CompletionJob, error: unknown): Hapi.ResponseObject {
	log.warn('request failed before its first token.', {request: job.requestId, account: job.account, error: String(error)});
	if (error instanceof NoBackendError) {
		return refuseOverloaded(h, 'No engine can take the request now.');
	}

	if (error instanceof OutcomeUnknownError) {
		return respondWithFailure(h, {
			status: 502, message: engineFailedMessage, code: 'engine_failed', outcome: Outcome.Unknown,
		});
	}

	throw error;
}

async function * prependFirst(first: IteratorResult<Token>, rest: AsyncGenerator<Token>): AsyncGenerator<Token> {
	if (!first.done) {
		yield first.value;
		yield * rest;
	}
}

async function respondWhole(h: Hapi.ResponseToolkit, caller: CallerRequest, tokens: AsyncGenerator<Token>, onEnd: (isComplete: boolean) => void): Promise<Hapi.ResponseObject> {
	const {job, isChat, createdSeconds} = caller;
	let text = '';
	let isComplete = false;
	try {
		for await (const token of tokens) {
			text += token.text;
		}

		isComplete = true;
	} catch (error) {
		log.warn('request failed after dispatch.', {request: job.requestId, error: String(error)});
		return respondWithFailure(h, {
			status: 502, message: engineFailedMessage, code: 'engine_failed', outcome: Outcome.Unknown,
		});
	} finally {
		onEnd(isComplete);
	}

	const promptTokenCount = tokenizePrompt(job.prompt).length;
	const completionTokenCount = job.maxTokens - job.resumeFrom;
	const choice = isChat ? {message: {role: 'assistant', content: text}} : {text};
	return h.response({
		id: job.requestId,
		object: isChat ? 'chat.completion' : 'text_completion',
		created: createdSeconds,
		model: job.model,
		choices: [{index: 0, ...choice, finish_reason: 'length'}],
		usage: {prompt_tokens: promptTokenCount, completion_tokens: completionTokenCount, total_tokens: promptTokenCount + completionTokenCount},
	});
}

function respondStreaming(h: Hapi.ResponseToolkit, caller: CallerRequest, tokens: AsyncGenerator<Token>, {onEnd, signal}: {onEnd: (isComplete: boolean) => void; signal: AbortSignal}): Hapi.ResponseObject {
	const {job} = caller;
	const output = new PassThrough();
	void (async () => {
		let isComplete = false;
		try {
			for await (const token of tokens) {
				if (!output.write(formatEvent(JSON.stringify(renderChunk(caller, token)), token.seq))) {
					await once(output, 'drain', {signal});
				}
			}

			output.write(doneEvent);
			isComplete = true;
		} catch (error) {
			log.warn('stream failed after dispatch.', {request: job.requestId, error: String(error)});
			output.write(formatEvent(JSON.stringify(createErrorBody(engineFailedMessage, 'server_error', 'engine_failed', Outcome.Unknown))));
		} finally {
			onEnd(isComplete);
			output.end();
		}
	})();

	return h.response(output).type('text/event-stream').header('cache-control', 'no-cache').header('x-request-id', job.requestId);
}

function renderChunk({job, isChat, createdSeconds}: CallerRequest, token: Token): Record<string, unknown> {
	const delta = token.seq === 0 ? {role: 'assistant', content: token.text} : {content: token.text};
	return {
		id: job.requestId,
		object: isChat ? 'chat.completion.chunk' : 'text_completion',
		created: createdSeconds,
		model: job.model,
		seq: token.seq,
		choices: [{index: 0, ...(isChat ? {delta} : {text: token.text}), finish_reason: token.isLast ? 'length' : null}],
	};
}
