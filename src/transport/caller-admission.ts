/**
 * Admission of callers' requests by the active limits of their client accounts.
 */
import type Hapi from '@hapi/hapi';
import {type Admission, AccountLimiter, shareOfLimit} from '../coordination/admission.js';
import {Outcome} from '../protocol/openai.js';
import {refuseRequest} from './caller-responses.js';
import {type CallerContext} from './caller-context.js';

type RefusedAdmission = Extract<Admission, {admitted: false}>;

/** Decides at `nowMs` whether a client account's request is admitted under this gateway's share of the account's limit. */
export function admitRequest({limits, config, membership}: CallerContext, account: string, nowMs: number): Admission {
	const limit = AccountLimiter.limitOf(config.activePreset, account);
	return limits.admit(account, shareOfLimit(limit, membership.aliveCount(nowMs)), nowMs);
}

/** Refuses a request that exceeds its client account's limit. */
export function refuseOverLimit(h: Hapi.ResponseToolkit, {metrics}: CallerContext, account: string, {refusal, retryAfterMs}: RefusedAdmission): Hapi.ResponseObject {
	metrics.recordEnd(account, Outcome.NotRun);
	return refuseRequest(h, {
		status: 429, message: `Client account ${account} is over its ${refusal} limit.`, code: 'rate_limit_exceeded', retryAfterSeconds: Math.ceil(retryAfterMs / 1000),
	});
}
