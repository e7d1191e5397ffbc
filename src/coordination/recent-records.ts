/** The latest records of a topic, kept so that a relay can send them to daemons whose views lack them. */
import {type TopicUpdate} from '../protocol/fleet-messages.js';
import {type KeyedRecord} from '../protocol/platform.js';

/** Number of records that are kept; enough for several seconds of changes while 30 backend servers are reclaimed. */
const maxRecords = 128;
/** Size of the records in one message, in bytes: a dozen entries of backend servers, in two packets. Larger datagrams are lost more often. */
const maxBytesPerMessage = 2800;

/** The latest records in offset order, without gaps. */
export class RecentRecords {
	private records: KeyedRecord[] = [];

	add(record: KeyedRecord): void {
		this.records.push(record);
		if (this.records.length > maxRecords) {
			this.records.shift();
		}
	}

	/** Drops all records, because the next one will not follow them without a gap. */
	clear(): void {
		this.records = [];
	}

	/** Returns the records from an offset on, up to the size of one message; none if the record at the offset is not kept. */
	startingAt(offset: number | undefined): TopicUpdate['records'] {
		const first = this.records.findIndex(record => record.offset === offset);
		const selected: TopicUpdate['records'] = [];
		let bytes = 0;
		for (const record of first === -1 ? [] : this.records.slice(first)) {
			bytes += record.key.length + (record.value?.length ?? 0);
			if (bytes > maxBytesPerMessage) {
				break;
			}

			selected.push([record.offset, record.key, record.value]);
		}

		return selected;
	}
}
