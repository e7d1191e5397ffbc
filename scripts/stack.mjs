// The local stack: writes the settings file of every process of a topology and starts each as an OS process on
// loopback. Used by `npm start`, the tests and the capacity experiments.
import process from 'node:process';
import {spawn} from 'node:child_process';
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

/** Loopback address on which all processes listen. */
export const host = '127.0.0.1';

/**
 * Writes the settings files of a topology into `dir` and returns the processes to start.
 * @param {object} topology The parsed stack file, such as examples/*\/stack.json.
 * @param {string} dir Folder of the settings files.
 */
export function writeStackSettings(topology, dir) {
	mkdirSync(dir, {recursive: true});
	const firstPort = topology.basePort;
	const domains = topology.failureDomains;
	const processes = [];
	const addProcess = (name, settings, args) => {
		const file = path.join(dir, `${name}.json`);
		writeFileSync(file, JSON.stringify(settings, undefined, 2) + '\n');
		processes.push({name, args: [...args, '--config', file]});
	};

	addProcess('log', {
		listen: {host, port: firstPort}, failureDomain: domains[0], retentionMs: topology.retentionMs ?? 3_600_000, appendsPerSecond: topology.appendsPerSecond ?? 500,
	}, ['standin', 'log']);
	const backendServers = [];
	const vms = [];
	const slots = [];
	const machineClass = 'small';
	const weightsUrl = `http://${host}:${firstPort + 302}`;
	let engineCount = 0;
	const engineDefaults = {tpotMs: topology.tpotMs ?? 10, maxBatch: topology.maxBatch ?? 32, weightsUrl};
	for (const model of topology.models) {
		for (let replica = 0; replica < model.replicas; replica++) {
			const id = `${model.name}-${replica}`;
			const port = firstPort + 100 + engineCount++;
			const failureDomain = domains[replica % domains.length];
			addProcess(id, {
				...engineDefaults, id, listen: {host, port}, failureDomain, model: model.name, checksFencing: replica % 2 === 0,
			}, ['standin', 'engine']);
			const url = `http://${host}:${port}`;
			vms.push({
				name: id, url, failureDomain, machineClass, reclaimable: model.reclaimable ?? true,
			});
			slots.push({url, failureDomain});
			backendServers.push({
				id, kind: 'engine', name: model.name, url: `http://${host}:${port}`, failureDomain, checksFencing: replica % 2 === 0,
			});
		}
	}

	let serviceCount = 0;
	for (const service of topology.services) {
		for (let replica = 0; replica < service.replicas; replica++) {
			const id = `${service.name}-${replica}`;
			const port = firstPort + 200 + serviceCount++;
			const failureDomain = domains[replica % domains.length];
			addProcess(id, {id, listen: {host, port}, failureDomain}, ['standin', 'service']);
			backendServers.push({
				id, kind: 'service', name: service.name, url: `http://${host}:${port}`, failureDomain, checksFencing: false,
			});
		}
	}

	// Slots where the cloud stand-in may start more VMs: engine processes that begin powered off.
	for (const [index, failureDomain] of domains.entries()) {
		for (let slotIndex = 0; slotIndex < (topology.spareSlots ?? 0); slotIndex++) {
			const port = firstPort + 100 + engineCount++;
			addProcess(`slot-${failureDomain}-${slotIndex}`, {
				...engineDefaults, id: `slot-${failureDomain}-${slotIndex}`, listen: {host, port}, failureDomain, powered: false, checksFencing: index % 2 === 0,
			}, ['standin', 'engine']);
			slots.push({url: `http://${host}:${port}`, failureDomain});
		}
	}

	const placement = {failureDomain: domains[0]};
	const cloudUrl = `http://${host}:${firstPort + 300}`;
	addProcess('cloud', {
		listen: {host, port: firstPort + 300}, ...placement, prices: topology.prices ?? [], vms, slots, ...topology.cloud,
	}, ['standin', 'cloud']);
	addProcess('vms', {
		listen: {host, port: firstPort + 301}, ...placement, cloudUrl, lagMs: topology.vmListLagMs ?? 2000,
	}, ['standin', 'vms']);
	addProcess('weights', {
		listen: {host, port: firstPort + 302}, ...placement, downloadsPerSecond: topology.downloadsPerSecond ?? 2,
	}, ['standin', 'weights']);

	const gateways = [];
	for (let index = 0; index < topology.gateways; index++) {
		gateways.push({
			id: `gateway-${index}`, port: topology.callerPort + index, adminPort: topology.adminPort + index, failureDomain: domains[index % domains.length],
		});
	}

	for (const gateway of gateways) {
		addProcess(gateway.id, {
			id: gateway.id,
			failureDomain: gateway.failureDomain,
			listen: {host, port: gateway.port},
			admin: {host, port: gateway.adminPort, teams: topology.teams},
			platformLog: {url: `http://${host}:${firstPort}`, retentionMs: topology.retentionMs ?? 3_600_000},
			cloud: {url: cloudUrl},
			vmList: {url: `http://${host}:${firstPort + 301}`},
			controller: topology.controller,
			peers: gateways.filter(peer => peer.id !== gateway.id).map(peer => ({id: peer.id, url: `ws://${host}:${peer.adminPort}/peer`})),
			backendServers,
			clientAccounts: topology.accounts,
			heartbeatMs: topology.heartbeatMs ?? 1000,
			loadPollMs: 200,
			drainMs: 30_000,
			...topology.gatewaySettings,
		}, ['gateway']);
	}

	return {
		processes, gateways: gateways.map(gateway => ({...gateway, url: `http://${host}:${gateway.port}`, adminUrl: `http://${host}:${gateway.adminPort}`})), logUrl: `http://${host}:${firstPort}`, cloudUrl,
	};
}

/**
 * Starts each process of a stack and returns their handles; `stop()` sends SIGTERM to all and waits until they have exited.
 * @param {Array<{name: string, args: string[]}>} processes
 * @param {{binary?: string, quiet?: boolean}} options
 */
export function startStack(processes, options = {}) {
	const binary = options.binary ?? path.resolve('dist/sesametally.cjs');
	const children = processes.map(({name, args}) => {
		const child = spawn(process.execPath, [binary, ...args], {
			stdio: options.quiet ? ['ignore', 'ignore', 'ignore'] : ['ignore', 'inherit', 'inherit'],
			env: {...process.env, SESAMETALLY_LOG: options.quiet ? 'off' : (process.env.SESAMETALLY_LOG ?? 'on')},
		});
		const exited = new Promise(resolve => {
			child.once('exit', code => {
				resolve(code);
			});
		});
		return {name, child, exited};
	});
	return {
		children,
		async stop() {
			for (const {child} of children) {
				if (child.exitCode === null) {
					child.kill('SIGTERM');
				}
			}

			await Promise.all(children.map(({exited}) => exited));
		},
	};
}

/**
 * Polls a condition until it holds; one that throws doesn't hold yet.
 * @param {() => Promise<boolean>} condition
 * @param {number} timeoutMs
 * @throws {Error} If it doesn't hold within `timeoutMs` milliseconds.
 */
export async function waitUntil(condition, timeoutMs = 15_000) {
	const deadline = Date.now() + timeoutMs;
	let lastError;
	while (Date.now() < deadline) {
		try {
			// eslint-disable-next-line no-await-in-loop
			if (await condition()) {
				return;
			}
		} catch (error) {
			lastError = error;
		}

		// eslint-disable-next-line no-await-in-loop
		await delay(50);
	}

	throw new Error(`condition not met within ${timeoutMs} ms`, {cause: lastError});
}
