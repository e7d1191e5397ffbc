/** What a daemon does with the records of the topics it follows. A record that cannot be read is logged and skipped. */
import {type KeyedRecord, type Records} from '../protocol/platform.js';
import {type BackendTable} from '../state/backend-table.js';
import {type RouteTable} from '../state/route-table.js';
import {createLogger} from '../log.js';
import {type RecordSink} from './topic-follower.js';

const log = createLogger('front');

/** Most names whose unreadable entries are logged at a time; more than a misdirected writer's first ones tell nothing new. */
const maxLoggedKeys = 100;

/** Takes configurations into force. */
export class ConfigSink implements RecordSink {
	/** @param onChange Called after each version taken into force. */
	constructor(
		private readonly records: Records,
		private readonly routes: RouteTable,
		private readonly onChange: () => void,
	) {}

	reset(records: KeyedRecord[]): void {
		for (const record of records) {
			this.apply(record);
		}
	}

	apply(record: KeyedRecord): void {
		if (!this.records.isConfigKey(record.key) || !record.value) {
			return;
		}

		try {
			const config = this.records.readConfig(record.value);
			if (this.routes.apply(config)) {
				log.info('configuration in force.', {
					version: config.version, offset: record.offset, routes: config.routes.length, accounts: config.accounts.map(account => `${account.name} ${account.ratePerSecond ?? 'unlimited'}/s +${account.burst}`),
				});
				this.onChange();
			}
		} catch (error) {
			log.error('configuration unreadable, keeping the last one.', {offset: record.offset, version: this.routes.version, error: String(error)});
		}
	}
}

/** Keeps the table of backend servers. */
export class BackendsSink implements RecordSink {
	/** Whether a full list was read. */
	isKnown = false;
	/** When a backend server was listed that was not known before. */
	grownAtMs = Number.NEGATIVE_INFINITY;

	/** Names whose entry could not be read, logged once. */
	private readonly unreadableKeys = new Set<string>();

	/** @param onList Called after each full list. */
	constructor(
		private readonly records: Records,
		private readonly backends: BackendTable,
		private readonly onList: () => void,
	) {}

	reset(records: KeyedRecord[], nowMs: number): void {
		for (const record of records) {
			this.apply(record, nowMs);
		}

		this.backends.retain(new Set(records.map(record => record.key)), nowMs);
		this.isKnown = true;
		this.onList();
	}

	apply(record: KeyedRecord, nowMs: number): void {
		if (!record.value) {
			this.unreadableKeys.delete(record.key);
			const entry = this.backends.vanish(record.key, nowMs);
			log.info('backend server not listed any more.', {backend: record.key, wasLeaving: entry?.leavingSinceMs !== undefined, offset: record.offset});
			return;
		}

		try {
			const backend = this.records.readBackend(record.key, record.value);
			this.unreadableKeys.delete(record.key);
			const {beganToLeave, isNew} = this.backends.upsert(backend, nowMs);
			this.grownAtMs = isNew ? nowMs : this.grownAtMs;
			if (beganToLeave || isNew) {
				log.info(beganToLeave ? 'backend server leaves.' : 'backend server listed.', {
					backend: backend.id,
					service: backend.service,
					address: `${backend.host}:${backend.port}`,
					failureDomain: backend.failureDomain,
					isReclaimable: backend.isReclaimable,
					leavesInMs: backend.leavesInMs,
					offset: record.offset,
				});
			}
		} catch (error) {
			this.withholdEntry(record, nowMs, error);
		}
	}

	/** Passes over an entry that cannot be read; logged once until one can, since others than backend servers may repeat it. */
	private withholdEntry(record: KeyedRecord, nowMs: number, error: unknown): void {
		this.backends.withhold(record.key, nowMs);
		if (!this.unreadableKeys.has(record.key) && this.unreadableKeys.size < maxLoggedKeys) {
			this.unreadableKeys.add(record.key);
			log.error('entry of a backend server unreadable, skipped.', {backend: record.key, offset: record.offset, error: String(error)});
		}
	}
}
