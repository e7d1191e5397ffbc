/**
 * Snapshots of the configuration on its own stream, written by the controller well
 * before the platform log forgets the records they cover, so that a gateway that starts
 * later still learns the configuration in force.
 */
import {randomUUID} from 'node:crypto';
import {type ConfigRecord, ConfigRecordKind, configStream} from '../protocol/config-records.js';
import {type ConfigTable} from '../state/config-table.js';
import {type PlatformLog} from '../state/platform-log.js';

/** Snapshots written within one retention period, so that several may fail. */
export const snapshotsPerRetention = 4;

/** Whether a snapshot is due at `nowMs` (time of day, as the log stamps its records). */
export function isSnapshotDue(table: ConfigTable, retentionMs: number, nowMs: number): boolean {
	if (!table.isKnown || table.appliedOffset === -1) {
		return false;
	}

	return table.lastSnapshotMs === undefined || nowMs - table.lastSnapshotMs >= retentionMs / snapshotsPerRetention;
}

/**
 * Appends a snapshot of the table.
 *
 * @throws {StateError} When the log refused it or its answer was lost.
 */
export async function writeSnapshot(table: ConfigTable, platformLog: PlatformLog, signal: AbortSignal): Promise<void> {
	const record: ConfigRecord = {
		kind: ConfigRecordKind.Snapshot, id: randomUUID(), team: '', base: table.version, snapshot: table.snapshot(),
	};
	await platformLog.append(configStream, [record], signal);
}
