/**
 * The backend servers that the platform lists. A backend server is one start of a process:
 * one that starts again under its name is a new one, and nothing known of the old one counts
 * for it. Leaving is final for a start. An entry that vanishes without having left is kept
 * aside for a moment, because entries also lapse while the store is out of order and come
 * back when it returns.
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
	/** Whether another start under its name proves that it has ended. */
	isEnded: boolean;
};

/** What an entry of the platform's list changed. */
export type ListChange = {
	entry: BackendEntry;
	/** Whether it began to leave with this entry. */
	beganToLeave: boolean;
	/** Whether this start was not known before. */
	isNew: boolean;
};

/** The backend servers there are. */
export class BackendTable {
	/** By the id of a start. */
	private readonly entries = new Map<string, BackendEntry>();
	/** The latest start of each name. */
	private readonly latest = new Map<string, BackendEntry>();
	private readonly byService = new Map<string, BackendEntry[]>();

	/** @param bounds `drainMs` is how long a leaving backend server serves on, unless it says otherwise. */
	constructor(private readonly bounds: {drainMs: number}) {}

	/** Takes an entry of the platform's list; one of an earlier start than the latest changes nothing. */
	upsert(backend: Backend, nowMs: number): ListChange {
		const latest = this.latest.get(backend.name);
		if (latest && startOf(backend) < startOf(latest.backend)) {
			return {entry: latest, beganToLeave: false, isNew: false};
		}

		const isNew = latest?.backend.id !== backend.id;
		if (latest && isNew) {
			this.end(latest, nowMs);
		}

		const entry = isNew ? this.add(backend, nowMs) : latest;
		this.update(entry, backend);
		const beganToLeave = backend.state === BackendState.Draining && entry.leavingSinceMs === undefined;
		if (beganToLeave) {
			entry.leavingSinceMs = nowMs;
			entry.leavesAtMs = nowMs + (backend.leavesInMs ?? this.bounds.drainMs);
		}

		return {entry, beganToLeave, isNew};
	}

	/** Notes that the entry of a name was removed from the platform's list. */
	vanish(name: string, nowMs: number): BackendEntry | undefined {
		const entry = this.latest.get(name);
		if (entry && entry.vanishedAtMs === undefined) {
			entry.vanishedAtMs = nowMs;
			// Some leave without saying so first, and serve on for as long as the others.
			entry.leavesAtMs ??= nowMs + this.bounds.drainMs;
		}

		return entry;
	}

	/** Notes that the entry of a name cannot be read: it gets no new work until one can, and its running work goes on, since it need not be leaving. */
	withhold(name: string, nowMs: number): void {
		const entry = this.latest.get(name);
		if (entry) {
			entry.vanishedAtMs ??= nowMs;
		}
	}

	/** Notes that another backend server answers at the address of this one. */
	replaced(id: string, nowMs: number): void {
		const entry = this.entries.get(id);
		if (entry) {
			entry.leavingSinceMs ??= nowMs;
		}
	}

	/** Makes the table match a full list: entries whose names it lacks have vanished. */
	retain(names: ReadonlySet<string>, nowMs: number): void {
		for (const name of this.latest.keys()) {
			if (!names.has(name)) {
				this.vanish(name, nowMs);
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
				this.removeFromService(entry);
				if (this.latest.get(entry.backend.name) === entry) {
					this.latest.delete(entry.backend.name);
				}
			}
		}
	}

	/** What a state dump shows. */
	toJson(): unknown {
		return [...this.entries.values()];
	}

	private add(backend: Backend, nowMs: number): BackendEntry {
		const entry: BackendEntry = {
			backend, seenAtMs: nowMs, leavingSinceMs: undefined, leavesAtMs: undefined, vanishedAtMs: undefined, isEnded: false,
		};
		this.entries.set(backend.id, entry);
		this.latest.set(backend.name, entry);
		this.addToService(entry);
		return entry;
	}

	/** Takes what a further entry says of a start. */
	private update(entry: BackendEntry, backend: Backend): void {
		if (entry.backend.service !== backend.service) {
			this.removeFromService(entry);
			entry.backend = backend;
			this.addToService(entry);
		}

		entry.backend = backend;
		if (entry.vanishedAtMs !== undefined) {
			entry.vanishedAtMs = undefined;
			entry.leavesAtMs = entry.leavingSinceMs === undefined ? undefined : entry.leavesAtMs;
		}
	}

	/** Notes that a start has ended, since a later one of its name is listed. */
	private end(entry: BackendEntry, nowMs: number): void {
		entry.isEnded = true;
		entry.leavingSinceMs ??= nowMs;
		entry.vanishedAtMs ??= nowMs;
		entry.leavesAtMs = Math.min(entry.leavesAtMs ?? nowMs, nowMs);
	}

	private addToService(entry: BackendEntry): void {
		const {service} = entry.backend;
		this.byService.set(service, [...this.byService.get(service) ?? [], entry]);
	}

	private removeFromService(entry: BackendEntry): void {
		const {service} = entry.backend;
		this.byService.set(service, (this.byService.get(service) ?? []).filter(other => other !== entry));
	}
}

/** A start's place in the order of the starts of one name; one that does not say comes before all that do. */
function startOf({startedAtMs}: Backend): number {
	return startedAtMs ?? Number.NEGATIVE_INFINITY;
}
