/**
 * Calls to plain services. A non-idempotent call is dispatched only under a journal
 * claim and never again after its bytes may have left; an idempotent call may be tried
 * at another backend server. A call that provably never left is free to go elsewhere.
 */
import {type BackendServer, BackendKind} from '../protocol/gateway-settings.js';
import {type JsonResponse, requestJson} from '../transport/http-client.js';
import {ConnectError} from '../transport/errors.js';
import {createLogger} from '../log.js';
import {type BackendDirectory} from './backend-directory.js';
import {ClaimOutcome, type Journal} from './journal.js';
import {defaultRetryBound, RepeatPurpose, RetryAllowance} from './retry-allowance.js';
import {NoBackendError, OutcomeUnknownError} from './errors.js';

const log = createLogger('services');

/** Backend servers tried for one call. */
export const maxTargets = 3;
/** How long a backend server that refused a connection is tried last, in milliseconds. */
export const avoidMs = 2000;

/** A call as a caller makes it. */
export type ServiceCall = {
	account: string;
	service: string;
	/** The path below the service's `/v1/`. */
	call: string;
	idempotencyKey: string;
	idempotent: boolean;
	payload: unknown;
};

/** The idempotency key was submitted before; that call's outcome is not known here. */
export class KeyTakenError extends OutcomeUnknownError {}

/** The call could not be recorded before dispatch; it did not run. */
export class NotRecordedError extends NoBackendError {}

/** Carries out service calls of one gateway. */
export class ServiceCalls {
	private nextTargetIndex = 0;
	private readonly avoidedUntilMs = new Map<string, number>();
	private readonly retries = new RetryAllowance(defaultRetryBound);

	constructor(
		private readonly directory: BackendDirectory,
		private readonly journal: Journal,
	) {}

	/**
	 * Carries out a call.
	 *
	 * @returns The backend server's answer, whatever its status.
	 * @throws {NoBackendError} When it did not run.
	 * @throws {OutcomeUnknownError} When it may have run.
	 */
	async call(call: ServiceCall, signal: AbortSignal): Promise<JsonResponse<unknown>> {
		this.orderTargets(call.service, Date.now());
		if (call.idempotent) {
			return this.dispatch(call);
		}

		const {claim, intent} = await this.journal.claim({account: call.account, key: call.idempotencyKey, service: call.service}, signal);
		if (claim === ClaimOutcome.Taken) {
			throw new KeyTakenError(`idempotency key ${call.idempotencyKey} was already submitted`);
		}

		if (claim !== ClaimOutcome.Won) {
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
			if (!target || tried.size >= maxTargets) {
				throw new NoBackendError(`no backend server of service ${call.service} could be reached`);
			}

			tried.add(target.id);
			try {
				// eslint-disable-next-line no-await-in-loop -- one target at a time, or the call could run twice.
				return await requestJson({
					method: 'POST', url: `${target.url}/v1/${call.call}`, payload: call.payload, headers: {'idempotency-key': call.idempotencyKey},
				});
			} catch (error) {
				this.avoidedUntilMs.set(target.id, Date.now() + avoidMs);
				log.warn('backend server failed.', {service: call.service, backend: target.id, error: String(error)});
				const wasNeverSent = error instanceof ConnectError;
				if (!wasNeverSent && !(call.idempotent && tried.size < maxTargets && this.retries.take(call.service, RepeatPurpose.Retry, 1, Date.now()))) {
					throw new OutcomeUnknownError(`call to ${target.id} may have run`, {cause: error});
				}
			}
		}
	}

	/**
	 * The backend servers of a service in the order to try them: in turn, those that
	 * failed lately last.
	 *
	 * @throws {NoBackendError} When there is none.
	 */
	private orderTargets(service: string, nowMs: number): BackendServer[] {
		const targets = this.directory.takingWork(BackendKind.Service).filter(backend => backend.name === service);
		if (targets.length === 0) {
			throw new NoBackendError(`no backend server of service ${service} is available`);
		}

		const start = this.nextTargetIndex++ % targets.length;
		const inTurn = [...targets.slice(start), ...targets.slice(0, start)];
		const isAvoided = (backend: BackendServer) => (this.avoidedUntilMs.get(backend.id) ?? 0) > nowMs;
		return [...inTurn.filter(backend => !isAvoided(backend)), ...inTurn.filter(backend => isAvoided(backend))];
	}
}
