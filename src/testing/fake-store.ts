/** A store in memory with the faults that tests ask for. */
import {
	type AppendResult, type KeyedRecord, type RecordBatch, type Store, type Topic,
} from '../protocol/platform.js';
import {StateError, UnknownAppendError} from '../state/errors.js';

/** A store whose topics are arrays of records. */
export class FakeStore implements Store {
	/** Whether calls fail without having done anything. */
	isDown = false;
	/** Whether appends are done and their answers lost. */
	losesAnswers = false;
	/** Records that one read brings at most. */
	mostRecords = Number.POSITIVE_INFINITY;
	/** Reads that were answered. */
	reads = 0;
	/** Calls that failed because it was down. */
	refusals = 0;
	private readonly topics = new Map<Topic, KeyedRecord[]>();
	/** Records below this offset are not kept any more. */
	private readonly firsts = new Map<Topic, number>();

	put(topic: Topic, key: string, value: string | undefined): number {
		const records = this.records(topic);
		records.push({key, value: value === undefined ? undefined : new TextEncoder().encode(value), offset: records.length});
		return records.length - 1;
	}

	/** Drops the history of a topic; the newest record of each key stays. */
	compact(topic: Topic): void {
		this.firsts.set(topic, this.records(topic).length);
	}

	length(topic: Topic): number {
		return this.records(topic).length;
	}

	async newest(topic: Topic): Promise<RecordBatch> {
		this.check();
		this.reads++;
		const newest = new Map<string, KeyedRecord>();
		for (const record of this.records(topic)) {
			if (record.value) {
				newest.set(record.key, record);
			} else {
				newest.delete(record.key);
			}
		}

		const end = this.records(topic).length;
		return {records: [...newest.values()], next: end, end};
	}

	async read(topic: Topic, from: number): Promise<RecordBatch | undefined> {
		this.check();
		this.reads++;
		if (from < (this.firsts.get(topic) ?? 0)) {
			return undefined;
		}

		await new Promise(resolve => {
			setTimeout(resolve, 1);
		});
		const end = this.records(topic).length;
		const records = this.records(topic).slice(from, from + Math.min(this.mostRecords, end));
		return {records, next: from + records.length, end};
	}

	async append(topic: Topic, record: {key: string; value: Uint8Array}, at: number | undefined): Promise<AppendResult> {
		this.check();
		const records = this.records(topic);
		if (at !== undefined && at !== records.length) {
			return {kind: 'conflict', end: records.length};
		}

		records.push({...record, offset: records.length});
		if (this.losesAnswers) {
			throw new UnknownAppendError('answer lost');
		}

		return {kind: 'appended', offset: records.length - 1};
	}

	private check(): void {
		if (this.isDown) {
			this.refusals++;
			throw new StateError('down');
		}
	}

	private records(topic: Topic): KeyedRecord[] {
		let records = this.topics.get(topic);
		if (!records) {
			records = [];
			this.topics.set(topic, records);
		}

		return records;
	}
}
