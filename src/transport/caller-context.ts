/** What the caller routes share, in a module below all of them. */
import type Hapi from '@hapi/hapi';
import {type ClientAccount} from '../protocol/gateway-settings.js';
import {type Completions} from '../coordination/completions.js';
import {type Limits} from '../coordination/admission.js';
import {type Membership} from '../coordination/membership.js';
import {type ServiceCalls} from '../coordination/service-calls.js';
import {type ConfigTable} from '../state/config-table.js';
import {type CallerMetrics} from './caller-metrics.js';

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
