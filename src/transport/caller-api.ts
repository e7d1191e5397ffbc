/**
 * The HTTP API for callers. A caller's API key identifies its client account; requests with
 * an unknown key are refused before any other processing. `GET /ready` tells the platform's
 * load balancer whether to route callers to this gateway.
 */
import type Hapi from '@hapi/hapi';
import {addCompletionRoutes} from './completion-routes.js';
import {addServiceRoutes} from './service-routes.js';
import {refuseOverloaded} from './caller-responses.js';
import {type CallerContext} from './caller-context.js';
import {bearerToken} from './http-server.js';

/** Adds the caller routes to a server. */
export function addCallerRoutes(server: Hapi.Server, context: CallerContext): void {
	const accountsByApiKey = new Map(context.accounts.flatMap(account => account.apiKeys.map(key => [key, account.name])));
	const authenticated = {...context, findAccount: (request: Hapi.Request) => accountsByApiKey.get(bearerToken(request))};
	server.ext('onPreHandler', (request, h) => {
		const isPost = request.method === 'post';
		return isPost && !context.config.isKnown ? refuseOverloaded(h, 'This gateway does not know the configuration in force yet.', 'config_unknown').takeover() : h.continue;
	});
	addCompletionRoutes(server, authenticated);
	addServiceRoutes(server, authenticated);
	server.route({
		method: 'GET',
		path: '/ready',
		handler: (_request, h) => h.response({ready: context.isReady()}).code(context.isReady() ? 200 : 503),
	});
}
