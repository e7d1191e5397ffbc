/**
 * `sesametally admin <action>`: an operator's client of a gateway's administration API.
 * Each action prints the JSON answer and exits non-zero unless it was a 2xx.
 */
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {requestJson} from '../../transport/http-client.js';
import {AdminAction} from '../subcommands.js';

/** Options common to admin actions. */
export type AdminOptions = {
	url: string;
	token: string | undefined;
	/** For publish: the preset file; for activate: the preset name; for drain and undrain: the backend server id. */
	target: string | undefined;
	base: number | undefined;
};

/**
 * Carries out one admin action.
 *
 * @returns The process exit code: 0 for a 2xx answer, 1 otherwise.
 * @throws {TransportError} When the gateway cannot be reached.
 */
export async function runAdmin(action: AdminAction, options: AdminOptions): Promise<number> {
	const headers: Record<string, string> = options.token === undefined ? {} : {authorization: `Bearer ${options.token}`};
	const base = options.base === undefined ? {} : {base: options.base};
	const request = (() => {
		switch (action) {
			case AdminAction.Publish: {
				const preset: unknown = JSON.parse(readFileSync(options.target ?? '', 'utf8'));
				return {method: 'POST' as const, path: '/admin/presets', payload: {preset, ...base}};
			}

			case AdminAction.Activate: {
				return {method: 'POST' as const, path: '/admin/activate', payload: {name: options.target, ...base}};
			}

			case AdminAction.Drain: {
				return {method: 'POST' as const, path: '/admin/drain', payload: {backendServer: options.target, ...base}};
			}

			case AdminAction.Undrain: {
				return {method: 'POST' as const, path: '/admin/drain', payload: {backendServer: options.target, undo: true, ...base}};
			}

			case AdminAction.Status: {
				return {method: 'GET' as const, path: '/admin/status'};
			}

			case AdminAction.Dump: {
				return {method: 'GET' as const, path: '/debug/state'};
			}
		}
	})();
	const answer = await requestJson({
		method: request.method, url: `${options.url}${request.path}`, payload: 'payload' in request ? request.payload : undefined, headers, timeoutMs: 30_000,
	});
	process.stdout.write(JSON.stringify(answer.body, undefined, 2) + '\n');
	return answer.statusCode >= 200 && answer.statusCode < 300 ? 0 : 1;
}
