/**
 * The routes callers use. A caller's API key maps to its client account; an unknown key
 * is refused before any work. `GET /ready` tells the platform's balancer whether to send
 * callers here.
 */
import type Hapi from '@hapi/hapi';
import {type ClientAccount} from '../protocol/gateway-settings.js';
import {type Completions} from '../coordination/completions.js';
import {type Limits} from '../coordination/admission.js';
import {type Membership} from '../coordination/membership.js';
import {type ServiceCalls} from '../coordination/service-calls.js';
import {type ConfigTable} from '../state/config-table.js';
import {type CallerMetrics} from './caller-metrics.js';
import {addCompletionRoutes} from './completion-routes.js';
import {addServiceRoutes} from './service-routes.js';
import {refuseOverloaded} from './caller-answers.js';
import {bearerToken} from './http-server.js';

/** What the caller routes need from the rest of the gateway. */
export type CallerContext = {
	accounts: ClientAccount[];
	completions: Completions;
	services: ServiceCalls;
	limits: Limits;
	membership: Membership;
	config: ConfigTable;
	metrics: CallerMetrics;
	isReady: () => boolean;
	/** Aborted when the gateway stops; requests in flight are finished first. */
	signal: AbortSignal;
};

/** A route's context with the caller's client account resolved from its API key. */
export type AuthenticatedContext = CallerContext & {
	accountOf: (request: Hapi.Request) => string | undefined;
};

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
