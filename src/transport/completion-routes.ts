/**
 * The OpenAI-compatible completion routes, streamed as server-sent events or whole.
 *
 * Each event of a stream carries its token's number as its id. A caller whose connection
 * broke sends the same request again, to any gateway, with the stream's `x-request-id`
 * and the last id it saw as `last-event-id`, and gets the rest.
 */
import {randomUUID} from 'node:crypto';
import {PassThrough} from 'node:stream';
import type Hapi from '@hapi/hapi';
import {
	Outcome, chatPrompt, checkChatRequest, checkCompletionRequest, defaultMaxTokens, errorBody,
} from '../protocol/openai.js';
import {promptTokens} from '../protocol/tokens.js';
import {ProtocolError} from '../protocol/errors.js';
import {type Token} from '../coordination/completions.js';
import {type CompletionJob} from '../coordination/flight.js';
import {NoBackendError, OutcomeUnknownError} from '../coordination/errors.js';
import {createLogger} from '../log.js';
import {admitCaller, refuseOverLimit} from './caller-admission.js';
import {
	answerFailure, refuse, refuseOverloaded, refuseUnknownKey,
} from './caller-answers.js';
import {answeredWhole} from './caller-metrics.js';
import {type AuthenticatedContext} from './caller-context.js';
import {headerValue} from './http-server.js';
import {doneEvent, formatEvent} from './sse.js';

const log = createLogger('gateway');

const requestIdPattern = /^[\w\-]{1,64}$/v;
const engineFailedMessage = 'The engine failed during the request.';

/** A completion request as a caller made it. */
type CallerRequest = {
	job: CompletionJob;
	chat: boolean;
	stream: boolean;
	createdSeconds: number;
};

/** Adds the completion routes to a server. */
export function addCompletionRoutes(server: Hapi.Server, context: AuthenticatedContext): void {
	server.route({method: 'POST', path: '/v1/chat/completions', handler: async (request, h) => serve(request, h, context, true)});
	server.route({method: 'POST', path: '/v1/completions', handler: async (request, h) => serve(request, h, context, false)});
	server.route({
		method: 'GET',
		path: '/v1/models',
		handler: () => ({object: 'list', data: [...context.completions.models()].map(id => ({id, object: 'model', owned_by: 'sesametally'}))}),
	});
}

async function serve(request: Hapi.Request, h: Hapi.ResponseToolkit, context: AuthenticatedContext, chat: boolean): Promise<Hapi.ResponseObject> {
	const account = context.accountOf(request);
	if (account === undefined) {
		return refuseUnknownKey(h);
	}

	let caller: CallerRequest;
	try {
		caller = readRequest(request, account, chat);
	} catch (error) {
		if (error instanceof ProtocolError) {
			return refuse(h, {status: 400, message: error.message, code: 'invalid_request'});
		}

		throw error;
	}

	const {job} = caller;
	if (!context.completions.serves(job.model)) {
		return refuse(h, {status: 404, message: `The model ${job.model} does not exist.`, code: 'model_not_found'});
	}

	const admission = admitCaller(context, account, Date.now());
	if (!admission.admitted) {
		return refuseOverLimit(h, context, account, admission);
	}

	const {metrics} = context;
	const admittedMs = performance.now();
	const abort = new AbortController();
	request.raw.res.once('close', () => {
		abort.abort();
	});
	const tokens = context.completions.stream(job, abort.signal);
	let first: IteratorResult<Token>;
	try {
		// The answer's status waits for the first token, so that a refusal can still be told.
		first = await tokens.next();
	} catch (error) {
		admission.release();
		metrics.noteEnd(account, error instanceof NoBackendError ? Outcome.NotRun : Outcome.Unknown);
		return answerNoFirstToken(h, job, error);
	}

	metrics.noteFirstToken(account, performance.now() - admittedMs);
	const rest = withFirst(first, tokens);
	const onEnd = (isWhole: boolean) => {
		admission.release();
		metrics.noteEnd(account, isWhole ? answeredWhole : Outcome.Unknown);
	};

	return caller.stream ? answerStream(h, caller, rest, onEnd) : answerWhole(h, caller, rest, onEnd);
}

/** @throws {ProtocolError} When the request is malformed. */
function readRequest(request: Hapi.Request, account: string, chat: boolean): CallerRequest {
	const body = chat ? checkChatRequest(request.payload) : checkCompletionRequest(request.payload);
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
		chat,
		stream: body.stream ?? false,
		createdSeconds: Math.floor(Date.now() / 1000),
		job: {
			requestId,
			account,
			model: body.model,
			prompt: 'messages' in body ? chatPrompt(body.messages) : body.prompt,
			maxTokens: body.max_tokens ?? defaultMaxTokens,
			priority: 0,
			resumeFrom,
		},
	};
}

function answerNoFirstToken(h: Hapi.ResponseToolkit, job: CompletionJob, error: unknown): Hapi.ResponseObject {
	log.warn('request given up before its first token.', {request: job.requestId, account: job.account, error: String(error)});
	if (error instanceof NoBackendError) {
		return refuseOverloaded(h, 'No engine can take the request now.');
	}

	if (error instanceof OutcomeUnknownError) {
		return answerFailure(h, {
			status: 502, message: engineFailedMessage, code: 'engine_failed', outcome: Outcome.Unknown,
		});
	}

	throw error;
}

async function * withFirst(first: IteratorResult<Token>, rest: AsyncGenerator<Token>): AsyncGenerator<Token> {
	if (!first.done) {
		yield first.value;
		yield * rest;
	}
}

async function answerWhole(h: Hapi.ResponseToolkit, caller: CallerRequest, tokens: AsyncGenerator<Token>, onEnd: (isWhole: boolean) => void): Promise<Hapi.ResponseObject> {
	const {job, chat, createdSeconds} = caller;
	let text = '';
	let isWhole = false;
	try {
		for await (const token of tokens) {
			text += token.text;
		}

		isWhole = true;
	} catch (error) {
		log.warn('request failed after dispatch.', {request: job.requestId, error: String(error)});
		return answerFailure(h, {
			status: 502, message: engineFailedMessage, code: 'engine_failed', outcome: Outcome.Unknown,
		});
	} finally {
		onEnd(isWhole);
	}

	const promptCount = promptTokens(job.prompt).length;
	const completionCount = job.maxTokens - job.resumeFrom;
	const choice = chat ? {message: {role: 'assistant', content: text}} : {text};
	return h.response({
		id: job.requestId,
		object: chat ? 'chat.completion' : 'text_completion',
		created: createdSeconds,
		model: job.model,
		choices: [{index: 0, ...choice, finish_reason: 'length'}],
		usage: {prompt_tokens: promptCount, completion_tokens: completionCount, total_tokens: promptCount + completionCount},
	});
}

function answerStream(h: Hapi.ResponseToolkit, caller: CallerRequest, tokens: AsyncGenerator<Token>, onEnd: (isWhole: boolean) => void): Hapi.ResponseObject {
	const {job} = caller;
	const out = new PassThrough();
	void (async () => {
		let isWhole = false;
		try {
			for await (const token of tokens) {
				out.write(formatEvent(JSON.stringify(renderChunk(caller, token)), token.seq));
			}

			out.write(doneEvent);
			isWhole = true;
		} catch (error) {
			log.warn('stream failed after dispatch.', {request: job.requestId, error: String(error)});
			out.write(formatEvent(JSON.stringify(errorBody(engineFailedMessage, 'server_error', 'engine_failed', Outcome.Unknown))));
		} finally {
			onEnd(isWhole);
			out.end();
		}
	})();

	return h.response(out).type('text/event-stream').header('cache-control', 'no-cache').header('x-request-id', job.requestId);
}

function renderChunk({job, chat, createdSeconds}: CallerRequest, token: Token): Record<string, unknown> {
	const delta = token.seq === 0 ? {role: 'assistant', content: token.text} : {content: token.text};
	return {
		id: job.requestId,
		object: chat ? 'chat.completion.chunk' : 'text_completion',
		created: createdSeconds,
		model: job.model,
		seq: token.seq,
		choices: [{index: 0, ...(chat ? {delta} : {text: token.text}), finish_reason: token.last ? 'length' : null}],
	};
}
