// Measures the CPU and memory that the controller costs the holder of its lease, as the number of VMs grows.
import {setTimeout as delay} from 'node:timers/promises';
import {
	operatorToken, postJson, readState, withStack,
} from './harness.mjs';

const passMs = 500;
const windowSeconds = 5;
const failureDomains = Array.from({length: 15}, (_, index) => `fd-${index}`);
const preset = {
	name: 'fleet',
	limits: {default: {requestsPerSecond: 10, burst: 10, maxConcurrent: 10}},
	fleet: {
		desk: {
			min: 0,
			max: 0,
			inFlightPerReplica: 8,
			survivingShare: 0.8,
			machineClass: 'small',
		},
	},
};

async function measureCpu(admin) {
	const before = await readState(admin);
	await delay(windowSeconds * 1000);
	const after = await readState(admin);
	return {
		cpuCoreShare: (after.process.cpuUs - before.process.cpuUs) / 1e6 / windowSeconds,
		passes: after.state.controller.passes - before.state.controller.passes,
		rssBytes: after.process.rssBytes,
	};
}

async function measureController(count) {
	const vms = Array.from({length: count}, (_, index) => ({
		name: `vm-x${index}`,
		url: 'http://127.0.0.1:9',
		failureDomain: failureDomains[index % failureDomains.length],
		machineClass: 'small',
		reclaimable: true,
	}));
	const topology = {
		failureDomains,
		models: [],
		cloud: {vms, slots: []},
		controller: {leaseMs: 3000, passMs},
		gatewaySettings: {vmList: undefined},
	};
	return withStack({basePort: 17_000, settleMs: 4000, topology}, async ({stack}) => {
		const admin = stack.gateways[0].adminUrl;
		await postJson(`${admin}/admin/presets`, {preset}, operatorToken);
		const withoutFleet = await measureCpu(admin);
		await postJson(`${admin}/admin/activate`, {name: preset.name}, operatorToken);
		const withFleet = await measureCpu(admin);
		return {
			vms: count, passMs, withoutFleet, withFleet,
		};
	});
}

/** Measures CPU and memory of the lease holder for several numbers of VMs in the cloud's list. */
export async function controller(vmCounts = [16, 128, 512, 1900]) {
	const results = [];
	for (const count of vmCounts) {
		// eslint-disable-next-line no-await-in-loop
		results.push(await measureController(count));
	}

	return {results};
}
