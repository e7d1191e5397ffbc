/**
 * Follows one keyed topic of the platform's store: the newest record of each key first,
 * then every record after it by long polls. Each answered read confirms the view as of
 * when it was sent.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type KeyedRecord, type Store, type Topic} from '../protocol/platform.js';
import {type Belief} from '../state/belief.js';
import {type SteadyClock} from '../clock.js';
import {createLogger} from '../log.js';

const log = createLogger('store');

/** Pause after a failed read, in milliseconds: half of it fixed, half drawn, so that daemons do not return in step. */
const retryPauseMs = 200;

/** What is done with the records of a topic. */
export type RecordSink = {
	/** Takes the newest record of every key; keys that are missing were dropped. */
	reset(records: KeyedRecord[], nowMs: number): void;
	/** Takes one later record. */
	apply(record: KeyedRecord, nowMs: number): void;
};

/** The parts a follower works with. */
export type FollowerOptions = {
	store: Store;
	topic: Topic;
	sink: RecordSink;
	belief: Belief;
	clock: SteadyClock;
	/** How long one read waits for records, in milliseconds; bounds the view's age on a calm day. */
	waitMs: number;
	/** Pause after records came before the next read, in milliseconds, so that a series of changes costs few reads. */
	gatherMs: number;
};

/** Follows a topic until the signal aborts. */
export async function followTopic(options: FollowerOptions, signal: AbortSignal): Promise<void> {
	const {store, topic, sink, belief, clock, waitMs, gatherMs} = options;
	let next: number | undefined;
	let isLost = false;
	while (!signal.aborted) {
		const sentAtMs = clock.now();
		let hasRecords = false;
		try {
			if (next === undefined) {
				// eslint-disable-next-line no-await-in-loop -- one read at a time, in order.
				const batch = await store.newest(topic, signal);
				sink.reset(batch.records, clock.now());
				next = batch.next;
			} else {
				// eslint-disable-next-line no-await-in-loop
				const batch = await store.read(topic, next, waitMs, signal);
				for (const record of batch?.records ?? []) {
					sink.apply(record, clock.now());
					hasRecords = true;
				}

				// Records that are no longer kept: start over from the newest of each key.
				next = batch?.next;
				if (!batch) {
					log.info('records expired, reading the newest of each key.', {topic});
					continue;
				}
			}

			belief.confirm(sentAtMs);
			if (isLost) {
				isLost = false;
				log.info('regained.', {topic, next});
			}

			if (hasRecords && gatherMs > 0) {
				// eslint-disable-next-line no-await-in-loop
				await delay(gatherMs, undefined, {signal}).catch(() => undefined);
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			if (!isLost) {
				isLost = true;
				log.warn('lost.', {topic, error: String(error), viewAgeMs: Math.round(belief.ageMs(clock.now()))});
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(retryPauseMs * (0.5 + (Math.random() / 2)), undefined, {signal}).catch(() => undefined);
		}
	}
}
