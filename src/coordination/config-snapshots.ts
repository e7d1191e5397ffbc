/**
 * Writes snapshots of the configuration to the config stream. The controller does so well
 * before the platform log drops the records that a snapshot covers, so that a gateway that
 * starts later can still read the active configuration.
 */
import {randomUUID} from 'node:crypto';
import {type ConfigRecord, ConfigRecordKind, configStream} from '../protocol/config-records.js';
import {type ConfigTable} from '../state/config-table.js';
import {type PlatformLog} from '../state/platform-log.js';

/** Number of snapshots per retention period, so that several may fail. */
export const snapshotsPerRetention = 4;

/** Whether a snapshot is due at `nowMs` (wall clock, as in the timestamps of the log). */
export function isSnapshotDue(table: ConfigTable, retentionMs: number, nowMs: number): boolean {
	if (!table.isKnown || table.appliedOffset === -1) {
		return false;
	}

	return table.lastSnapshotMs === undefined || nowMs - table.lastSnapshotMs >= retentionMs / snapshotsPerRetention;
}

/**
 * Appends a snapshot of the table.
 *
 * @throws {StateError} When the log refused the append or its answer was lost.
 */
export async function writeSnapshot(table: ConfigTable, platformLog: PlatformLog, signal: AbortSignal): Promise<void> {
	const record: ConfigRecord = {
		kind: ConfigRecordKind.Snapshot, id: randomUUID(), team: '', base: table.version, snapshot: table.snapshot(),
	};
	await platformLog.append(configStream, [record], signal);
}
