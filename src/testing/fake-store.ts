/** An in-memory implementation of the store, with faults that tests can switch on. */
import {
	type AppendResult, type KeyedRecord, type ReadLimits, type RecordBatch, type Store, type Topic,
} from '../protocol/platform.js';
import {StateError, UnknownAppendError} from '../state/errors.js';

/** A store that keeps each topic as an array of records in memory. */
export class FakeStore implements Store {
	/** How often it was restored from a copy. */
	era = 0;
	/** Whether calls fail without any effect. */
	isDown = false;
	/** Whether appends take effect but then throw {@link UnknownAppendError}, as if the answer had been lost. */
	shouldLoseAnswers = false;
	/** The maximum number of records that one `read` returns. */
	maxRecordsPerRead = Number.POSITIVE_INFINITY;
	/** How long each answered `read` allowed the store to wait for records, in milliseconds. */
	readonly readWaitsMs: number[] = [];
	/** The number of reads that were answered. */
	answeredReads = 0;
	/** The number of calls that failed because the store was down. */
	failedCalls = 0;
	private readonly topics = new Map<Topic, KeyedRecord[]>();
	/** The first offset of each compacted topic that `read` still accepts. */
	private readonly firstOffsets = new Map<Topic, number>();

	/** Appends a record and returns its offset; without a value the record deletes the key. */
	put(topic: Topic, key: string, value: string | undefined): number {
		const records = this.getRecords(topic);
		records.push({key, value: value === undefined ? undefined : new TextEncoder().encode(value), offset: records.length});
		return records.length - 1;
	}

	/** Restores a topic from a copy that lacks its last records. */
	restore(topic: Topic, lostRecords: number): void {
		this.era++;
		const records = this.getRecords(topic);
		records.splice(Math.max(0, records.length - lostRecords));
	}

	/** Makes `read` refuse offsets before the current end, as after a compaction; the newest record of each key stays available. */
	compact(topic: Topic): void {
		this.firstOffsets.set(topic, this.getRecords(topic).length);
	}

	/** Returns the number of records ever written to a topic. */
	length(topic: Topic): number {
		return this.getRecords(topic).length;
	}

	/**
	 * Returns the newest record of each key that is not deleted.
	 *
	 * @throws {StateError} When the store is down.
	 */
	async readNewest(topic: Topic): Promise<RecordBatch> {
		this.throwIfDown();
		this.answeredReads++;
		const newest = new Map<string, KeyedRecord>();
		for (const record of this.getRecords(topic)) {
			if (record.value) {
				newest.set(record.key, record);
			} else {
				newest.delete(record.key);
			}
		}

		const end = this.getRecords(topic).length;
		return {
			records: [...newest.values()], next: end, end, era: this.era,
		};
	}

	/**
	 * Returns the records from an offset on; undefined when the offset is no longer available.
	 *
	 * @throws {StateError} When the store is down.
	 */
	async read(topic: Topic, from: number, {waitMs}: Pick<ReadLimits, 'waitMs'>): Promise<RecordBatch | undefined> {
		this.throwIfDown();
		this.answeredReads++;
		this.readWaitsMs.push(waitMs);
		if (from < (this.firstOffsets.get(topic) ?? 0) || from > this.getRecords(topic).length) {
			return undefined;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
		const end = this.getRecords(topic).length;
		const records = this.getRecords(topic).slice(from, from + Math.min(this.maxRecordsPerRead, end));
		return {
			records, next: from + records.length, end, era: this.era,
		};
	}

	/**
	 * Appends a record; with `expectedEnd`, only if the topic ends at that offset.
	 *
	 * @throws {StateError} When the store is down.
	 * @throws {UnknownAppendError} When answers are set to be lost; the record was appended.
	 */
	async append(topic: Topic, record: {key: string; value: Uint8Array}, expectedEnd: number | undefined): Promise<AppendResult> {
		this.throwIfDown();
		const records = this.getRecords(topic);
		if (expectedEnd !== undefined && expectedEnd !== records.length) {
			return {kind: 'conflict'};
		}

		records.push({...record, offset: records.length});
		if (this.shouldLoseAnswers) {
			throw new UnknownAppendError('answer lost');
		}

		return {kind: 'appended', offset: records.length - 1, era: this.era};
	}

	private throwIfDown(): void {
		if (this.isDown) {
			this.failedCalls++;
			throw new StateError('store is down');
		}
	}

	private getRecords(topic: Topic): KeyedRecord[] {
		let records = this.topics.get(topic);
		if (!records) {
			records = [];
			this.topics.set(topic, records);
		}

		return records;
	}
}
