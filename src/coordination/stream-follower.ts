/**
 * Follows one stream of the platform log and passes each record, in offset order,
 * to `apply`. Outages of the log only delay it. If records expired before they were
 * read, it reports that and continues from the first record that is still kept.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type PlatformLog} from '../state/platform-log.js';
import {type LogRecord} from '../protocol/platform-log.js';
import {type Logger} from '../log.js';

/** How long one read waits for new records, in milliseconds. */
export const pollWaitMs = 10_000;
/** Pause after a failed read, in milliseconds. */
export const retryPauseMs = 250;

/** Options of {@link followStream}. */
export type StreamFollower<T> = {
	platformLog: PlatformLog;
	stream: string;
	/** The first offset to read. */
	from: number;
	apply: (record: LogRecord<T>) => void;
	/** Called with the first offset still kept when records expired before they were read. */
	onExpired?: (start: number) => void;
	/** Called after each read that reached the end of the stream. */
	onCaughtUp?: () => void;
	log: Logger;
};

/** Follows a stream until the signal aborts. */
export async function followStream<T>(follower: StreamFollower<T>, signal: AbortSignal): Promise<void> {
	const {platformLog, stream, apply, log} = follower;
	let next = follower.from;
	let isFailing = false;
	// The first read doesn't wait, so that an empty stream is recognised at once.
	let waitMs = 0;
	while (!signal.aborted) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const answer = await platformLog.read<T>(stream, next, waitMs, signal);
			waitMs = pollWaitMs;
			if (isFailing) {
				log.info('platform log reachable again.', {stream, next});
				isFailing = false;
			}

			if (answer.expired) {
				log.warn('records expired before they were read.', {stream, next, start: answer.start});
				follower.onExpired?.(answer.start);
				next = answer.start;
				continue;
			}

			for (const record of answer.records) {
				apply(record);
				next = record.offset + 1;
			}

			if (next >= answer.end) {
				follower.onCaughtUp?.();
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			if (!isFailing) {
				log.warn('platform log unreachable, keeping the records read so far.', {stream, next, error: String(error)});
				isFailing = true;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(retryPauseMs, undefined, {signal}).catch(() => undefined);
		}
	}
}
