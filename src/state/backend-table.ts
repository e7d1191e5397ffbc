/**
 * The backend servers that the platform lists, by id. Leaving is final for an id. An entry
 * that vanishes without having left is kept aside for a moment, because entries also lapse
 * while the store is out of order and come back when it returns.
 */
import {type Backend, BackendState} from '../protocol/serving.js';

/** How long a backend server whose entry vanished may still be used when no other is left, in milliseconds; below the bound on new work for leaving ones. */
const vanishedUseMs = 800;

/** A backend server and what is known of its leaving. */
export type BackendEntry = {
	backend: Backend;
	/** When the daemon first heard of it. */
	seenAtMs: number;
	/** When the daemon learned that it leaves or is gone. */
	leavingSinceMs: number | undefined;
	/** When it is expected to be gone. */
	leavesAtMs: number | undefined;
	/** When its entry vanished. */
	vanishedAtMs: number | undefined;
};

/** The backend servers there are. */
export class BackendTable {
	private readonly entries = new Map<string, BackendEntry>();
	private readonly byService = new Map<string, BackendEntry[]>();

	/** @param bounds `drainMs` is how long a leaving backend server serves on, unless it says otherwise. */
	constructor(private readonly bounds: {drainMs: number}) {}

	/**
	 * Takes an entry of the platform's list.
	 *
	 * @returns The entry, and whether it began to leave with this call.
	 */
	upsert(backend: Backend, nowMs: number): {entry: BackendEntry; beganToLeave: boolean} {
		const known = this.entries.get(backend.id);
		const entry = known ?? {
			backend, seenAtMs: nowMs, leavingSinceMs: undefined, leavesAtMs: undefined, vanishedAtMs: undefined,
		};
		entry.backend = backend;
		if (entry.vanishedAtMs !== undefined) {
			entry.vanishedAtMs = undefined;
			entry.leavesAtMs = entry.leavingSinceMs === undefined ? undefined : entry.leavesAtMs;
		}

		const beganToLeave = backend.state === BackendState.Draining && entry.leavingSinceMs === undefined;
		if (beganToLeave) {
			entry.leavingSinceMs = nowMs;
			entry.leavesAtMs = nowMs + (backend.leavesInMs ?? this.bounds.drainMs);
		}

		if (!known) {
			this.entries.set(backend.id, entry);
			this.byService.set(backend.service, [...this.byService.get(backend.service) ?? [], entry]);
		}

		return {entry, beganToLeave};
	}

	/** Notes that an entry was removed from the platform's list. */
	vanish(id: string, nowMs: number): BackendEntry | undefined {
		const entry = this.entries.get(id);
		if (entry && entry.vanishedAtMs === undefined) {
			entry.vanishedAtMs = nowMs;
			// Some leave without saying so first, and serve on for as long as the others.
			entry.leavesAtMs ??= nowMs + this.bounds.drainMs;
		}

		return entry;
	}

	/** Notes that another backend server answers at the address of this one. */
	replaced(id: string, nowMs: number): void {
		const entry = this.entries.get(id);
		if (entry) {
			entry.leavingSinceMs ??= nowMs;
		}
	}

	/** Makes the table match a full list: entries that it lacks have vanished. */
	retain(ids: ReadonlySet<string>, nowMs: number): void {
		for (const id of this.entries.keys()) {
			if (!ids.has(id)) {
				this.vanish(id, nowMs);
			}
		}
	}

	get(id: string): BackendEntry | undefined {
		return this.entries.get(id);
	}

	/** Backend servers of a service that may get new work; lapsed ones only when there is no other. */
	candidates(service: string, nowMs: number): Backend[] {
		const staying = (this.byService.get(service) ?? []).filter(entry => entry.leavingSinceMs === undefined);
		const listed = staying.filter(entry => entry.vanishedAtMs === undefined);
		const usable = listed.length > 0 ? listed : staying.filter(entry => nowMs - entry.vanishedAtMs! <= vanishedUseMs);
		return usable.map(entry => entry.backend);
	}

	/** Backend servers that the platform lists, the leaving ones included. */
	listed(): BackendEntry[] {
		return [...this.entries.values()].filter(entry => entry.vanishedAtMs === undefined);
	}

	/** Forgets entries that vanished long ago. */
	prune(olderThanMs: number, nowMs: number): void {
		for (const [id, entry] of this.entries) {
			if (entry.vanishedAtMs !== undefined && nowMs - entry.vanishedAtMs > olderThanMs) {
				this.entries.delete(id);
				this.byService.set(entry.backend.service, this.byService.get(entry.backend.service)!.filter(other => other !== entry));
			}
		}
	}

	/** What a state dump shows. */
	toJson(): unknown {
		return [...this.entries.values()];
	}
}
