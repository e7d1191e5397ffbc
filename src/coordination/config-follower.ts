/**
 * The task that tails the `config` stream and applies its records, in offset
 * order, to the gateway's {@link ConfigTable}. Outages of the log only delay it:
 * the table keeps what it has and never falls back.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type ConfigRecord, configStream} from '../protocol/config-records.js';
import {type ConfigTable} from '../state/config-table.js';
import {type PlatformLog} from '../state/platform-log.js';
import {createLogger} from '../log.js';

const log = createLogger('config');

/** How long one read waits for new records. */
export const pollWaitMs = 1000;
/** Pause after a failed read. */
export const retryPauseMs = 250;

/** Tails the config stream into a table until the signal aborts. */
export async function followConfig(platformLog: PlatformLog, table: ConfigTable, signal: AbortSignal): Promise<void> {
	let next = table.appliedOffset + 1;
	let failing = false;
	while (!signal.aborted) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const answer = await platformLog.read<ConfigRecord>(configStream, next, pollWaitMs, signal);
			if (failing) {
				log.info('platform log is back.', {next});
				failing = false;
			}

			if (answer.expired) {
				log.error('records expired before they were applied.', {next, start: answer.start});
				next = answer.start;
				continue;
			}

			for (const {offset, value} of answer.records) {
				const outcome = table.apply(offset, value);
				log.info(outcome.accepted ? 'record applied.' : 'record rejected.', {
					offset, kind: value.kind, team: value.team, reason: outcome.reason,
				});
				next = offset + 1;
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			if (!failing) {
				log.warn('platform log unreachable, keeping config.', {next, version: table.version, error: String(error)});
				failing = true;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(retryPauseMs, undefined, {signal}).catch(() => undefined);
		}
	}
}
