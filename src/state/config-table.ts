/**
 * The configuration, rebuilt from the `config` stream: presets, the active preset,
 * drained backend servers, and the version (the offset of the last accepted record).
 * Records are applied strictly in offset order. A record whose base is not the current
 * version is rejected, because a concurrent change came first; every reader decides so
 * alike.
 */
import {
	type ConfigRecord, type ConfigSnapshot, ConfigRecordKind, type Preset,
} from '../protocol/config-records.js';

/** Whether one record was accepted. */
export type ConfigOutcome = {
	offset: number;
	accepted: boolean;
	reason?: string;
};

const maxOutcomes = 1000;
const knownKinds = new Set<string>(Object.values(ConfigRecordKind));

/** The configuration of the fleet at one version. */
export class ConfigTable {
	/** Offset of the last accepted record; -1 before any. */
	version = -1;
	/** Offset of the last record applied, accepted or not; -1 before any. */
	appliedOffset = -1;
	active: string | undefined;
	readonly presets = new Map<string, {team: string; preset: Preset}>();
	readonly drained = new Set<string>();
	/** Recent outcomes by record id, for publishers that wait for their record. */
	readonly outcomes = new Map<string, ConfigOutcome>();
	/** Whether records expired before they were read and no snapshot has replaced them yet. */
	isMissingHistory = false;
	/** Whether the table has reached the end of the stream at least once. */
	hasCaughtUp = false;
	/** When the last snapshot that was read had been appended, by the log's clock. */
	lastSnapshotMs: number | undefined;
	/** Records read while history is missing; they are decided once a snapshot supplies the version that they follow. */
	private heldRecords: Array<{offset: number; record: ConfigRecord}> = [];

	/** Whether this reader knows the current configuration. */
	get isKnown(): boolean {
		return this.hasCaughtUp && !this.isMissingHistory;
	}

	/** The active preset, if any. */
	get activePreset(): Preset | undefined {
		return this.active === undefined ? undefined : this.presets.get(this.active)?.preset;
	}

	/**
	 * Applies the record at `offset`. A record at or below the last applied offset is
	 * ignored, so that no record is applied twice and the configuration never reverts.
	 */
	apply(offset: number, record: ConfigRecord): ConfigOutcome {
		if (offset <= this.appliedOffset) {
			return {offset, accepted: false, reason: 'already applied'};
		}

		this.appliedOffset = offset;
		if (record.kind === ConfigRecordKind.Snapshot) {
			return this.applySnapshot(offset, record.snapshot!);
		}

		if (this.isMissingHistory) {
			this.heldRecords.push({offset, record});
			return {offset, accepted: false, reason: 'waiting for a snapshot'};
		}

		return this.decide(offset, record);
	}

	/** Marks the records before `start` as expired before they were read. */
	skipTo(start: number): void {
		if (start > this.appliedOffset + 1) {
			this.isMissingHistory = true;
			this.heldRecords = [];
		}
	}

	/** Returns the current configuration, for a snapshot record. */
	snapshot(): ConfigSnapshot {
		return {
			upTo: this.appliedOffset, version: this.version, active: this.active, presets: [...this.presets.values()], drained: [...this.drained],
		};
	}

	/** Returns a plain copy for state dumps and status. */
	toJson(): Record<string, unknown> {
		return {
			version: this.version,
			appliedOffset: this.appliedOffset,
			active: this.active,
			presets: [...this.presets.keys()],
			drained: [...this.drained],
			known: this.isKnown,
		};
	}

	/** Applies a snapshot; it changes nothing for a reader that has read all records it covers. */
	private applySnapshot(offset: number, snapshot: ConfigSnapshot): ConfigOutcome {
		const firstHeldOffset = this.heldRecords.at(0)?.offset ?? offset;
		if (!this.isMissingHistory) {
			return {offset, accepted: true};
		}

		if (snapshot.upTo < firstHeldOffset - 1) {
			return {offset, accepted: false, reason: 'records after the snapshot expired'};
		}

		this.version = snapshot.version;
		this.active = snapshot.active;
		for (const entry of snapshot.presets) {
			this.presets.set(entry.preset.name, entry);
		}

		this.drained.clear();
		for (const backendServer of snapshot.drained) {
			this.drained.add(backendServer);
		}

		const later = this.heldRecords.filter(entry => entry.offset > snapshot.upTo);
		this.isMissingHistory = false;
		this.heldRecords = [];
		for (const entry of later) {
			this.decide(entry.offset, entry.record);
		}

		return {offset, accepted: true};
	}

	private decide(offset: number, record: ConfigRecord): ConfigOutcome {
		const reason = this.rejectionReason(record);
		const outcome: ConfigOutcome = reason === undefined ? {offset, accepted: true} : {offset, accepted: false, reason};
		if (outcome.accepted) {
			this.accept(record);
			this.version = offset;
		}

		this.outcomes.set(record.id, outcome);
		if (this.outcomes.size > maxOutcomes) {
			this.outcomes.delete(this.outcomes.keys().next().value!);
		}

		return outcome;
	}

	private rejectionReason(record: ConfigRecord): string | undefined {
		if (!knownKinds.has(record.kind)) {
			return `unknown record kind ${String(record.kind)}`;
		}

		if (record.base !== this.version) {
			return `based on version ${record.base}, but version ${this.version} is in force`;
		}

		switch (record.kind) {
			case ConfigRecordKind.Preset: {
				const owner = this.presets.get(record.preset!.name)?.team;
				return owner === undefined || owner === record.team ? undefined : `preset ${record.preset!.name} belongs to team ${owner}`;
			}

			case ConfigRecordKind.Activate: {
				return this.presets.has(record.name!) ? undefined : `preset ${record.name!} does not exist`;
			}

			case ConfigRecordKind.Drain:
			case ConfigRecordKind.Undrain: {
				return record.backendServer === undefined ? 'no backend server named' : undefined;
			}

			case ConfigRecordKind.Snapshot: {
				return 'a snapshot is not a change';
			}
		}
	}

	private accept(record: ConfigRecord): void {
		switch (record.kind) {
			case ConfigRecordKind.Preset: {
				this.presets.set(record.preset!.name, {team: record.team, preset: record.preset!});
				break;
			}

			case ConfigRecordKind.Activate: {
				this.active = record.name;
				break;
			}

			case ConfigRecordKind.Drain: {
				this.drained.add(record.backendServer!);
				break;
			}

			case ConfigRecordKind.Undrain: {
				this.drained.delete(record.backendServer!);
				break;
			}

			case ConfigRecordKind.Snapshot: {
				break;
			}
		}
	}
}
