import process from 'node:process';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {requestJson} from '../../transport/http-client.js';
import {type VmEntry, VmState} from '../../protocol/cloud-api.js';
import {type ModelFleet} from '../../protocol/config-records.js';
import {
	findProcessId, publishPreset, readState, receiveStream, setFaults, buildSmallTopology, startTestStack, type TestStack, waitUntil,
} from '../../testing/stack.js';

const basePort = 27_000;
const leaseMs = 1500;
const failureDomains = ['fd-a', 'fd-b', 'fd-c'];
const engineUrls = Array.from({length: 9}, (_, index) => `http://127.0.0.1:${basePort + 100 + index}`);
const fleet: ModelFleet = {
	min: 4, max: 6, inFlightPerReplica: 8, survivingShare: 0.5, machineClass: 'small',
};

type GatewayState = {id: string; lease: {holding: boolean; lease?: {holder: string; token: number}}};
type EngineState = {id: string; powered: boolean; model?: string; orders: Array<{fencingToken: number; atMs: number; accepted: boolean}>};

/** A fault that keeps the holder of the lease from renewing it. */
type HolderFault = {
	name: string;
	/** The failure domain that is reclaimed so that the controller has orders to send. */
	failureDomain: string;
	stop: (holder: GatewayState) => Promise<void> | void;
	resume: (holder: GatewayState) => Promise<void> | void;
};

let stack: TestStack;

beforeAll(async () => {
	stack = await startTestStack(buildSmallTopology(basePort, {
		failureDomains,
		models: [{name: 'desk', replicas: 3}],
		spareSlots: 2,
		cloud: {reclaimNoticeMs: 2000, bootMs: 200},
		vmListLagMs: 300,
		downloadsPerSecond: 10,
		controller: {leaseMs, passMs: 100, silentMs: 1500},
		prices: failureDomains.flatMap(failureDomain => [
			{
				failureDomain, machineClass: 'small', reclaimable: true, perHour: 1,
			},
			{
				failureDomain, machineClass: 'small', reclaimable: false, perHour: 3,
			},
		]),
	}));
	await publishPreset(stack, {
		name: 'ordinary', limits: {default: {requestsPerSecond: 1000, burst: 1000, maxConcurrent: 1000}}, fleet: {desk: fleet},
	});
});

afterAll(async () => {
	await stack?.running.stop();
});

/** Reads the states of the gateways that answer. */
async function gatewayStates(): Promise<GatewayState[]> {
	const states = await Promise.all(stack.gateways.map(async gateway => readState<GatewayState>(gateway.adminUrl).catch(() => undefined)));
	return states.filter(state => state !== undefined);
}

async function holder(): Promise<GatewayState | undefined> {
	const states = await gatewayStates();
	return states.find(state => state.lease.holding);
}

async function liveVms(): Promise<VmEntry[]> {
	const answer = await requestJson<VmEntry[]>({method: 'GET', url: `${stack.cloudUrl}/vms`});
	return answer.body.filter(vm => vm.state === VmState.Live);
}

async function readEngines(): Promise<EngineState[]> {
	return Promise.all(engineUrls.map(async url => readState<EngineState>(url)));
}

async function servingEngines(): Promise<number> {
	const states = await readEngines();
	return states.filter(state => state.powered && state.model === 'desk').length;
}

async function ordersByEngine(): Promise<Array<EngineState['orders']>> {
	const states = await readEngines();
	return states.map(state => state.orders);
}

describe('FleetController', () => {
	it('starts the VMs that the preset specifies and orders them to load their model', async () => {
		await waitUntil(async () => await servingEngines() === fleet.min);
		const answer = await receiveStream({url: stack.gateways[0].url, prompt: 'first', maxTokens: 4});
		expect(answer.isDone).toBe(true);
	});

	it('replaces the VMs of a reclaimed failure domain in others when starts in it are refused', async () => {
		await setFaults(stack.cloudUrl, {refuseStarts: ['fd-a']});
		await requestJson({method: 'POST', url: `${stack.cloudUrl}/admin/reclaim`, payload: {failureDomain: 'fd-a'}});
		await waitUntil(async () => {
			const vms = await liveVms();
			return vms.length >= fleet.min && vms.every(vm => vm.failureDomain !== 'fd-a');
		});
		// Once the reclaimed VMs are gone, only their replacements serve.
		await waitUntil(async () => {
			const [vms, states] = await Promise.all([liveVms(), readEngines()]);
			return states.filter(state => state.powered).length === vms.length && await servingEngines() >= fleet.min;
		});
		await setFaults(stack.cloudUrl, {refuseStarts: []});
	});

	it('starts no more VMs than the maximum when the answers to starts are lost', async () => {
		const before = await liveVms();
		await setFaults(stack.cloudUrl, {loseAnswers: true});
		await requestJson({method: 'DELETE', url: `${stack.cloudUrl}/vms/${before[0].name}`});
		await waitUntil(async () => await servingEngines() >= fleet.min);
		await setFaults(stack.cloudUrl, {loseAnswers: false});
		const after = await liveVms();
		expect(after.length).toBeLessThanOrEqual(fleet.max);
	});

	it('replaces a VM whose engine was killed', async () => {
		// Engine processes are ordered by port: the three of the model first, then the spare slots.
		const names = ['desk-0', 'desk-1', 'desk-2', ...failureDomains.flatMap(domain => [0, 1].map(spare => `slot-${domain}-${spare}`))];
		const states = await readEngines();
		const victim = states.findIndex(state => state.powered && state.model === 'desk');
		process.kill(findProcessId(stack, names[victim]), 'SIGKILL');
		engineUrls.splice(victim, 1);
		await waitUntil(async () => {
			const vms = await liveVms();
			return vms.every(vm => vm.name !== states[victim].id) && await servingEngines() >= fleet.min;
		});
	});

	it('adds replicas when demand rises', async () => {
		const streams = Array.from({length: 44}, async (_, index) => receiveStream({url: stack.gateways[index % 3].url, prompt: `peak ${index}`, maxTokens: 200}));
		await waitUntil(async () => await servingEngines() === fleet.max);
		const answers = await Promise.all(streams);
		expect(answers.every(answer => answer.isDone)).toBe(true);
	});
});

describe('FleetController on two gateways', () => {
	it.each([
		{
			name: 'that is suspended beyond its lease',
			failureDomain: 'fd-b',
			stop(first: GatewayState) {
				process.kill(findProcessId(stack, first.id), 'SIGSTOP');
			},
			resume(first: GatewayState) {
				process.kill(findProcessId(stack, first.id), 'SIGCONT');
			},
		},
		{
			name: 'that the platform log refuses',
			failureDomain: 'fd-c',
			async stop(first: GatewayState) {
				await setFaults(stack.logUrl, {refuseClients: [first.id]});
			},
			async resume() {
				await setFaults(stack.logUrl, {refuseClients: []});
			},
		},
	] as HolderFault[])('sends no order from a holder $name after the first order of its successor', async ({failureDomain, stop, resume}) => {
		await waitUntil(async () => await holder() !== undefined);
		const first = await holder();
		await stop(first!);
		const stoppedAtMs = Date.now();
		await waitUntil(async () => {
			const states = await gatewayStates();
			return states.some(state => state.lease.holding && state.id !== first!.id);
		});
		// The reclaim makes orders necessary for the successor, and for the old holder if it believes that it still holds the lease.
		await requestJson({method: 'POST', url: `${stack.cloudUrl}/admin/reclaim`, payload: {failureDomain}});
		const states = await gatewayStates();
		const second = states.find(state => state.lease.holding && state.id !== first!.id);
		const newToken = second!.lease.lease!.token;
		await waitUntil(async () => {
			const received = await ordersByEngine();
			return received.flat().some(order => order.fencingToken === newToken);
		});
		await resume(first!);
		const {adminUrl} = stack.gateways.find(gateway => gateway.id === first!.id)!;
		await waitUntil(async () => {
			const woken = await readState<GatewayState>(adminUrl);
			return woken.lease.lease?.holder === second!.id && await servingEngines() >= fleet.min;
		});
		const oldToken = first!.lease.lease!.token;
		const received = await ordersByEngine();
		expect(received.flat().filter(order => order.fencingToken === oldToken && order.atMs > stoppedAtMs + leaseMs)).toEqual([]);
		for (const orders of received) {
			const tokens = orders.map(order => order.fencingToken);
			expect(tokens).toEqual(tokens.toSorted((a, b) => a - b));
		}
	});

	it('hands over the lease at once when the holder stops gracefully', async () => {
		const first = await holder();
		process.kill(findProcessId(stack, first!.id), 'SIGTERM');
		await waitUntil(async () => {
			const next = await holder();
			return next !== undefined && next.id !== first!.id;
		}, 3000);
	});
});
