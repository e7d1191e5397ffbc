/**
 * Dispatches calls to plain services. A non-idempotent call is dispatched only after its
 * journal claim succeeded, and never again once any of its bytes may have been sent. An
 * idempotent call may be retried at another backend server. A call of either kind whose
 * connection failed before anything was sent is tried at the next backend server.
 */
import {type BackendServer, BackendKind} from '../protocol/gateway-settings.js';
import {type JsonResponse, requestJson} from '../transport/http-client.js';
import {ConnectError} from '../transport/errors.js';
import {createLogger} from '../log.js';
import {type BackendDirectory} from './backend-directory.js';
import {ClaimOutcome, type Journal} from './journal.js';
import {defaultRetryLimits, LocalRetryBudget, RetryPurpose} from './retry-budget.js';
import {NoBackendError, OutcomeUnknownError} from './errors.js';

const log = createLogger('services');

/** Maximum number of backend servers that are tried for one call. */
export const maxAttempts = 3;
/** How long a backend server is tried last after a failed call, in milliseconds. */
export const avoidAfterFailureMs = 2000;

/** A service call as the caller sent it. */
export type ServiceCall = {
	account: string;
	service: string;
	/** The path after `/v1/` at the backend server. */
	call: string;
	idempotencyKey: string;
	isIdempotent: boolean;
	payload: unknown;
};

/** The idempotency key was submitted before; the outcome of that call is unknown here. */
export class KeyTakenError extends OutcomeUnknownError {}

/** The call's intent could not be recorded, so the call did not run. */
export class NotRecordedError extends NoBackendError {}

/** Dispatches the service calls of one gateway. */
export class ServiceCalls {
	private nextTargetIndex = 0;
	private readonly avoidedUntilMs = new Map<string, number>();
	private readonly retries = new LocalRetryBudget(defaultRetryLimits);

	constructor(
		private readonly directory: BackendDirectory,
		private readonly journal: Journal,
	) {}

	/**
	 * Dispatches a call.
	 *
	 * @returns The backend server's answer, whatever its status.
	 * @throws {NoBackendError} When the call did not run.
	 * @throws {OutcomeUnknownError} When the call may have run.
	 */
	async call(call: ServiceCall, signal: AbortSignal): Promise<JsonResponse<unknown>> {
		this.orderTargets(call.service, Date.now());
		if (call.isIdempotent) {
			return this.dispatch(call);
		}

		const {outcome, intent} = await this.journal.claim({account: call.account, key: call.idempotencyKey, service: call.service}, signal);
		if (outcome === ClaimOutcome.Taken) {
			throw new KeyTakenError(`idempotency key ${call.idempotencyKey} was already submitted`);
		}

		if (outcome !== ClaimOutcome.Won) {
			throw new NotRecordedError(`call with idempotency key ${call.idempotencyKey} was not recorded`);
		}

		try {
			return await this.dispatch(call);
		} catch (error) {
			if (error instanceof NoBackendError) {
				await this.journal.release(intent);
			}

			throw error;
		}
	}

	private async dispatch(call: ServiceCall): Promise<JsonResponse<unknown>> {
		this.retries.countRequest(call.service, Date.now());
		const tried = new Set<string>();
		for (;;) {
			const target = this.orderTargets(call.service, Date.now()).find(candidate => !tried.has(candidate.id));
			if (!target || tried.size >= maxAttempts) {
				throw new NoBackendError(`no backend server of service ${call.service} could be reached`);
			}

			tried.add(target.id);
			try {
				// eslint-disable-next-line no-await-in-loop -- one backend server at a time, because the call could otherwise run twice.
				return await requestJson({
					method: 'POST', url: `${target.url}/v1/${call.call}`, payload: call.payload, headers: {'idempotency-key': call.idempotencyKey},
				});
			} catch (error) {
				this.avoidedUntilMs.set(target.id, Date.now() + avoidAfterFailureMs);
				log.warn('backend server failed.', {service: call.service, backend: target.id, error: String(error)});
				const wasNeverSent = error instanceof ConnectError;
				if (!wasNeverSent && !(call.isIdempotent && tried.size < maxAttempts && this.retries.tryTake(call.service, RetryPurpose.Retry, Date.now()))) {
					throw new OutcomeUnknownError(`call to ${target.id} may have run`, {cause: error});
				}
			}
		}
	}

	/**
	 * Returns the backend servers of a service in the order in which to try them:
	 * round-robin, with those that failed recently last.
	 *
	 * @throws {NoBackendError} When the service has none.
	 */
	private orderTargets(service: string, nowMs: number): BackendServer[] {
		const targets = this.directory.acceptingWork(BackendKind.Service).filter(backend => backend.name === service);
		if (targets.length === 0) {
			throw new NoBackendError(`no backend server of service ${service} is available`);
		}

		const start = this.nextTargetIndex++ % targets.length;
		const rotated = [...targets.slice(start), ...targets.slice(0, start)];
		const isAvoided = (backend: BackendServer) => (this.avoidedUntilMs.get(backend.id) ?? 0) > nowMs;
		return [...rotated.filter(backend => !isAvoided(backend)), ...rotated.filter(backend => isAvoided(backend))];
	}
}
