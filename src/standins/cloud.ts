/**
 * Stand-in for the cloud API (see `protocol/cloud-api.ts`). It starts reclaimable and
 * on-demand VMs on a fixed set of slots. Each slot is an engine stand-in that already runs
 * as a process: starting a VM powers the slot on, and a reclaim or stop powers it off.
 *
 * `POST /admin/reclaim` `{failureDomain}` announces the reclaim of every reclaimable VM
 * in that failure domain.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type Hapi from '@hapi/hapi';
import {
	type NoticePage, type ReclaimNotice, type VmEntry, type VmOrder, VmState,
} from '../protocol/cloud-api.js';
import {requestJson} from '../transport/http-client.js';
import {createServerWithDiagnostics, startServer} from '../transport/http-server.js';
import {createMetricsRegistry} from '../transport/metrics-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {type CloudStandinSettings} from './settings.js';
import {addFaultRoutes, delayAnswer} from './faults.js';

const log = createLogger('standin-cloud');

/** Fault switches of the cloud stand-in. */
type CloudFaults = {
	/** Failure domains in which requests to start a VM are answered with 503. */
	refuseStarts?: string[];
	/** Every request except `/admin` and `/debug` is answered with 503. */
	outage?: boolean;
	/** Delay added to every answer except `/admin` and `/debug`, in milliseconds. */
	slowMs?: number;
	/** VMs are started, but the connection is dropped before the answer. */
	loseAnswers?: boolean;
};

/** The VMs, slots and reclaim notices of the simulated cloud. */
class Cloud {
	readonly faults: CloudFaults = {};
	readonly notices: ReclaimNotice[] = [];
	readonly vms = new Map<string, VmEntry>();
	private startedCount = 0;
	/** URLs of slots whose process did not answer when a VM was started on them. */
	private readonly unresponsiveSlotUrls = new Set<string>();
	private readonly vmNamesByRequestId = new Map<string, string>();

	constructor(
		private readonly settings: CloudStandinSettings,
		private readonly signal: AbortSignal,
	) {
		for (const vm of settings.vms) {
			this.vms.set(vm.name, {
				...vm, state: VmState.Live, startedAtMs: Date.now(), perHour: this.findHourlyPrice(vm),
			});
		}
	}

	/** Returns the VMs that are not gone. */
	listVms(): VmEntry[] {
		return [...this.vms.values()].filter(vm => vm.state !== VmState.Gone);
	}

	/**
	 * Starts a VM on a free slot; undefined when there is no capacity. An order with a request
	 * id that was seen before returns the VM that it started then.
	 */
	startVm(order: VmOrder): VmEntry | undefined {
		const existingVmName = this.vmNamesByRequestId.get(order.requestId);
		if (existingVmName !== undefined) {
			return this.vms.get(existingVmName);
		}

		if (this.faults.refuseStarts?.includes(order.failureDomain)) {
			return undefined;
		}

		const usedUrls = new Set(this.listVms().map(vm => vm.url));
		const slot = this.settings.slots.find(candidate => candidate.failureDomain === order.failureDomain && !usedUrls.has(candidate.url) && !this.unresponsiveSlotUrls.has(candidate.url));
		if (!slot) {
			return undefined;
		}

		const {failureDomain, machineClass, reclaimable} = order;
		const vm: VmEntry = {
			name: `vm-${++this.startedCount}`, url: slot.url, failureDomain, machineClass, reclaimable, state: VmState.Booting, startedAtMs: Date.now(), perHour: this.findHourlyPrice(order),
		};
		this.vms.set(vm.name, vm);
		this.vmNamesByRequestId.set(order.requestId, vm.name);
		void this.bootVm(vm);
		return vm;
	}

	/** Stops a VM without notice. */
	async stopVm(vm: VmEntry): Promise<void> {
		if (vm.state !== VmState.Gone) {
			vm.state = VmState.Gone;
			await this.setPower(vm, false);
		}
	}

	/** Announces the reclaim of every reclaimable VM of a failure domain and schedules their stop. */
	announceReclaim(failureDomain: string): ReclaimNotice[] {
		const nowMs = Date.now();
		const reclaimedVms = this.listVms().filter(vm => vm.failureDomain === failureDomain && vm.reclaimable && vm.state !== VmState.Leaving);
		const announced = reclaimedVms.map(vm => {
			vm.state = VmState.Leaving;
			vm.leavesAtMs = nowMs + this.settings.reclaimNoticeMs;
			const notice = {
				number: this.notices.length, vm: vm.name, failureDomain, noticedAtMs: nowMs, leavesAtMs: vm.leavesAtMs,
			};
			this.notices.push(notice);
			void this.stopVmAfter(vm, vm.leavesAtMs - nowMs);
			return notice;
		});
		log.info('reclaim announced.', {failureDomain, vms: reclaimedVms.map(vm => vm.name)});
		return announced;
	}

	private findHourlyPrice(order: {failureDomain: string; machineClass: string; reclaimable: boolean}): number {
		return this.settings.prices.find(price => price.failureDomain === order.failureDomain && price.machineClass === order.machineClass && price.reclaimable === order.reclaimable)?.perHour ?? 0;
	}

	private async bootVm(vm: VmEntry): Promise<void> {
		await delay(this.settings.bootMs, undefined, {signal: this.signal}).catch(() => undefined);
		if (vm.state !== VmState.Booting) {
			return;
		}

		const didBoot = await this.setPower(vm, true);
		vm.state = didBoot ? VmState.Live : VmState.Gone;
		if (!didBoot) {
			this.unresponsiveSlotUrls.add(vm.url);
		}
	}

	private async stopVmAfter(vm: VmEntry, afterMs: number): Promise<void> {
		await delay(afterMs, undefined, {signal: this.signal}).catch(() => undefined);
		if (!this.signal.aborted) {
			await this.stopVm(vm);
		}
	}

	/** Powers the slot of a VM on or off; returns false when its process does not answer. */
	private async setPower(vm: VmEntry, isOn: boolean): Promise<boolean> {
		try {
			await requestJson({
				method: 'POST', url: `${vm.url}/admin/power`, payload: {on: isOn, id: vm.name}, timeoutMs: 2000,
			});
			return true;
		} catch (error) {
			log.warn('VM slot did not answer the power request.', {vm: vm.name, error: String(error)});
			return false;
		}
	}
}

/**
 * Runs the cloud API stand-in until the signal aborts.
 *
 * @throws {TransportError} When its port cannot be bound.
 */
export async function runCloudStandin(settings: CloudStandinSettings, signal: AbortSignal): Promise<void> {
	const cloud = new Cloud(settings, signal);
	const {faults, notices, vms} = cloud;
	const server = createServerWithDiagnostics(settings.listen, createMetricsRegistry(), () => ({faults, notices, vms: [...vms.values()]}));
	addFaultRoutes(server, faults);
	server.ext('onPreHandler', async (request, h) => {
		if (request.path.startsWith('/admin/') || request.path.startsWith('/debug/')) {
			return h.continue;
		}

		await delayAnswer(faults.slowMs);
		return faults.outage ? h.response({error: 'outage'}).code(503).takeover() : h.continue;
	});
	addVmRoutes(server, cloud);
	server.route({method: 'GET', path: '/prices', handler: () => settings.prices});
	server.route({
		method: 'GET', path: '/notices', handler(request): NoticePage {
			const from = Number(request.query.from ?? 0);
			return {next: notices.length, notices: notices.slice(from)};
		},
	});
	server.route({method: 'POST', path: '/admin/reclaim', handler: request => cloud.announceReclaim((request.payload as {failureDomain: string}).failureDomain)});
	await startServer(server);
	log.info('listening.', {port: server.info.port});
	await waitForAbort(signal);
	await server.stop({timeout: 1000});
}

function addVmRoutes(server: Hapi.Server, cloud: Cloud): void {
	server.route({method: 'GET', path: '/vms', handler: () => cloud.listVms()});
	server.route({
		method: 'POST',
		path: '/vms',
		handler(request, h) {
			const vm = cloud.startVm(request.payload as VmOrder);
			if (vm && cloud.faults.loseAnswers) {
				request.raw.req.socket.destroy();
				return h.abandon;
			}

			return vm ?? h.response({error: 'capacity not available'}).code(503);
		},
	});
	server.route({
		method: 'DELETE',
		path: '/vms/{name}',
		async handler(request, h) {
			const vm = cloud.vms.get(request.params.name as string);
			if (!vm) {
				return h.response({error: 'no such VM'}).code(404);
			}

			await cloud.stopVm(vm);
			return vm;
		},
	});
}
