/**
 * The messages of the OpenAI API that the gateway serves, so that OpenAI clients work
 * unchanged: chat completions, completions, streamed chunks and error bodies.
 */
import {compileCheck} from './schema.js';

/** A chat message. */
export type ChatMessage = {role: string; content: string};

/** The body of `POST /v1/chat/completions`. */
export type ChatCompletionRequest = {
	model: string;
	messages: ChatMessage[];
	max_tokens?: number;
	stream?: boolean;
};

/** The body of `POST /v1/completions`. */
export type CompletionRequest = {
	model: string;
	prompt: string;
	max_tokens?: number;
	stream?: boolean;
};

/** The outcome of a failed request, which the gateway states in the header `x-sesametally-outcome`. */
export enum Outcome {
	/** The request was refused before dispatch and did not run. */
	NotRun = 'not-run',
	/** The request may or may not have run. */
	Unknown = 'unknown',
}

/** An OpenAI-style error body. */
export type ErrorBody = {
	// eslint-disable-next-line @typescript-eslint/no-restricted-types -- the OpenAI error body has `param: null`.
	error: {message: string; type: string; code: string; param: null; outcome?: Outcome};
};

/** Builds an OpenAI-style error body. */
export function createErrorBody(message: string, type: string, code: string, outcome?: Outcome): ErrorBody {
	return {
		error: {
			message, type, code, param: null, outcome,
		},
	};
}

/** The default number of tokens to generate when a request names none. */
export const defaultMaxTokens = 64;

const chatMessageSchema = {
	type: 'object',
	properties: {role: {type: 'string'}, content: {type: 'string'}},
	required: ['role', 'content'],
};

/** Checks a chat completion request. */
export const checkChatRequest = compileCheck<ChatCompletionRequest>({
	type: 'object',
	properties: {
		model: {type: 'string', minLength: 1},
		messages: {type: 'array', items: chatMessageSchema, minItems: 1},
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

/** Renders chat messages as a prompt for an engine. */
export function renderChatPrompt(messages: ChatMessage[]): string {
	return messages.map(message => `${message.role}: ${message.content}`).join('\n');
}
