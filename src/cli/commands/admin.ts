/**
 * `sesametally admin <action>`: the command-line client of a gateway's administration API.
 * Each action prints the JSON response; the exit code is 0 for a 2xx status.
 */
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {requestJson} from '../../transport/http-client.js';
import {AdminAction} from '../subcommands.js';

/** The options of all admin actions. */
export type AdminOptions = {
	url: string;
	token: string | undefined;
	/** The preset file to publish, the name of the preset to activate, or the id of the backend server to drain or undrain. */
	target: string | undefined;
	base: number | undefined;
};

/**
 * Runs one admin action.
 *
 * @returns The process exit code: 0 for a 2xx response, 1 otherwise.
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
	const response = await requestJson({
		method: request.method, url: `${options.url}${request.path}`, payload: 'payload' in request ? request.payload : undefined, headers, timeoutMs: 30_000,
	});
	process.stdout.write(JSON.stringify(response.body, undefined, 2) + '\n');
	return response.statusCode >= 200 && response.statusCode < 300 ? 0 : 1;
}
