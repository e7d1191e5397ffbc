/**
 * The backend servers a gateway knows, and which of them may get new work. A backend
 * server is learned from settings or the VM list; that it is leaving is learned from a
 * reclaim notice, the VM list, the engine's own report, or a drain in the config,
 * whichever comes first. Leaving is final: a VM's name is never used again, so a lagging
 * list that still shows it live does not bring it back.
 */
import {type BackendServer, BackendKind} from '../protocol/gateway-settings.js';
import {type VmEntry, VmState} from '../protocol/cloud-api.js';

/** Whether a backend server may get work. */
export enum BackendState {
	Ready = 'ready',
	Leaving = 'leaving',
	Gone = 'gone',
}

/** Where the directory learned that a backend server leaves. */
export enum LeavingSource {
	Notice = 'notice',
	VmList = 'vm-list',
	/** The engine itself: it reports that it drains, or another VM answers at its address. */
	Engine = 'engine',
}

/** One backend server as known at this gateway. */
export type BackendEntry = {
	backend: BackendServer;
	state: BackendState;
	/** Whether the VM list has shown it; one that it never showed comes from settings. */
	listed: boolean;
	leavesAtMs?: number;
	learnedFrom?: LeavingSource;
	learnedAtMs?: number;
	goneAtMs?: number;
};

/** How long an entry of a VM that is gone is kept, so that a lagging list does not revive it. */
export const goneKeptMs = 60_000;

type Listener = (entry: BackendEntry) => void;

/** The table of backend servers. */
export class BackendDirectory {
	private readonly entries = new Map<string, BackendEntry>();
	private readonly addedListeners: Listener[] = [];
	private readonly leavingListeners: Listener[] = [];

	/**
	 * @param seed The backend servers of the settings.
	 * @param drained Ids of backend servers drained by the configuration in force.
	 */
	constructor(
		seed: BackendServer[],
		private readonly drained: () => ReadonlySet<string>,
	) {
		for (const backend of seed) {
			this.entries.set(backend.id, {backend, state: BackendState.Ready, listed: false});
		}
	}

	/** Calls `listener` for every backend server known now and each one learned later. */
	onAdded(listener: Listener): void {
		this.addedListeners.push(listener);
		for (const entry of this.entries.values()) {
			listener(entry);
		}
	}

	/** Calls `listener` for each backend server that is learned to be leaving. */
	onLeaving(listener: Listener): void {
		this.leavingListeners.push(listener);
	}

	/** Every backend server that is not gone. */
	present(): BackendServer[] {
		return [...this.entries.values()].filter(entry => entry.state !== BackendState.Gone).map(entry => entry.backend);
	}

	/** Backend servers of a kind that may get new work. */
	takingWork(kind: BackendKind): BackendServer[] {
		const drained = this.drained();
		return [...this.entries.values()]
			.filter(entry => entry.state === BackendState.Ready && entry.backend.kind === kind && !drained.has(entry.backend.id))
			.map(entry => entry.backend);
	}

	/** Backend servers in a state. */
	count(state: BackendState): number {
		return [...this.entries.values()].filter(entry => entry.state === state).length;
	}

	/** Whether a backend server may still finish what it has. */
	isPresent(id: string): boolean {
		const entry = this.entries.get(id);
		return entry !== undefined && entry.state !== BackendState.Gone;
	}

	/** Notes at `nowMs` that a backend server leaves; the first source to say so counts. */
	noteLeaving(id: string, source: LeavingSource, leavesAtMs: number | undefined, nowMs: number): void {
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

	/** Applies the VM list as read at `nowMs`. */
	applyVmList(vms: VmEntry[], nowMs: number): void {
		const listed = new Set<string>();
		for (const vm of vms) {
			listed.add(vm.name);
			this.applyVm(vm, nowMs);
		}

		for (const [id, entry] of this.entries) {
			if (entry.listed && !listed.has(id) && entry.state !== BackendState.Gone) {
				this.noteLeaving(id, LeavingSource.VmList, nowMs, nowMs);
				entry.state = BackendState.Gone;
				entry.goneAtMs = nowMs;
			}

			if (entry.state === BackendState.Gone && nowMs - entry.goneAtMs! > goneKeptMs && !listed.has(id)) {
				this.entries.delete(id);
			}
		}
	}

	/** A plain copy for state dumps. */
	toJson(): Array<Record<string, unknown>> {
		return [...this.entries.values()].map(({backend, ...rest}) => ({id: backend.id, failureDomain: backend.failureDomain, ...rest}));
	}

	private applyVm(vm: VmEntry, nowMs: number): void {
		const known = this.entries.get(vm.name);
		if (known) {
			known.listed = true;
			if (vm.state === VmState.Leaving) {
				this.noteLeaving(vm.name, LeavingSource.VmList, vm.leavesAtMs, nowMs);
			}

			return;
		}

		if (vm.state !== VmState.Live) {
			return;
		}

		// A VM started by the controller: an engine whose model its load report tells.
		const entry: BackendEntry = {
			backend: {
				id: vm.name, kind: BackendKind.Engine, name: '', url: vm.url, failureDomain: vm.failureDomain, checksFencing: false,
			},
			state: BackendState.Ready,
			listed: true,
		};
		this.entries.set(vm.name, entry);
		for (const listener of this.addedListeners) {
			listener(entry);
		}
	}
}
