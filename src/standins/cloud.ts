/**
 * Stand-in for the cloud API (see `protocol/cloud-api.ts`). It sells reclaimable and
 * on-demand VMs from a fixed set of slots, each an engine stand-in that is already
 * running as a process: starting a VM powers a slot on, a reclaim or stop cuts its power.
 *
 * `POST /admin/reclaim` `{failureDomain}` announces the reclaim of every reclaimable VM
 * there. Fault switch `refuseStarts`: the failure domains in which starts are refused.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type Hapi from '@hapi/hapi';
import {
	type NoticePage, type ReclaimNotice, type VmEntry, type VmOrder, VmState,
} from '../protocol/cloud-api.js';
import {requestJson} from '../transport/http-client.js';
import {createObservedServer, startServer} from '../transport/http-server.js';
import {createRegistry} from '../transport/process-registry.js';
import {createLogger} from '../log.js';
import {waitForAbort} from '../abort.js';
import {type CloudStandinSettings} from './options.js';
import {addFaultRoute, applySlowMode} from './faults.js';

const log = createLogger('standin-cloud');

type CloudFaults = {
	/** Failure domains in which starts answer 503. */
	refuseStarts?: string[];
	/** Every call but `/admin` answers 503. */
	outage?: boolean;
	/** Added delay of every answer, in milliseconds. */
	slowMs?: number;
	/** Starts take effect but their answer is lost. */
	loseAnswers?: boolean;
};

/** The VMs, slots and notices of one cloud. */
class Cloud {
	readonly faults: CloudFaults = {};
	readonly notices: ReclaimNotice[] = [];
	readonly vms = new Map<string, VmEntry>();
	private started = 0;
	/** Slots whose process is gone. */
	private readonly brokenSlots = new Set<string>();
	private readonly byRequest = new Map<string, string>();

	constructor(
		private readonly settings: CloudStandinSettings,
		private readonly signal: AbortSignal,
	) {
		for (const vm of settings.vms) {
			this.vms.set(vm.name, {
				...vm, state: VmState.Live, startedAtMs: Date.now(), perHour: this.priceOf(vm),
			});
		}
	}

	/** VMs not yet gone. */
	list(): VmEntry[] {
		return [...this.vms.values()].filter(vm => vm.state !== VmState.Gone);
	}

	/** Starts a VM on a free slot; undefined when there is no capacity. */
	start(order: VmOrder): VmEntry | undefined {
		const earlier = this.byRequest.get(order.requestId);
		if (earlier !== undefined) {
			return this.vms.get(earlier);
		}

		if (this.faults.refuseStarts?.includes(order.failureDomain)) {
			return undefined;
		}

		const taken = new Set(this.list().map(vm => vm.url));
		const slot = this.settings.slots.find(candidate => candidate.failureDomain === order.failureDomain && !taken.has(candidate.url) && !this.brokenSlots.has(candidate.url));
		if (!slot) {
			return undefined;
		}

		const {failureDomain, machineClass, reclaimable} = order;
		const vm: VmEntry = {
			name: `vm-${++this.started}`, url: slot.url, failureDomain, machineClass, reclaimable, state: VmState.Booting, startedAtMs: Date.now(), perHour: this.priceOf(order),
		};
		this.vms.set(vm.name, vm);
		this.byRequest.set(order.requestId, vm.name);
		void this.boot(vm);
		return vm;
	}

	/** Stops a VM at once. */
	async stop(vm: VmEntry): Promise<void> {
		if (vm.state !== VmState.Gone) {
			vm.state = VmState.Gone;
			await this.power(vm, false);
		}
	}

	/** Announces the reclaim of every reclaimable VM of a failure domain. */
	reclaim(failureDomain: string): ReclaimNotice[] {
		const nowMs = Date.now();
		const leaving = this.list().filter(vm => vm.failureDomain === failureDomain && vm.reclaimable && vm.state !== VmState.Leaving);
		const announced = leaving.map(vm => {
			vm.state = VmState.Leaving;
			vm.leavesAtMs = nowMs + this.settings.reclaimNoticeMs;
			const notice = {
				number: this.notices.length, vm: vm.name, failureDomain, noticedAtMs: nowMs, leavesAtMs: vm.leavesAtMs,
			};
			this.notices.push(notice);
			void this.stopAt(vm, vm.leavesAtMs - nowMs);
			return notice;
		});
		log.info('reclaim announced.', {failureDomain, vms: leaving.map(vm => vm.name)});
		return announced;
	}

	private priceOf(order: {failureDomain: string; machineClass: string; reclaimable: boolean}): number {
		return this.settings.prices.find(price => price.failureDomain === order.failureDomain && price.machineClass === order.machineClass && price.reclaimable === order.reclaimable)?.perHour ?? 0;
	}

	private async boot(vm: VmEntry): Promise<void> {
		await delay(this.settings.bootMs, undefined, {signal: this.signal}).catch(() => undefined);
		if (vm.state !== VmState.Booting) {
			return;
		}

		const isUp = await this.power(vm, true);
		vm.state = isUp ? VmState.Live : VmState.Gone;
		if (!isUp) {
			this.brokenSlots.add(vm.url);
		}
	}

	private async stopAt(vm: VmEntry, afterMs: number): Promise<void> {
		await delay(afterMs, undefined, {signal: this.signal}).catch(() => undefined);
		if (!this.signal.aborted) {
			await this.stop(vm);
		}
	}

	/** Switches a slot's power; false when its process does not answer. */
	private async power(vm: VmEntry, isOn: boolean): Promise<boolean> {
		try {
			await requestJson({
				method: 'POST', url: `${vm.url}/admin/power`, payload: {on: isOn, id: vm.name}, timeoutMs: 2000,
			});
			return true;
		} catch (error) {
			log.warn('slot did not answer.', {vm: vm.name, error: String(error)});
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
	const server = createObservedServer(settings.listen, createRegistry(), () => ({faults, notices, vms: [...vms.values()]}));
	addFaultRoute(server, faults);
	server.ext('onPreHandler', async (request, h) => {
		if (request.path.startsWith('/admin/') || request.path.startsWith('/debug/')) {
			return h.continue;
		}

		await applySlowMode(faults.slowMs);
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
	server.route({method: 'POST', path: '/admin/reclaim', handler: request => cloud.reclaim((request.payload as {failureDomain: string}).failureDomain)});
	await startServer(server);
	log.info('listening.', {port: server.info.port});
	await waitForAbort(signal);
	await server.stop({timeout: 1000});
}

function addVmRoutes(server: Hapi.Server, cloud: Cloud): void {
	server.route({method: 'GET', path: '/vms', handler: () => cloud.list()});
	server.route({
		method: 'POST',
		path: '/vms',
		handler(request, h) {
			const vm = cloud.start(request.payload as VmOrder);
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

			await cloud.stop(vm);
			return vm;
		},
	});
}
