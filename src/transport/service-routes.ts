/**
 * The route for calls to services other than model engines: `POST /v1/services/{name}/{call}`.
 * A call with the header `x-sesametally-idempotent: false` runs at most once and requires
 * an `idempotency-key` header.
 */
import {randomUUID} from 'node:crypto';
import type Hapi from '@hapi/hapi';
import {Outcome} from '../protocol/openai.js';
import {NoBackendError, OutcomeUnknownError} from '../coordination/errors.js';
import {KeyTakenError, NotRecordedError, type ServiceCall} from '../coordination/service-calls.js';
import {admitRequest, refuseOverLimit} from './caller-admission.js';
import {
	respondWithFailure, refuseRequest, refuseOverloaded, refuseUnknownKey,
} from './caller-responses.js';
import {type AuthenticatedContext} from './caller-context.js';
import {headerValue} from './http-server.js';

/** Adds the service route to a server. */
export function addServiceRoutes(server: Hapi.Server, context: AuthenticatedContext): void {
	server.route({
		method: 'POST',
		path: '/v1/services/{name}/{call}',
		async handler(request, h) {
			const account = context.findAccount(request);
			if (account === undefined) {
				return refuseUnknownKey(h);
			}

			const isIdempotent = headerValue(request, 'x-sesametally-idempotent') !== 'false';
			const clientKey = headerValue(request, 'idempotency-key');
			if (!isIdempotent && clientKey === undefined) {
				return refuseRequest(h, {status: 400, message: 'A non-idempotent call needs an idempotency-key header.', code: 'idempotency_key_missing'});
			}

			const admission = admitRequest(context, account, Date.now());
			if (!admission.admitted) {
				return refuseOverLimit(h, context, account, admission);
			}

			const call: ServiceCall = {
				account,
				service: request.params.name as string,
				call: request.params.call as string,
				idempotencyKey: clientKey ?? `${account}-${randomUUID()}`,
				isIdempotent,
				payload: request.payload ?? {},
			};
			try {
				const response = await context.services.call(call, context.signal);
				return h.response(response.body as Record<string, unknown>).code(response.statusCode);
			} catch (error) {
				return respondToError(h, call, error);
			} finally {
				admission.release();
			}
		},
	});
}

function respondToError(h: Hapi.ResponseToolkit, call: ServiceCall, error: unknown): Hapi.ResponseObject {
	if (error instanceof KeyTakenError) {
		return respondWithFailure(h, {
			status: 409, message: `Idempotency key ${call.idempotencyKey} was already submitted; that call's outcome is not known here.`, code: 'idempotency_key_in_use', outcome: Outcome.Unknown,
		});
	}

	if (error instanceof OutcomeUnknownError) {
		return respondWithFailure(h, {
			status: 502, message: 'The service call may or may not have run.', code: 'outcome_unknown', outcome: Outcome.Unknown,
		});
	}

	if (error instanceof NotRecordedError) {
		return refuseOverloaded(h, 'The call could not be recorded before dispatch; it did not run.', 'journal_unavailable');
	}

	if (error instanceof NoBackendError) {
		return refuseOverloaded(h, `No backend server of service ${call.service} is available.`);
	}

	throw error;
}
