/**
 * The routes callers use. A caller's API key maps to its client account; an unknown key
 * is refused before any work. `GET /ready` tells the platform's balancer whether to send
 * callers here.
 */
import type Hapi from '@hapi/hapi';
import {addCompletionRoutes} from './completion-routes.js';
import {addServiceRoutes} from './service-routes.js';
import {refuseOverloaded} from './caller-answers.js';
import {type CallerContext} from './caller-context.js';
import {bearerToken} from './http-server.js';

/** Adds the caller routes to a server. */
export function addCallerRoutes(server: Hapi.Server, context: CallerContext): void {
	const accountByKey = new Map(context.accounts.flatMap(account => account.apiKeys.map(key => [key, account.name])));
	const authenticated = {...context, accountOf: (request: Hapi.Request) => accountByKey.get(bearerToken(request))};
	server.ext('onPreHandler', (request, h) => {
		const isWork = request.method === 'post';
		return isWork && !context.config.isKnown ? refuseOverloaded(h, 'This gateway does not know the configuration in force yet.', 'config_unknown').takeover() : h.continue;
	});
	addCompletionRoutes(server, authenticated);
	addServiceRoutes(server, authenticated);
	server.route({
		method: 'GET',
		path: '/ready',
		handler: (_request, h) => h.response({ready: context.isReady()}).code(context.isReady() ? 200 : 503),
	});
}
