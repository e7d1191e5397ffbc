/**
 * Admission of a caller's request by the limits of its client account in force.
 */
import type Hapi from '@hapi/hapi';
import {type Admission, Limits, shareOfLimit} from '../coordination/admission.js';
import {Outcome} from '../protocol/openai.js';
import {refuse} from './caller-answers.js';
import {type CallerContext} from './caller-context.js';

type Refused = Extract<Admission, {admitted: false}>;

/** Decides at `nowMs` whether a client account's next request may be served. */
export function admitCaller({limits, config, membership}: CallerContext, account: string, nowMs: number): Admission {
	const limit = Limits.limitOf(config.activePreset, account);
	return limits.admit(account, shareOfLimit(limit, membership.aliveCount(nowMs)), nowMs);
}

/** Refuses a request that is over its client account's limit. */
export function refuseOverLimit(h: Hapi.ResponseToolkit, {metrics}: CallerContext, account: string, {refusal, retryAfterMs}: Refused): Hapi.ResponseObject {
	metrics.noteEnd(account, Outcome.NotRun);
	return refuse(h, {
		status: 429, message: `Client account ${account} is over its ${refusal} limit.`, code: 'rate_limit_exceeded', retryAfterSeconds: Math.ceil(retryAfterMs / 1000),
	});
}
