/**
 * Calls of the controller to the cloud API (see `protocol/cloud-api.ts`). Each order is
 * written only if its sender may still act once the connection is open.
 */
import {type Price, type VmEntry, type VmOrder} from '../protocol/cloud-api.js';
import {fetchJson, requestJson} from '../transport/http-client.js';
import {CoordinationError} from './errors.js';

const timeoutMs = 3000;

/** The cloud had no capacity, or was not reached, for a start. */
export class StartRefusedError extends CoordinationError {}

/** The cloud API at one address. */
export class CloudClient {
	constructor(
		private readonly url: string,
		private readonly mayStillSend: () => boolean,
	) {}

	/** Every VM not yet gone. */
	async listVms(signal: AbortSignal): Promise<VmEntry[]> {
		return fetchJson<VmEntry[]>({
			method: 'GET', url: `${this.url}/vms`, timeoutMs, signal,
		});
	}

	/** What VMs cost. */
	async prices(signal: AbortSignal): Promise<Price[]> {
		return fetchJson<Price[]>({
			method: 'GET', url: `${this.url}/prices`, timeoutMs, signal,
		});
	}

	/**
	 * Orders a VM.
	 *
	 * @throws {StartRefusedError} When there is no capacity.
	 * @throws {TransportError} When the answer was lost; the same order may be sent again.
	 */
	async startVm(order: VmOrder): Promise<VmEntry> {
		const answer = await requestJson<VmEntry>({
			method: 'POST', url: `${this.url}/vms`, payload: order, timeoutMs, mayStillSend: this.mayStillSend,
		});
		if (answer.statusCode !== 200) {
			throw new StartRefusedError(`start in ${order.failureDomain} answered ${answer.statusCode}`);
		}

		return answer.body;
	}

	/** Stops a VM at once. */
	async stopVm(name: string): Promise<void> {
		await requestJson({
			method: 'DELETE', url: `${this.url}/vms/${name}`, timeoutMs, mayStillSend: this.mayStillSend,
		});
	}
}
