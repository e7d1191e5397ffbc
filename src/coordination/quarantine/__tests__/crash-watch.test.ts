/**
 * Guards against blaming requests for broken runs that they did not cause: only a backend server
 * that crashed is evidence, not one that is overloaded, draining or being reclaimed.
 */
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import process from 'node:process';
import {describe, expect, it} from 'vitest';
import {SteadyClock} from '../../../clock.js';
import {type Backend, BackendState} from '../../../protocol/serving.js';
import {BackendTable} from '../../../state/backend-table.js';
import {isConnectionRefused} from '../../../transport/port-probe.js';
import {backendKey} from '../../fleet/backend-key.js';
import {CrashWatch, type EndedRun, soundWritingMs} from '../crash-watch.js';
import {Quarantine} from '../quarantine.js';
import {listFingerprints} from '../request-fingerprint.js';

const backend = (id: string, overrides: Partial<Backend> = {}): Backend => ({
	id, name: id, startedAtMs: undefined, service: 's', version: 'v1', host: '127.0.0.1', port: 1, failureDomain: 'fd-a', slots: 64, state: BackendState.Ready, isReclaimable: true, leavesInMs: undefined, coldForMs: 0, ...overrides,
});
const brokenRun = (on: Backend, request = 77): EndedRun => ({backend: on, fingerprints: {request, parts: []}, writingMs: undefined});
const draining = {state: BackendState.Draining, leavesInMs: 1000};

describe('a run that breaks off', () => {
	it.each<{name: string; isListed?: boolean; isRefused?: boolean; change?: (table: BackendTable) => unknown; isEvidence: boolean}>([
		{name: 'at a backend server that then refuses connections', isEvidence: true},
		{name: 'at one that still accepts connections: it is overloaded, or its answer was corrupted', isRefused: false, isEvidence: false},
		{name: 'at one that is draining or being reclaimed', change: table => table.upsert(backend('i-1', draining), 0), isEvidence: false},
		{name: 'at one whose entry was removed before', change: table => table.markRemoved('i-1', 0), isEvidence: false},
		{name: 'at one that is no longer known', isListed: false, isEvidence: false},
		{
			name: 'at one that has restarted under the same name', isRefused: false, change: table => table.upsert(backend('i-1#2', {name: 'i-1', startedAtMs: 5}), 0), isEvidence: true,
		},
	])('$name is evidence: $isEvidence', async ({isListed = true, isRefused = true, change = () => undefined, isEvidence}) => {
		const backends = new BackendTable({drainMs: 2000});
		if (isListed) {
			backends.upsert(backend('i-1'), 0);
		}

		change(backends);
		const quarantine = new Quarantine(() => false);
		await new CrashWatch({
			backends, quarantine, clock: new SteadyClock(), refuses: async () => isRefused,
		}).recordBrokenRun(brokenRun(backend('i-1')));
		expect(quarantine.isEmpty).toBe(!isEvidence);
	});

	it.each([
		{name: 'one of two others accepts connections', others: {'i-2': false, 'i-3': true}, isEvidence: true},
		{name: 'no other accepts connections: the daemon may be cut off', others: {'i-2': false, 'i-3': false}, isEvidence: false},
	])('is evidence: $isEvidence, when $name', async ({others, isEvidence}) => {
		const backends = new BackendTable({drainMs: 2000});
		for (const id of ['i-1', ...Object.keys(others)]) {
			backends.upsert(backend(id, {host: id}), 0);
		}

		const quarantine = new Quarantine(() => false);
		await new CrashWatch({
			backends, quarantine, clock: new SteadyClock(), refuses: async () => true, accepts: async ({host}) => (others as Record<string, boolean>)[host],
		}).recordBrokenRun(brokenRun(backend('i-1', {host: 'i-1'})));
		expect(quarantine.isEmpty).toBe(!isEvidence);
	});

	// Crashed backend servers stay listed for a while. A daemon that asks only these takes itself for cut off and misses the crash.
	it('is evidence when more others are known to have crashed than are asked, and one accepts connections', async () => {
		const crashed = Array.from({length: 6}, (_, index) => `i-${index + 2}`);
		const backends = new BackendTable({drainMs: 2000});
		for (const id of ['i-1', ...crashed, 'i-8']) {
			backends.upsert(backend(id, {host: id}), 0);
		}

		const quarantine = new Quarantine(() => false);
		const clock = new SteadyClock();
		for (const id of crashed) {
			quarantine.recordCrash([5], backendKey(id), clock.now());
		}

		await new CrashWatch({
			backends, quarantine, clock, refuses: async () => true, accepts: async ({host}) => host === 'i-8',
		}).recordBrokenRun(brokenRun(backend('i-1', {host: 'i-1'})));
		expect(quarantine.isSuspected({request: 77, parts: []})).toBe(true);
	});

	it('takes its backend server out of those that should accept connections, also at daemons that were told', async () => {
		const backends = new BackendTable({drainMs: 2000});
		for (const id of ['i-1', 'i-2']) {
			backends.upsert(backend(id), 0);
		}

		const [quarantine, other] = [new Quarantine(() => false), new Quarantine(() => false)];
		const clock = new SteadyClock();
		const crashWatch = new CrashWatch({
			backends, quarantine, clock, refuses: async () => true, accepts: async () => true,
		});
		await crashWatch.recordBrokenRun(brokenRun(backend('i-1')));
		other.applyUpdates(quarantine.recentUpdates(false, clock.now()), false, clock.now());
		const otherWatch = new CrashWatch({backends, quarantine: other, clock});
		for (const watch of [crashWatch, otherWatch]) {
			expect(watch.runningBackends('s', clock.now()).map(({id}) => id)).toEqual(['i-2']);
		}
	});

	it('causes one check for all runs that broke off there together', async () => {
		const backends = new BackendTable({drainMs: 2000});
		backends.upsert(backend('i-1'), 0);
		let checks = 0;
		const crashWatch = new CrashWatch({
			backends, quarantine: new Quarantine(() => false), clock: new SteadyClock(), async refuses() {
				checks++;
				return true;
			},
		});
		await Promise.all(Array.from({length: 64}, async (_, index) => crashWatch.recordBrokenRun(brokenRun(backend('i-1'), index))));
		expect(checks).toBe(1);
	});
});

describe('the end of a run', () => {
	const part = 5;
	const fingerprints = {request: 77, parts: [part]};

	/** Creates a watch over one backend server that refuses connections or not. */
	function watchBackend(isRefused: boolean): {crashWatch: CrashWatch; quarantine: Quarantine} {
		const backends = new BackendTable({drainMs: 2000});
		backends.upsert(backend('i-1'), 0);
		const quarantine = new Quarantine(() => false);
		return {
			quarantine, crashWatch: new CrashWatch({
				backends, quarantine, clock: new SteadyClock(), refuses: async () => isRefused,
			}),
		};
	}

	it.each([
		{name: 'before its answer began', writingMs: undefined, accusesPart: true},
		{name: 'just after its answer began', writingMs: soundWritingMs - 1, accusesPart: true},
		{name: 'long after its answer began', writingMs: soundWritingMs, accusesPart: false},
	])('in a crash $name accuses the parts of its prompt: $accusesPart', async ({writingMs, accusesPart}) => {
		const {crashWatch, quarantine} = watchBackend(true);
		await crashWatch.recordBrokenRun({backend: backend('i-1'), fingerprints, writingMs});
		expect(quarantine.isSuspected({request: 0, parts: [part]})).toBe(accusesPart);
		expect(quarantine.isSuspected({request: 77, parts: []})).toBe(true);
	});

	it.each([
		{
			name: 'a short answer clears its request if the backend server stays up', writingMs: 5, isRefused: false, isSuspected: false,
		},
		{
			name: 'a short answer does not clear its request if the backend server then crashes', writingMs: 5, isRefused: true, isSuspected: true,
		},
		{
			name: 'a long answer clears its request at once', writingMs: soundWritingMs, isRefused: true, isSuspected: false,
		},
	])('$name', async ({writingMs, isRefused, isSuspected}) => {
		const {crashWatch, quarantine} = watchBackend(isRefused);
		quarantine.recordCrash(listFingerprints(fingerprints), 1, 0);
		await crashWatch.recordCompletedRun({backend: backend('i-1'), fingerprints, writingMs});
		expect(quarantine.isSuspected(fingerprints)).toBe(isSuspected);
	});
});

describe('isConnectionRefused', () => {
	/** Starts a server that does something with each connection, and returns its port. */
	async function listen(handle: (server: Server, socket: Socket) => void): Promise<{server: Server; port: number}> {
		const server = createServer(socket => {
			handle(server, socket);
		}).listen(0, '127.0.0.1');
		await once(server, 'listening');
		return {server, port: (server.address() as AddressInfo).port};
	}

	it('is false for a listening port and true after it is closed', async () => {
		const {server, port} = await listen(() => undefined);
		expect(await isConnectionRefused({host: '127.0.0.1', port}, 500)).toBe(false);
		await new Promise(resolve => {
			server.close(resolve);
		});
		expect(await isConnectionRefused({host: '127.0.0.1', port}, 500)).toBe(true);
	});

	// A process that is killed loses connections before its port. If one that is accepted in between proves that it runs, its crash is missed.
	it.each([
		{
			name: 'resets the connection and closes its port', handle(server: Server, socket: Socket) {
				server.close();
				socket.resetAndDestroy();
			}, isRefused: true,
		},
		{
			name: 'ends the connection and closes its port', handle(server: Server, socket: Socket) {
				server.close();
				socket.end();
			}, isRefused: true,
		},
		{
			name: 'resets each connection and keeps its port', handle(_: Server, socket: Socket) {
				socket.resetAndDestroy();
			}, isRefused: false,
		},
	])('is $isRefused for a process that $name', async ({handle, isRefused}) => {
		const {server, port} = await listen(handle);
		expect(await isConnectionRefused({host: '127.0.0.1', port}, 500)).toBe(isRefused);
		server.close();
	});

	// A daemon on a busy VM may not run for longer than the time limit. If the timer is then handled before the refusal, the crash is missed.
	it('is true for a closed port if this process does not run until the time is over', async () => {
		const {server, port} = await listen(() => undefined);
		await new Promise(resolve => {
			server.close(resolve);
		});
		const refused = isConnectionRefused({host: '127.0.0.1', port}, 50);
		// The connection is opened in the next tick.
		await new Promise<void>(resolve => {
			process.nextTick(resolve);
		});
		const startMs = performance.now();
		while (performance.now() - startMs < 100) {
			// Keeps the event loop from running.
		}

		expect(await refused).toBe(true);
	});
});
