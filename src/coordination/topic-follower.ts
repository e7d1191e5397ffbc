/**
 * Follows one keyed topic of the platform's store: reads the newest record of each key,
 * then every later record by long polling. An answered read confirms the view as of the
 * time when the read was sent.
 *
 * In a large fleet most daemons need not read the store: a relay reports how far its own
 * view reaches and how old that view is, and includes missing records. A daemon whose view
 * reaches as far as the relay's may treat it as equally recent, counted from when it sent
 * its request to the relay. A daemon reads the store itself while no relay confirms its
 * view, or while a relay reports records that it doesn't include. If each of 86 daemons
 * read for itself, they would make 350 calls per second.
 *
 * A store that is restored from a copy begins a new era, in which offsets are given out again.
 * What was read in one era can't be continued or confirmed in another, so a follower then reads
 * the newest records, and its sink merges them with what it knows.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type TopicUpdate} from '../protocol/fleet-messages.js';
import {type LogPosition} from '../protocol/log-position.js';
import {
	type KeyedRecord, type RecordBatch, type Store, type Topic,
} from '../protocol/platform.js';
import {type LogEra} from '../state/log-era.js';
import {type ViewAge} from '../state/view-age.js';
import {StateError} from '../state/errors.js';
import {type SteadyClock} from '../clock.js';
import {createLogger} from '../log.js';
import {
	answerTimeoutMs, reportCheckIntervalMs, immediateAnswerTimeoutMs, maxImmediateAnswerTimeoutMs, retryDelayMs,
} from './topic-read-limits.js';
import {RecentRecords} from './recent-records.js';

const log = createLogger('store');

/** Number of missing records up to which a daemon waits for a relay to send them instead of reading them; four rounds' worth. If every daemon of a large fleet read the store for each wave of reclaims, these reads would be most of its calls. */
const maxAwaitedRecords = 40;

/** Time over which the daemons of a large fleet spread their reads of a restored store, in milliseconds. */
const eraReadSpreadMs = 300;

/** A receiver of the records of a topic. */
export type RecordSink = {
	/** Replaces the state by the newest record of every key of an era; keys that are missing were deleted, unless the era is later than that of the last record. */
	reset(records: KeyedRecord[], era: number, nowMs: number): void;
	/** Applies one later record. */
	apply(record: KeyedRecord, era: number, nowMs: number): void;
};

/** Options of a {@link TopicFollower}. */
export type FollowerOptions = {
	store: Store;
	topic: Topic;
	sink: RecordSink;
	viewAge: ViewAge;
	logEra: LogEra;
	clock: SteadyClock;
	/** How long one read waits for records, in milliseconds; bounds the view's age while all reads are answered. */
	waitMs: () => number;
	/** Total size of records beyond which one read adds no further record, in bytes. */
	maxBytes: number;
	/** Whether only the newest record of each key matters, so that a view that falls behind may skip intermediate records. */
	canSkipToNewest: boolean;
	/** Pause after a read that returned records, in milliseconds, so that a series of changes needs few reads. */
	batchDelayMs: number;
	/** Age of the relays' latest confirmation up to which this daemon does not read the store, in milliseconds; 0 for a daemon that always reads, such as a relay. */
	maxRelayAgeMs: () => number;
};

/** How current a view is, and what confirms it. */
export type ViewState = {
	ageMs: number;
	/** Position of the first record that is not in the view. */
	next: LogPosition | undefined;
	/** Whether relays confirm the view, so that the daemon doesn't read the store. */
	isCarried: boolean;
	/** Number of this daemon's own reads since its start. */
	reads: {answered: number; failed: number};
};

/** Follows one topic. */
export class TopicFollower {
	/** Whether this daemon's own reads are failing. */
	isReadFailing = false;
	private next: LogPosition | undefined;
	/** When the topic was first read, or followed again after an interruption. */
	private followedSinceMs: number | undefined;
	/** When a read last failed, until an answered one or a relay shows that the view is current again. */
	private interruptedAtMs: number | undefined;
	/** The latest time as of which a relay confirmed the view. */
	private relayConfirmedAtMs = Number.NEGATIVE_INFINITY;
	/** Whether a relay reported records that it did not include. */
	private isMissingRecords = false;
	/** Until when this daemon does not read for itself, although a relay has reported a later era. */
	private readsFromMs = Number.NEGATIVE_INFINITY;
	/** Whether the next read doesn't wait for records, because the view's age is uncertain. */
	private shouldReadImmediately = false;
	/** Whether relays confirmed the view in the previous step; undefined before the first step. */
	private wasRelayConfirmed: boolean | undefined;
	private readonly reads = {answered: 0, failed: 0};
	private consecutiveFailures = 0;
	private readonly recentRecords = new RecentRecords();
	/** The read of {@link refresh} that is under way, and the one that follows it. */
	private refreshing: Promise<boolean> | undefined;
	private nextRefresh: Promise<boolean> | undefined;

	constructor(private readonly options: FollowerOptions) {}

	/** Position of the first record that is not in the view; undefined before the first read. */
	get position(): LogPosition | undefined {
		return this.next;
	}

	/** Returns how long the topic has been followed without interruption, by reads or by way of relays, in milliseconds; 0 during one. */
	followedForMs(nowMs: number): number {
		return this.interruptedAtMs !== undefined || this.followedSinceMs === undefined ? 0 : nowMs - this.followedSinceMs;
	}

	/** Returns how current the view is and what confirms it, for state dumps and metrics. */
	stateAt(nowMs: number): ViewState {
		return {
			ageMs: Math.round(this.options.viewAge.ageMs(nowMs)), next: this.next, isCarried: this.isRelayConfirmed, reads: {...this.reads},
		};
	}

	/** Follows the topic until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const {isRelayConfirmed} = this;
			this.logSource(isRelayConfirmed);
			if (isRelayConfirmed) {
				this.shouldReadImmediately = true;
				// eslint-disable-next-line no-await-in-loop -- the steps run one after the other.
				await delay(reportCheckIntervalMs, undefined, {signal}).catch(() => undefined);
				continue;
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				const hasRecords = await this.read(signal);
				this.handleAnswer();
				if (hasRecords && this.options.batchDelayMs > 0) {
					// eslint-disable-next-line no-await-in-loop
					await delay(this.options.batchDelayMs, undefined, {signal}).catch(() => undefined);
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				this.handleFailure(error);
				// eslint-disable-next-line no-await-in-loop
				await delay(retryDelayMs(this.consecutiveFailures, Math.random()), undefined, {signal}).catch(() => undefined);
			}
		}
	}

	/** Reads what the view lacks, beside the reads of {@link run}; returns whether the view is then complete as of a moment after the call. Calls that wait share a read. */
	async refresh(answerMs: number, signal: AbortSignal): Promise<boolean> {
		if (!this.refreshing) {
			return this.startRefresh(answerMs, signal);
		}

		// The read under way may have been answered before the call.
		this.nextRefresh ??= this.refreshing.then(async () => {
			this.nextRefresh = undefined;
			return this.startRefresh(answerMs, signal);
		});
		return this.nextRefresh;
	}

	/** Creates the update for a daemon whose view reaches up to a position; undefined before the first read. */
	createUpdateFor(position: LogPosition | undefined, nowMs: number): TopicUpdate | undefined {
		if (this.next === undefined) {
			return undefined;
		}

		const records = position?.era === this.next.era ? this.recentRecords.startingAt(position.offset) : [];
		return {next: this.next, ageMs: Math.ceil(this.options.viewAge.ageMs(nowMs)), records};
	}

	/**
	 * Applies the update that a relay sent for the topic.
	 *
	 * @param requestedAtMs When the request to the relay was sent; the relay evaluated its view after that.
	 */
	applyRelayUpdate(update: TopicUpdate, requestedAtMs: number, nowMs: number): void {
		if (this.next === undefined) {
			return;
		}

		if (update.next.era !== this.next.era) {
			this.noteOtherEra(update.next.era, nowMs);
			return;
		}

		const offsetBefore = this.next.offset;
		for (const [offset, key, value] of update.records) {
			if (offset === this.next.offset) {
				this.applyRecord({offset, key, value}, nowMs);
			}
		}

		const missing = update.next.offset - this.next.offset;
		if (missing > 0) {
			// The relay's next answer may include the rest.
			this.isMissingRecords = this.next.offset === offsetBefore || missing > maxAwaitedRecords;
			return;
		}

		const confirmedAtMs = requestedAtMs - update.ageMs;
		this.relayConfirmedAtMs = Math.max(this.relayConfirmedAtMs, confirmedAtMs);
		// While relays confirm the view, no read follows that could end the interruption.
		if (this.interruptedAtMs !== undefined && this.options.maxRelayAgeMs() > 0 && confirmedAtMs > this.interruptedAtMs) {
			this.endInterruption(nowMs);
		}

		this.options.viewAge.confirm(confirmedAtMs);
	}

	/** Records that a relay's view is of another era: a later one means that this daemon must read the store itself, at a random moment, since all others of a large fleet hear of it too. */
	private noteOtherEra(era: number, nowMs: number): void {
		if (era > this.next!.era && !this.isMissingRecords) {
			this.isMissingRecords = true;
			this.readsFromMs = nowMs + (Math.random() * eraReadSpreadMs);
		}
	}

	private get isRelayConfirmed(): boolean {
		if (this.options.clock.now() < this.readsFromMs) {
			return true;
		}

		const maxRelayAgeMs = this.options.maxRelayAgeMs();
		return maxRelayAgeMs > 0 && !this.isMissingRecords && this.options.clock.now() - this.relayConfirmedAtMs <= maxRelayAgeMs;
	}

	/** Makes one read; returns whether it brought any records and reached the end of the topic. */
	private async read(signal: AbortSignal): Promise<boolean> {
		const {topic, logEra, clock, canSkipToNewest} = this.options;
		const sentAtMs = clock.now();
		this.isMissingRecords = false;
		const batch = this.next === undefined ? undefined : await this.readFrom(this.next.offset, signal);
		if (batch) {
			logEra.note(batch.era);
		} else if (this.next !== undefined) {
			log.info('records expired or lost, reading the newest of each key.', {topic, next: this.next.offset, era: this.next.era});
		}

		if (batch?.era !== this.next?.era || !batch || (canSkipToNewest && batch.next < batch.end)) {
			await this.readNewest(signal);
			return false;
		}

		return this.applyBatch(batch, sentAtMs) && batch.records.length > 0;
	}

	private async startRefresh(answerMs: number, signal: AbortSignal): Promise<boolean> {
		this.refreshing = this.readMissing(answerMs, signal).finally(() => {
			this.refreshing = undefined;
		});
		return this.refreshing;
	}

	private async readMissing(answerMs: number, signal: AbortSignal): Promise<boolean> {
		const {store, topic, maxBytes, clock} = this.options;
		const sentAtMs = clock.now();
		if (this.next === undefined) {
			return false;
		}

		try {
			const batch = await store.read(topic, this.next.offset, {waitMs: 0, answerMs, maxBytes}, signal);
			return batch?.era === this.next.era && this.applyBatch(batch, sentAtMs);
		} catch (error) {
			log.info('view cannot be refreshed.', {topic, error: String(error)});
			return false;
		}
	}

	/** Applies the records of a read that was sent at a time; returns whether they reach the end of the topic, so that the view is confirmed. */
	private applyBatch(batch: RecordBatch, sentAtMs: number): boolean {
		const {viewAge, clock} = this.options;
		for (const record of batch.records) {
			// Another read or a relay may have brought the record in the meantime.
			if (record.offset >= this.next!.offset) {
				this.applyRecord(record, clock.now());
			}
		}

		const isAtEnd = this.next!.offset >= batch.end;
		if (isAtEnd) {
			viewAge.confirm(sentAtMs);
		}

		return isAtEnd;
	}

	/** Reads records from an offset on, and waits for them unless the view's age is uncertain. */
	private async readFrom(next: number, signal: AbortSignal): Promise<RecordBatch | undefined> {
		const {store, topic, waitMs, maxBytes} = this.options;
		const limits = this.shouldReadImmediately ? {waitMs: 0, answerMs: this.answerTimeoutMs} : {waitMs: waitMs(), answerMs: answerTimeoutMs};
		return store.read(topic, next, {...limits, maxBytes}, signal);
	}

	private async readNewest(signal: AbortSignal): Promise<void> {
		const {store, topic, sink, viewAge, logEra, clock} = this.options;
		const sentAtMs = clock.now();
		const newest = await store.readNewest(topic, this.answerTimeoutMs, signal);
		logEra.note(newest.era);
		const known = this.next ?? {era: newest.era, offset: 0};
		if (newest.era < known.era || (newest.era === known.era && newest.next < known.offset)) {
			throw new StateError(`the store's newest records of ${topic} end at ${newest.next} of era ${newest.era}, before ${known.offset} of era ${known.era}`);
		}

		if (newest.era > known.era) {
			log.warn('store was restored from a copy, merging its records with what is known.', {
				topic, era: newest.era, end: newest.end, knownEra: known.era, knownEnd: known.offset, records: newest.records.length,
			});
		}

		sink.reset(newest.records, newest.era, clock.now());
		this.next = {era: newest.era, offset: newest.next};
		this.recentRecords.clear();
		viewAge.confirm(sentAtMs);
	}

	/** Time allowed for an answer beyond the wait, in milliseconds; longer after failures, since a heavily loaded store answers late. */
	private get answerTimeoutMs(): number {
		return this.consecutiveFailures < 2 ? immediateAnswerTimeoutMs : maxImmediateAnswerTimeoutMs;
	}

	private applyRecord(record: KeyedRecord, nowMs: number): void {
		const {era} = this.next!;
		this.options.sink.apply(record, era, nowMs);
		this.next = {era, offset: record.offset + 1};
		this.recentRecords.add(record);
	}

	/** Logs when relays begin to confirm the view, and when their latest confirmation is too old. A switch to reading that fetches a record they did not include is not logged, because the record is logged when it is applied. */
	private logSource(isRelayConfirmed: boolean): void {
		if (isRelayConfirmed === this.wasRelayConfirmed || (!isRelayConfirmed && this.isMissingRecords)) {
			return;
		}

		const {topic, viewAge, clock} = this.options;
		if (isRelayConfirmed || this.wasRelayConfirmed !== undefined) {
			log.info(isRelayConfirmed ? 'relays confirm the view, not reading the store.' : 'relay confirmation too old, reading the store.', {
				topic, next: this.next?.offset, era: this.next?.era, viewAgeMs: Math.round(viewAge.ageMs(clock.now())),
			});
		}

		this.wasRelayConfirmed = isRelayConfirmed;
	}

	/** Updates the state after an answered read. Relay updates don't call it, since they don't show whether the store answers this daemon. */
	private handleAnswer(): void {
		this.reads.answered++;
		this.consecutiveFailures = 0;
		this.shouldReadImmediately = false;
		this.followedSinceMs ??= this.options.clock.now();
		if (this.interruptedAtMs !== undefined) {
			this.endInterruption(this.options.clock.now());
		}

		if (this.isReadFailing) {
			this.isReadFailing = false;
			log.info('store answers again.', {topic: this.options.topic, next: this.next?.offset, era: this.next?.era});
		}
	}

	private endInterruption(nowMs: number): void {
		this.interruptedAtMs = undefined;
		this.followedSinceMs = nowMs;
	}

	private handleFailure(error: unknown): void {
		this.interruptedAtMs = this.options.clock.now();
		this.reads.failed++;
		this.consecutiveFailures++;
		this.shouldReadImmediately = true;
		if (!this.isReadFailing) {
			this.isReadFailing = true;
			const {topic, viewAge, clock} = this.options;
			log.warn('store read failed.', {
				topic, error: String(error), cause: error instanceof Error ? String(error.cause) : '', viewAgeMs: Math.round(viewAge.ageMs(clock.now())),
			});
		}
	}
}
