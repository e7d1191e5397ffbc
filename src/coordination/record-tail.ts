/** The latest records of a topic, to be handed on to daemons whose views lack them. */
import {type TopicNews} from '../protocol/fleet-messages.js';
import {type KeyedRecord} from '../protocol/platform.js';

/** Records kept to be handed on: some seconds of the changes of a reclaim of 30 backend servers. */
const keptRecords = 128;
/** Bytes of records handed on in one message, so that it stays within a datagram; what is left over is read from the store. */
const handedBytes = 900;

/** The latest records, in order and without gaps. */
export class RecordTail {
	private records: KeyedRecord[] = [];

	add(record: KeyedRecord): void {
		this.records.push(record);
		if (this.records.length > keptRecords) {
			this.records.shift();
		}
	}

	/** Forgets all records, as those that follow are not known one by one. */
	clear(): void {
		this.records = [];
	}

	/** Records from an offset on, as far as one message takes them; none where the one at the offset is not kept. */
	from(offset: number | undefined): TopicNews['records'] {
		const first = this.records.findIndex(record => record.offset === offset);
		const handed: TopicNews['records'] = [];
		let bytes = 0;
		for (const record of first === -1 ? [] : this.records.slice(first)) {
			bytes += record.key.length + (record.value?.length ?? 0);
			if (bytes > handedBytes) {
				break;
			}

			handed.push([record.offset, record.key, record.value]);
		}

		return handed;
	}
}
