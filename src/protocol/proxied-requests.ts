/** The requests that a daemon that reaches no backend server of a service sends to another daemon, which serves them in its place. */
import {type CallerRequest} from './serving.js';

/** The path of the call. */
export const proxyPath = '/proxied-request';
/** Holds the id of a request that the receiver states it won't serve; the sender may try another daemon. */
export const declinedHeader = 'sesametally-declined';

/** A client's request, as the daemon that received it admitted it. */
export type ProxiedRequest = {
	/** The request without its API key. */
	request: CallerRequest;
	body: Uint8Array;
	/** Name of the account that holds the API key; undefined on a public route. */
	account: string | undefined;
	/** Version of the configuration by which the sender accepted it. */
	configVersion: number;
	/** Time since it arrived at the sender, in milliseconds. */
	elapsedMs: number;
	/** Whether the sender has counted its first attempt already. */
	isCounted: boolean;
};

/** Whether a decoded body is a proxied request. */
export function isProxiedRequest(value: unknown): value is ProxiedRequest {
	const {request, body, account, configVersion, elapsedMs, isCounted} = (value ?? {}) as Partial<ProxiedRequest>;
	return typeof request?.id === 'string' && typeof request.host === 'string' && typeof request.path === 'string' && typeof request.method === 'string'
		&& Array.isArray(request.forwardedHeaders) && Array.isArray(request.promptParts) && body instanceof Uint8Array
		&& (account === undefined || typeof account === 'string') && typeof configVersion === 'number' && typeof elapsedMs === 'number' && elapsedMs >= 0 && typeof isCounted === 'boolean';
}
