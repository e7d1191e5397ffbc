/** Types that all caller routes share. */
import type Hapi from '@hapi/hapi';
import {type ClientAccount} from '../protocol/gateway-settings.js';
import {type Completions} from '../coordination/completions.js';
import {type AccountLimiter} from '../coordination/admission.js';
import {type Membership} from '../coordination/membership.js';
import {type ServiceCalls} from '../coordination/service-calls.js';
import {type ConfigTable} from '../state/config-table.js';
import {type CallerMetrics} from './caller-metrics.js';

/** The dependencies of the caller routes. */
export type CallerContext = {
	accounts: ClientAccount[];
	completions: Completions;
	services: ServiceCalls;
	limits: AccountLimiter;
	membership: Membership;
	config: ConfigTable;
	metrics: CallerMetrics;
	isReady: () => boolean;
	/** Aborts when the gateway stops, after the requests in flight have ended or the drain time is over. */
	signal: AbortSignal;
};

/** The dependencies of routes that need the caller's client account. */
export type AuthenticatedContext = CallerContext & {
	/** Finds the client account of a request's API key. */
	findAccount: (request: Hapi.Request) => string | undefined;
};
