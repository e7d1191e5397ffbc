/**
 * The OpenAI API shapes the gateway serves to callers, so that any OpenAI client
 * works unchanged: chat completions, completions, streamed chunks, error bodies.
 */
import {compileCheck} from './schema.js';

/** A chat message. */
export type ChatMessage = {role: string; content: string};

/** `POST /v1/chat/completions`. */
export type ChatCompletionRequest = {
	model: string;
	messages: ChatMessage[];
	max_tokens?: number;
	stream?: boolean;
};

/** `POST /v1/completions`. */
export type CompletionRequest = {
	model: string;
	prompt: string;
	max_tokens?: number;
	stream?: boolean;
};

/** How the gateway tells callers what became of a request that failed, in header `x-sesametally-outcome`. */
export enum Outcome {
	/** Refused before dispatch: it did not run. */
	NotRun = 'not-run',
	/** It may have run: do not assume either way. */
	Unknown = 'unknown',
}

/** An OpenAI-style error body. */
export type ErrorBody = {
	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- the OpenAI error body has `param: null`.
	error: {message: string; type: string; code: string; param: null; outcome?: Outcome};
};

/** Builds an OpenAI-style error body. */
export function errorBody(message: string, type: string, code: string, outcome?: Outcome): ErrorBody {
	return {
		error: {
			message, type, code, param: null, outcome,
		},
	};
}

/** The default number of tokens to generate when a request names none. */
export const defaultMaxTokens = 64;

const messageSchema = {
	type: 'object',
	properties: {role: {type: 'string'}, content: {type: 'string'}},
	required: ['role', 'content'],
};

/** Checks a chat completion request. */
export const checkChatRequest = compileCheck<ChatCompletionRequest>({
	type: 'object',
	properties: {
		model: {type: 'string', minLength: 1},
		messages: {type: 'array', items: messageSchema, minItems: 1},
		max_tokens: {type: 'integer', minimum: 1, maximum: 32_768},
		stream: {type: 'boolean'},
	},
	required: ['model', 'messages'],
}, 'chat completion request');

/** Checks a completion request. */
export const checkCompletionRequest = compileCheck<CompletionRequest>({
	type: 'object',
	properties: {
		model: {type: 'string', minLength: 1},
		prompt: {type: 'string'},
		max_tokens: {type: 'integer', minimum: 1, maximum: 32_768},
		stream: {type: 'boolean'},
	},
	required: ['model', 'prompt'],
}, 'completion request');

/** Renders chat messages as the prompt given to an engine. */
export function chatPrompt(messages: ChatMessage[]): string {
	return messages.map(message => `${message.role}: ${message.content}`).join('\n');
}
