/**
 * Follows one keyed topic of the platform's store: the newest record of each key first,
 * then every record after it by long polls. Each answered read confirms the view as of
 * when it was sent.
 *
 * In a large fleet most daemons need not read: a relay says how far it has read and how old
 * that is, and hands on what is missing. A daemon whose own view reaches as far may take it
 * to be as young as the relay's, counted from when it asked. While no relay tells, or one
 * tells of records that it does not hand on, the daemon reads for itself. At 86 daemons,
 * each reading for itself made 350 calls a second.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {type TopicNews} from '../protocol/fleet-messages.js';
import {
	type KeyedRecord, type RecordBatch, type Store, type Topic,
} from '../protocol/platform.js';
import {type Belief} from '../state/belief.js';
import {StateError} from '../state/errors.js';
import {type SteadyClock} from '../clock.js';
import {createLogger} from '../log.js';
import {
	answerMs, carriedStepMs, doubtAnswerMs, mostAnswerMs, pauseAfter,
} from './follow-limits.js';
import {RecordTail} from './record-tail.js';

const log = createLogger('store');

/** Records that a daemon waits for to be handed on, rather than read them: two rounds' worth. */
const awaitedRecords = 8;

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
	waitMs: () => number;
	/** Size of records beyond which one read adds no further one, in bytes. */
	mostBytes: number;
	/** Whether only the newest record of each key counts, so that a view that falls behind may pass over those between. */
	isNewestEnough: boolean;
	/** Pause after records came before the next read, in milliseconds, so that a series of changes costs few reads. */
	gatherMs: number;
	/** Age up to which a view that relays confirm needs no reads, in milliseconds; 0 while this daemon reads for others. */
	carriedMs: () => number;
};

/** How current a view is, and what it rests on. */
export type ViewState = {
	ageMs: number;
	/** Offset of the first record that is not in the view. */
	next: number | undefined;
	/** Whether the daemon goes by its relays' word instead of reading. */
	isCarried: boolean;
	/** Reads of this daemon's own since its start. */
	reads: {answered: number; failed: number};
};

/** Follows one topic. */
export class TopicFollower {
	/** Whether this daemon's own reads fail. */
	isLost = false;
	private next: number | undefined;
	/** When the topic was first read, or read again after it was lost. */
	private followedSinceMs: number | undefined;
	/** As of when a relay last confirmed the view. */
	private carriedAtMs = Number.NEGATIVE_INFINITY;
	/** Whether a relay told of records that it did not hand on. */
	private isBehind = false;
	/** Whether the next read asks without waiting, since the view's age is in doubt. */
	private isInDoubt = false;
	/** Whether the view was last left to the relays; undefined before the first read. */
	private wasCarried: boolean | undefined;
	private readonly reads = {answered: 0, failed: 0};
	private failedInRow = 0;
	private readonly tail = new RecordTail();

	constructor(private readonly options: FollowerOptions) {}

	/** Offset of the first record that is not in the view; undefined before the first read. */
	get nextOffset(): number | undefined {
		return this.next;
	}

	/** How long the topic has been followed without a loss, in milliseconds; 0 while it is not. */
	followedForMs(nowMs: number): number {
		return this.isLost || this.followedSinceMs === undefined ? 0 : nowMs - this.followedSinceMs;
	}

	/** How current the view is and where it comes from, for a state dump and metrics. */
	stateAt(nowMs: number): ViewState {
		return {
			ageMs: Math.round(this.options.belief.ageMs(nowMs)), next: this.next, isCarried: this.isCarried, reads: {...this.reads},
		};
	}

	/** Follows the topic until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const {isCarried} = this;
			this.noteSource(isCarried);
			if (isCarried) {
				this.isInDoubt = true;
				// eslint-disable-next-line no-await-in-loop -- one step after the other.
				await delay(carriedStepMs, undefined, {signal}).catch(() => undefined);
				continue;
			}

			try {
				// eslint-disable-next-line no-await-in-loop
				const hasRecords = await this.read(signal);
				this.noteAnswered();
				if (hasRecords && this.options.gatherMs > 0) {
					// eslint-disable-next-line no-await-in-loop
					await delay(this.options.gatherMs, undefined, {signal}).catch(() => undefined);
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				this.noteFailed(error);
				// eslint-disable-next-line no-await-in-loop
				await delay(pauseAfter(this.failedInRow, Math.random()), undefined, {signal}).catch(() => undefined);
			}
		}
	}

	/** What this daemon may tell one whose view reaches up to an offset; undefined before the first read. */
	newsFor(offset: number | undefined, nowMs: number): TopicNews | undefined {
		return this.next === undefined ? undefined : {next: this.next, ageMs: Math.ceil(this.options.belief.ageMs(nowMs)), records: this.tail.from(offset)};
	}

	/**
	 * Takes what a relay tells of the topic.
	 *
	 * @param askedAtMs When the relay was asked; it looked at its view later than that.
	 */
	hear(news: TopicNews, askedAtMs: number, nowMs: number): void {
		if (this.next === undefined) {
			return;
		}

		const before = this.next;
		for (const [offset, key, value] of news.records) {
			if (offset === this.next) {
				this.take({offset, key, value}, nowMs);
			}
		}

		if (news.next > this.next) {
			// The next round may hand the rest on.
			this.isBehind = this.next === before || news.next - this.next > awaitedRecords;
			return;
		}

		const confirmedAtMs = askedAtMs - news.ageMs;
		this.carriedAtMs = Math.max(this.carriedAtMs, confirmedAtMs);
		this.options.belief.confirm(confirmedAtMs);
	}

	private get isCarried(): boolean {
		const carriedMs = this.options.carriedMs();
		return carriedMs > 0 && !this.isBehind && this.options.clock.now() - this.carriedAtMs <= carriedMs;
	}

	/** One read; returns whether it brought all there was, and any. */
	private async read(signal: AbortSignal): Promise<boolean> {
		const {topic, belief, clock, isNewestEnough} = this.options;
		const sentAtMs = clock.now();
		this.isBehind = false;
		const batch = this.next === undefined ? undefined : await this.readFrom(this.next, signal);
		if (!batch && this.next !== undefined) {
			log.info('records expired, reading the newest of each key.', {topic});
		}

		if (!batch || (isNewestEnough && batch.next < batch.end)) {
			await this.readNewest(signal);
			return false;
		}

		for (const record of batch.records) {
			// A relay may have handed it on meanwhile.
			if (record.offset >= this.next!) {
				this.take(record, clock.now());
			}
		}

		const isWhole = this.next! >= batch.end;
		if (isWhole) {
			belief.confirm(sentAtMs);
		}

		return isWhole && batch.records.length > 0;
	}

	/** Reads records from an offset on, and waits for them unless the view is in doubt. */
	private async readFrom(next: number, signal: AbortSignal): Promise<RecordBatch | undefined> {
		const {store, topic, waitMs, mostBytes} = this.options;
		const limits = this.isInDoubt ? {waitMs: 0, answerMs: this.patienceMs} : {waitMs: waitMs(), answerMs};
		return store.read(topic, next, {...limits, mostBytes}, signal);
	}

	private async readNewest(signal: AbortSignal): Promise<void> {
		const {store, topic, sink, belief, clock} = this.options;
		const sentAtMs = clock.now();
		const newest = await store.newest(topic, this.patienceMs, signal);
		if (newest.next < (this.next ?? 0)) {
			throw new StateError(`the store's newest records of ${topic} end at ${newest.next}, before ${this.next}`);
		}

		sink.reset(newest.records, clock.now());
		this.next = newest.next;
		this.tail.clear();
		belief.confirm(sentAtMs);
	}

	/** Time that an answer may take beyond a wait, in milliseconds: more after failures, since a store that carries much answers late. */
	private get patienceMs(): number {
		return this.failedInRow < 2 ? doubtAnswerMs : mostAnswerMs;
	}

	private take(record: KeyedRecord, nowMs: number): void {
		this.options.sink.apply(record, nowMs);
		this.next = record.offset + 1;
		this.tail.add(record);
	}

	/** Logs when the view is left to the relays, and when their word is too old. A record that they do not hand on is read without a line: it has one of its own. */
	private noteSource(isCarried: boolean): void {
		if (isCarried === this.wasCarried || (!isCarried && this.isBehind)) {
			return;
		}

		const {topic, belief, clock} = this.options;
		if (isCarried || this.wasCarried !== undefined) {
			log.info(isCarried ? 'going by relays.' : 'relays\' word too old, reading.', {topic, next: this.next, viewAgeMs: Math.round(belief.ageMs(clock.now()))});
		}

		this.wasCarried = isCarried;
	}

	/** Notes a read of this daemon's own that was answered; a relay's word says nothing of the store's answers here. */
	private noteAnswered(): void {
		this.reads.answered++;
		this.failedInRow = 0;
		this.isInDoubt = false;
		this.followedSinceMs ??= this.options.clock.now();
		if (this.isLost) {
			this.isLost = false;
			this.followedSinceMs = this.options.clock.now();
			log.info('regained.', {topic: this.options.topic, next: this.next});
		}
	}

	private noteFailed(error: unknown): void {
		this.reads.failed++;
		this.failedInRow++;
		this.isInDoubt = true;
		if (!this.isLost) {
			this.isLost = true;
			const {topic, belief, clock} = this.options;
			log.warn('lost.', {
				topic, error: String(error), cause: error instanceof Error ? String(error.cause) : '', viewAgeMs: Math.round(belief.ageMs(clock.now())),
			});
		}
	}
}
