/**
 * Follows the `config` stream and applies its records, in offset order, to the
 * gateway's {@link ConfigTable}. Outages of the log only delay updates: the table
 * keeps its state and never reverts to an older one.
 */
import {type ConfigRecord, ConfigRecordKind, configStream} from '../protocol/config-records.js';
import {type ConfigTable} from '../state/config-table.js';
import {type PlatformLog} from '../state/platform-log.js';
import {createLogger} from '../log.js';
import {followStream} from './stream-follower.js';

const log = createLogger('config');

/** Applies the records of the config stream to a table until the signal aborts. */
export async function followConfig(platformLog: PlatformLog, table: ConfigTable, signal: AbortSignal): Promise<void> {
	await followStream<ConfigRecord>({
		platformLog,
		stream: configStream,
		from: table.appliedOffset + 1,
		log,
		onExpired(start) {
			table.skipTo(start);
		},
		onCaughtUp() {
			table.hasCaughtUp = true;
		},
		apply({offset, appendedAtMs, value: record}) {
			if (record.kind === ConfigRecordKind.Snapshot) {
				table.lastSnapshotMs = appendedAtMs;
			}

			const outcome = table.apply(offset, record);
			const context = {
				offset, kind: record.kind, team: record.team, reason: outcome.reason,
			};
			log.info(outcome.accepted ? 'record applied.' : 'record rejected.', context);
		},
	}, signal);
}
