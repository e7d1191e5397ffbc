/**
 * The backend servers that a gateway knows, and which of them may receive new work. Backend
 * servers come from the settings or the VM list. A backend server is marked as leaving by the
 * first source that reports it: a reclaim notice, the VM list or the engine's own report; a
 * drain in the configuration excludes it from new work as well. Leaving is final: the name of a
 * VM is never used again, so an outdated list that still shows it live does not restore it.
 */
import {type BackendServer, BackendKind} from '../protocol/gateway-settings.js';
import {type VmEntry, VmState} from '../protocol/cloud-api.js';

/** The state of a backend server. */
export enum BackendState {
	Ready = 'ready',
	Leaving = 'leaving',
	Gone = 'gone',
}

/** The source that reported a backend server as leaving. */
export enum LeavingSource {
	Notice = 'notice',
	VmList = 'vm-list',
	/** The engine itself: it reports that it is draining, or another VM answers at its address. */
	Engine = 'engine',
}

/** One backend server, as this gateway knows it. */
export type BackendEntry = {
	backend: BackendServer;
	state: BackendState;
	/** Whether the VM list has shown it; one that the list has never shown comes from the settings. */
	listed: boolean;
	leavesAtMs?: number;
	learnedFrom?: LeavingSource;
	learnedAtMs?: number;
	goneAtMs?: number;
};

/** How long the entry of a VM that is gone is kept, in milliseconds, so that an outdated list does not add it again. */
export const goneRetentionMs = 60_000;

type Listener = (entry: BackendEntry) => void;

/** The table of backend servers. */
export class BackendDirectory {
	private readonly entries = new Map<string, BackendEntry>();
	private readonly newBackendListeners: Listener[] = [];
	private readonly leavingListeners: Listener[] = [];

	/**
	 * @param seed The backend servers from the settings.
	 * @param drained Returns the ids of the backend servers that the configuration in force drains.
	 */
	constructor(
		seed: BackendServer[],
		private readonly drained: () => ReadonlySet<string>,
	) {
		for (const backend of seed) {
			this.entries.set(backend.id, {backend, state: BackendState.Ready, listed: false});
		}
	}

	/** Calls `listener` for every known backend server, and for each one that is added later. */
	onAdded(listener: Listener): void {
		this.newBackendListeners.push(listener);
		for (const entry of this.entries.values()) {
			listener(entry);
		}
	}

	/** Calls `listener` for each backend server when it is marked as leaving. */
	onLeaving(listener: Listener): void {
		this.leavingListeners.push(listener);
	}

	/** Returns every backend server that is not gone. */
	present(): BackendServer[] {
		return [...this.entries.values()].filter(entry => entry.state !== BackendState.Gone).map(entry => entry.backend);
	}

	/** Returns the backend servers of a kind that may receive new work. */
	acceptingWork(kind: BackendKind): BackendServer[] {
		const drained = this.drained();
		return [...this.entries.values()]
			.filter(entry => entry.state === BackendState.Ready && entry.backend.kind === kind && !drained.has(entry.backend.id))
			.map(entry => entry.backend);
	}

	/** Counts the backend servers in a state. */
	count(state: BackendState): number {
		return [...this.entries.values()].filter(entry => entry.state === state).length;
	}

	/** Whether a backend server is known and not gone, so that it may still finish its requests. */
	isPresent(id: string): boolean {
		const entry = this.entries.get(id);
		return entry !== undefined && entry.state !== BackendState.Gone;
	}

	/** Marks a backend server as leaving at `nowMs`; only the first source that reports it is recorded. */
	markLeaving(id: string, source: LeavingSource, leavesAtMs: number | undefined, nowMs: number): void {
		const entry = this.entries.get(id);
		if (entry?.state !== BackendState.Ready) {
			return;
		}

		entry.state = BackendState.Leaving;
		entry.leavesAtMs = leavesAtMs;
		entry.learnedFrom = source;
		entry.learnedAtMs = nowMs;
		for (const listener of this.leavingListeners) {
			listener(entry);
		}
	}

	/** Applies the VM list that was read at `nowMs`. */
	applyVmList(vms: VmEntry[], nowMs: number): void {
		const listed = new Set<string>();
		for (const vm of vms) {
			listed.add(vm.name);
			this.applyVm(vm, nowMs);
		}

		for (const [id, entry] of this.entries) {
			if (entry.listed && !listed.has(id) && entry.state !== BackendState.Gone) {
				this.markLeaving(id, LeavingSource.VmList, nowMs, nowMs);
				entry.state = BackendState.Gone;
				entry.goneAtMs = nowMs;
			}

			if (entry.state === BackendState.Gone && nowMs - entry.goneAtMs! > goneRetentionMs && !listed.has(id)) {
				this.entries.delete(id);
			}
		}
	}

	/** Returns the entries for the state dump. */
	toJson(): Array<Record<string, unknown>> {
		return [...this.entries.values()].map(({backend, ...rest}) => ({id: backend.id, failureDomain: backend.failureDomain, ...rest}));
	}

	private applyVm(vm: VmEntry, nowMs: number): void {
		const known = this.entries.get(vm.name);
		if (known) {
			known.listed = true;
			if (vm.state === VmState.Leaving) {
				this.markLeaving(vm.name, LeavingSource.VmList, vm.leavesAtMs, nowMs);
			}

			return;
		}

		if (vm.state !== VmState.Live) {
			return;
		}

		// A VM that the controller started: an engine whose model is known from its load report.
		const entry: BackendEntry = {
			backend: {
				id: vm.name, kind: BackendKind.Engine, name: '', url: vm.url, failureDomain: vm.failureDomain, checksFencing: false,
			},
			state: BackendState.Ready,
			listed: true,
		};
		this.entries.set(vm.name, entry);
		for (const listener of this.newBackendListeners) {
			listener(entry);
		}
	}
}
