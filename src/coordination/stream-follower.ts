/**
 * The task that tails one stream of the platform log and hands each record, in
 * offset order, to `apply`. Outages of the log only delay it; after records
 * expired it goes on from the first one kept, and says so.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type PlatformLog} from '../state/platform-log.js';
import {type LogRecord} from '../protocol/platform-log.js';
import {type Logger} from '../log.js';

/** How long one read waits for new records. */
export const pollWaitMs = 10_000;
/** Pause after a failed read. */
export const retryPauseMs = 250;

/** What to follow and what to do with each record. */
export type StreamFollower<T> = {
	platformLog: PlatformLog;
	stream: string;
	/** The first offset to read. */
	from: number;
	apply: (record: LogRecord<T>) => void;
	/** Told the first offset kept when records expired before they were read. */
	onExpired?: (start: number) => void;
	/** Told after each read that reached the end of the stream. */
	onCaughtUp?: () => void;
	log: Logger;
};

/** Tails a stream until the signal aborts. */
export async function followStream<T>(follower: StreamFollower<T>, signal: AbortSignal): Promise<void> {
	const {platformLog, stream, apply, log} = follower;
	let next = follower.from;
	let isFailing = false;
	// The first read does not wait, so that an empty stream is known to be empty.
	let waitMs = 0;
	while (!signal.aborted) {
		try {
			// eslint-disable-next-line no-await-in-loop
			const answer = await platformLog.read<T>(stream, next, waitMs, signal);
			waitMs = pollWaitMs;
			if (isFailing) {
				log.info('platform log is back.', {stream, next});
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
				log.warn('platform log unreachable, keeping what was read.', {stream, next, error: String(error)});
				isFailing = true;
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(retryPauseMs, undefined, {signal}).catch(() => undefined);
		}
	}
}
