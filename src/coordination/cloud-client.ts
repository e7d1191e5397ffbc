/**
 * The controller's client for the cloud API (see `protocol/cloud-api.ts`). Once the
 * connection for an order is open, the order is sent only if the controller may still act.
 */
import {type Price, type VmEntry, type VmOrder} from '../protocol/cloud-api.js';
import {fetchJson, requestJson} from '../transport/http-client.js';
import {CoordinationError} from './errors.js';

/** Timeout of a call, in milliseconds. */
const timeoutMs = 3000;

/** The cloud API refused to start a VM. */
export class StartRefusedError extends CoordinationError {}

/** A client for the cloud API at one address. */
export class CloudClient {
	constructor(
		private readonly url: string,
		private readonly mayStillSend: () => boolean,
	) {}

	/** Lists every VM that is not yet gone. */
	async listVms(signal: AbortSignal): Promise<VmEntry[]> {
		return fetchJson<VmEntry[]>({
			method: 'GET', url: `${this.url}/vms`, timeoutMs, signal,
		});
	}

	/** Returns the prices of VMs. */
	async prices(signal: AbortSignal): Promise<Price[]> {
		return fetchJson<Price[]>({
			method: 'GET', url: `${this.url}/prices`, timeoutMs, signal,
		});
	}

	/**
	 * Orders the start of a VM.
	 *
	 * @throws {StartRefusedError} When the cloud API refuses, for example for lack of capacity.
	 * @throws {TransportError} When the answer was lost; the same order may be sent again.
	 */
	async startVm(order: VmOrder): Promise<VmEntry> {
		const answer = await requestJson<VmEntry>({
			method: 'POST', url: `${this.url}/vms`, payload: order, timeoutMs, mayStillSend: this.mayStillSend,
		});
		if (answer.statusCode !== 200) {
			throw new StartRefusedError(`cloud API answered ${answer.statusCode} to the start of a VM in ${order.failureDomain}`);
		}

		return answer.body;
	}

	/** Stops a VM immediately. */
	async stopVm(name: string): Promise<void> {
		await requestJson({
			method: 'DELETE', url: `${this.url}/vms/${name}`, timeoutMs, mayStillSend: this.mayStillSend,
		});
	}
}
