/**
 * The backend servers that the platform lists. Each start of a process is a backend server of
 * its own: a process that restarts under the same name gets a new entry, which inherits nothing
 * from the old one. A backend server that has begun to leave, by the platform's list or by its
 * own answers, never becomes usable again. An entry that is removed although its backend server
 * was not leaving stays usable as a fallback for a short time, because entries also expire
 * during an outage of the store and reappear after it.
 */
import {type Backend, BackendState} from '../protocol/serving.js';

/** How long a backend server whose entry was removed may still be used when no other is left, in milliseconds; shorter than the time within which a leaving one must get no new work. */
const unlistedUseMs = 800;

/** Share of the time within which a leaving backend server must get no new work that may pass until the continuation of a run is sent to it. */
const continuationShare = 0.6;

/** A backend server, and whether and when it leaves. */
export type BackendEntry = {
	backend: Backend;
	/** When the daemon first read an entry of it. */
	seenAtMs: number;
	/** When the daemon learned that it is leaving or gone. */
	leavingSinceMs: number | undefined;
	/** When it is expected to be gone. */
	leavesAtMs: number | undefined;
	/** Since when its entry is missing in the platform's store, which was restored from a copy. */
	missingSinceMs: number | undefined;
	/** When its entry was removed or became unreadable. */
	vanishedAtMs: number | undefined;
	/** Whether the platform's list has shown it as draining. */
	isListedAsDraining: boolean;
	/** When one of its answers first stated that it is leaving, in milliseconds since 1970. */
	statedLeavingAtMs: number | undefined;
	/** Whether it has certainly ended, because a later start under its name is listed. */
	isEnded: boolean;
};

/** The result of adding or updating an entry. */
export type UpsertResult = {
	entry: BackendEntry;
	/** Whether this update was the first of the platform's list to say that it is leaving. */
	hasStartedLeaving: boolean;
	/** Whether this start was not known before. */
	isNew: boolean;
};

/** The known backend servers, by id, name and service. */
export class BackendTable {
	/** The entries by {@link Backend.id}, which is unique to one start. */
	private readonly entriesById = new Map<string, BackendEntry>();
	/** The latest start under each name. */
	private readonly latestByName = new Map<string, BackendEntry>();
	private readonly byService = new Map<string, BackendEntry[]>();

	/** @param bounds `drainMs` is how long a leaving backend server continues to serve, unless its entry states a time. */
	constructor(private readonly bounds: {drainMs: number}) {}

	/** Adds or updates an entry from the platform's list; an entry of an earlier start than the latest one is ignored. */
	upsert(backend: Backend, nowMs: number): UpsertResult {
		const latest = this.latestByName.get(backend.name);
		if (latest && startTime(backend) < startTime(latest.backend)) {
			return {entry: latest, hasStartedLeaving: false, isNew: false};
		}

		const isNew = latest?.backend.id !== backend.id;
		if (latest && isNew) {
			this.markEnded(latest, nowMs);
		}

		const entry = isNew ? this.add(backend, nowMs) : latest;
		this.update(entry, backend);
		if (latest && isNew && hasStatedLeaving(backend, latest)) {
			this.noteStatedLeaving(backend.id, latest.statedLeavingAtMs!, nowMs);
		}

		const hasStartedLeaving = backend.state === BackendState.Draining && !entry.isListedAsDraining;
		if (hasStartedLeaving) {
			entry.isListedAsDraining = true;
			entry.leavingSinceMs ??= nowMs;
			entry.leavesAtMs = nowMs + (backend.leavesInMs ?? this.bounds.drainMs);
		}

		return {entry, hasStartedLeaving, isNew};
	}

	/** Records that the entry of a name was removed from the platform's list. */
	markRemoved(name: string, nowMs: number): BackendEntry | undefined {
		const entry = this.latestByName.get(name);
		if (entry && entry.vanishedAtMs === undefined) {
			entry.vanishedAtMs = nowMs;
			// Some backend servers leave without announcing it, and serve for as long as those that do.
			entry.leavesAtMs ??= nowMs + this.bounds.drainMs;
		}

		return entry;
	}

	/** Records that the latest entry of a name cannot be decoded: the backend server gets no new work until a readable entry arrives, but its running work continues, since it is not necessarily leaving. */
	markUnreadable(name: string, nowMs: number): void {
		const entry = this.latestByName.get(name);
		if (entry) {
			entry.vanishedAtMs ??= nowMs;
		}
	}

	/**
	 * Records that an answer of a backend server stated that it is leaving. The store may not have
	 * accepted its report, so this holds whatever the platform's list shows.
	 *
	 * @param wallTimeMs The time of day, in milliseconds since 1970.
	 * @returns Whether it was not known to be leaving.
	 */
	noteStatedLeaving(id: string, wallTimeMs: number, nowMs: number): boolean {
		const entry = this.entriesById.get(id);
		if (!entry) {
			return false;
		}

		const isNews = entry.leavingSinceMs === undefined;
		entry.statedLeavingAtMs ??= wallTimeMs;
		entry.leavingSinceMs ??= nowMs;
		entry.leavesAtMs ??= nowMs + this.bounds.drainMs;
		return isNews;
	}

	/** Records that another backend server now answers at the address of this one. */
	markReplaced(id: string, nowMs: number): void {
		const entry = this.entriesById.get(id);
		if (entry) {
			entry.leavingSinceMs ??= nowMs;
		}
	}

	/** Makes the table match a full list: entries whose names are not on it count as removed. */
	retain(names: ReadonlySet<string>, nowMs: number): void {
		for (const name of this.latestByName.keys()) {
			if (!names.has(name)) {
				this.markRemoved(name, nowMs);
			}
		}
	}

	/** Records a full list from a copy of the store: entries whose names are not on it may be written again in a moment. */
	noteMissing(names: ReadonlySet<string>, nowMs: number): void {
		for (const [name, entry] of this.latestByName) {
			if (!names.has(name)) {
				entry.missingSinceMs ??= nowMs;
			}
		}
	}

	/** Counts entries as removed that have been missing for a time; returns their names. */
	removeMissing(forMs: number, nowMs: number): string[] {
		const missing = [...this.latestByName].filter(([, {missingSinceMs, vanishedAtMs}]) => missingSinceMs !== undefined && vanishedAtMs === undefined && nowMs - missingSinceMs >= forMs).map(([name]) => name);
		for (const name of missing) {
			this.markRemoved(name, nowMs);
		}

		return missing;
	}

	/** Returns the latest start under a name. */
	latest(name: string): BackendEntry | undefined {
		return this.latestByName.get(name);
	}

	/** Returns the entry of a start of a backend server, by its id. */
	get(id: string): BackendEntry | undefined {
		return this.entriesById.get(id);
	}

	/** Returns the backend servers of a service that may get new work; those whose entry was recently removed only if there is no other. */
	candidates(service: string, nowMs: number): Backend[] {
		const staying = (this.byService.get(service) ?? []).filter(entry => entry.leavingSinceMs === undefined);
		const listed = staying.filter(entry => entry.vanishedAtMs === undefined);
		const usable = listed.length > 0 ? listed : staying.filter(entry => nowMs - entry.vanishedAtMs! <= unlistedUseMs);
		return usable.map(entry => entry.backend);
	}

	/** Whether the continuation of a run may be sent to a backend server: one that leaves must get no requests some time after that is known. */
	acceptsContinuations(id: string, nowMs: number): boolean {
		const entry = this.entriesById.get(id);
		const leavingSinceMs = entry?.leavingSinceMs ?? entry?.vanishedAtMs;
		return entry !== undefined && !entry.isEnded && (leavingSinceMs === undefined || nowMs - leavingSinceMs <= this.bounds.drainMs * continuationShare);
	}

	/** Returns the services that have entries, also those that are not listed any more. */
	services(): string[] {
		return [...this.byService].filter(([, entries]) => entries.length > 0).map(([service]) => service);
	}

	/** Returns the versions of a service's backend servers, including those that were removed from the platform's list and not deleted yet. */
	versionsOf(service: string): ReadonlySet<string> {
		return new Set((this.byService.get(service) ?? []).map(({backend}) => backend.version));
	}

	/** Returns when the first of a service's known backend servers of a version was listed; undefined if none is known. */
	versionSeenAtMs(service: string, version: string): number | undefined {
		const seen = (this.byService.get(service) ?? []).filter(({backend}) => backend.version === version).map(({seenAtMs}) => seenAtMs);
		return seen.length > 0 ? Math.min(...seen) : undefined;
	}

	/** Returns the backend servers that the platform lists, including leaving ones. */
	listed(): BackendEntry[] {
		return [...this.entriesById.values()].filter(entry => entry.vanishedAtMs === undefined);
	}

	/** Deletes entries that were removed from the platform's list more than `olderThanMs` ago. */
	prune(olderThanMs: number, nowMs: number): void {
		for (const [id, entry] of this.entriesById) {
			if (entry.vanishedAtMs !== undefined && nowMs - entry.vanishedAtMs > olderThanMs) {
				this.entriesById.delete(id);
				this.removeFromService(entry);
				if (this.latestByName.get(entry.backend.name) === entry) {
					this.latestByName.delete(entry.backend.name);
				}
			}
		}
	}

	/** Returns the entries for state dumps. */
	toJson(): unknown {
		return [...this.entriesById.values()];
	}

	private add(backend: Backend, nowMs: number): BackendEntry {
		const entry: BackendEntry = {
			backend, seenAtMs: nowMs, leavingSinceMs: undefined, leavesAtMs: undefined, missingSinceMs: undefined, vanishedAtMs: undefined, isListedAsDraining: false, statedLeavingAtMs: undefined, isEnded: false,
		};
		this.entriesById.set(backend.id, entry);
		this.latestByName.set(backend.name, entry);
		this.addToService(entry);
		return entry;
	}

	/** Updates the entry of a start that is already known. */
	private update(entry: BackendEntry, backend: Backend): void {
		if (entry.backend.service !== backend.service) {
			this.removeFromService(entry);
			entry.backend = backend;
			this.addToService(entry);
		}

		entry.backend = backend;
		entry.missingSinceMs = undefined;
		if (entry.vanishedAtMs !== undefined) {
			entry.vanishedAtMs = undefined;
			entry.leavesAtMs = entry.leavingSinceMs === undefined ? undefined : entry.leavesAtMs;
		}
	}

	/** Records that a start has ended, since a later start under its name is listed. */
	private markEnded(entry: BackendEntry, nowMs: number): void {
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

/** Whether a start had already begun when an answer under its name, taken for the previous start's, stated that it is leaving. */
function hasStatedLeaving({startedAtMs}: Backend, {statedLeavingAtMs}: BackendEntry): boolean {
	return startedAtMs !== undefined && statedLeavingAtMs !== undefined && startedAtMs <= statedLeavingAtMs;
}

/** Returns the time by which starts under one name are ordered; a start without a time comes first. */
function startTime({startedAtMs}: Backend): number {
	return startedAtMs ?? Number.NEGATIVE_INFINITY;
}
