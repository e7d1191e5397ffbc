/** The sinks that apply the records of the followed topics to the daemon's tables. A record that cannot be decoded is logged and skipped. */
import {toSequenceNumber} from '../protocol/log-position.js';
import {type KeyedRecord, type RecordCodec} from '../protocol/platform.js';
import {ProtocolError} from '../protocol/errors.js';
import {type Backend, type RolloutOrder} from '../protocol/serving.js';
import {type SteadyClock} from '../clock.js';
import {type BackendTable} from '../state/backend-table.js';
import {type RouteTable} from '../state/route-table.js';
import {createLogger} from '../log.js';
import {type Rollouts} from './rollout/rollouts.js';
import {type RecordSink} from './topic-follower.js';

const log = createLogger('front');

/** Number of keys with undecodable entries that are logged at a time. Another writer may fill the topic with such entries, and further ones show nothing new. */
const maxLoggedKeys = 100;

/** Time by which the start of a backend server may lie ahead of this daemon's clock, in milliseconds. Starts are ordered by their times, so one far ahead would hide all later entries of its name. */
const maxStartAheadMs = 24 * 3600 * 1000;

/** Applies configurations to the route table, and the operators' roll-out orders. */
export class ConfigSink implements RecordSink {
	/** The era of the last record. */
	private era: number | undefined;
	/** The orders received for each service, and the era in which each was last read. */
	private readonly receivedOrders = new Map<string, Array<Pick<RolloutOrder, 'version' | 'durationMs'> & {era: number}>>();

	/** @param onChange Called after each version that takes effect. */
	constructor(
		private readonly records: RecordCodec,
		private readonly routes: RouteTable,
		private readonly rollouts: Rollouts,
		private readonly onChange: () => void,
	) {}

	reset(records: KeyedRecord[], era: number, nowMs: number): void {
		const isRestored = this.era !== undefined && era > this.era;
		for (const record of records) {
			this.apply(record, era, nowMs);
		}

		// What a copy lacks, the operator writes again.
		if (isRestored) {
			return;
		}

		this.rollouts.retainOrders(new Set(records.map(({key}) => this.records.rolloutServiceOf(key)).filter(service => service !== undefined)));
	}

	apply(record: KeyedRecord, era: number, nowMs: number): void {
		this.era = era;
		const service = this.records.rolloutServiceOf(record.key);
		if (service !== undefined) {
			this.applyOrder(service, record, era, nowMs);
			return;
		}

		if (!this.records.isConfigKey(record.key) || !record.value) {
			return;
		}

		try {
			const config = this.records.readConfig(record.value);
			if (this.routes.apply(config)) {
				log.info('configuration applied.', {
					version: config.version, offset: record.offset, routes: config.routes.length, accounts: config.accounts.map(account => `${account.name} ${account.ratePerSecond ?? 'unlimited'}/s +${account.burst}`),
				});
				this.onChange();
			}
		} catch (error) {
			log.error('cannot decode the configuration, keeping the last one.', {offset: record.offset, version: this.routes.version, error: String(error)});
		}
	}

	/** Whether an order was received before in an earlier era, and is only written again after a restore of the store. */
	private isWrittenAgain({service, version, durationMs}: RolloutOrder, era: number): boolean {
		const received = this.receivedOrders.get(service) ?? [];
		const known = received.find(order => order.version === version && order.durationMs === durationMs);
		const isAgain = known !== undefined && known.era < era;
		this.receivedOrders.set(service, [...received.filter(order => order !== known), {version, durationMs, era}]);
		return isAgain;
	}

	/** Records the newest order for a service. One that cannot be decoded replaces the last one, since that is no longer what the operator wants. */
	private applyOrder(service: string, record: KeyedRecord, era: number, nowMs: number): void {
		try {
			const order = record.value && this.records.readRolloutOrder(service, record.value);
			if (order && this.isWrittenAgain(order, era)) {
				return;
			}

			this.rollouts.noteOrder(service, order && {...order, orderId: toSequenceNumber({era, offset: record.offset}), receivedAtMs: nowMs});
			log.info(order ? 'roll-out order received.' : 'roll-out order removed.', {
				service, order: record.offset, version: order?.version, durationMs: order?.durationMs,
			});
		} catch (error) {
			this.rollouts.noteOrder(service, undefined);
			log.error('cannot decode the roll-out order, ignoring it.', {service, offset: record.offset, error: String(error)});
		}
	}
}

/** Applies the list of backend servers to the table of backend servers. */
export class BackendsSink implements RecordSink {
	/** Whether a complete list has been read. */
	isLoaded = false;
	/** When a backend server was last added to the list. */
	lastAddedAtMs = Number.NEGATIVE_INFINITY;

	/** The era of the last record. */
	private era: number | undefined;
	/** Entries of a copy of the store whose backend servers had been removed from the list before. */
	private readonly doubtful = new Map<string, {record: KeyedRecord; readAtMs: number}>();
	/** Keys whose entries could not be decoded; each is logged once. */
	private readonly unreadableKeys = new Set<string>();

	/** @param onList Called after each complete list. */
	constructor(
		private readonly records: RecordCodec,
		private readonly backends: BackendTable,
		private readonly onList: () => void,
		private readonly clock: Pick<SteadyClock, 'wallTimeMs'>,
	) {}

	reset(records: KeyedRecord[], era: number, nowMs: number): void {
		const isRestored = this.era !== undefined && era > this.era;
		this.era = era;
		for (const record of records) {
			if (!isRestored || this.isNews(record)) {
				this.apply(record, era, nowMs);
			} else {
				this.doubtful.set(record.key, {record, readAtMs: nowMs});
			}
		}

		const names = new Set(records.map(record => record.key));
		for (const key of this.doubtful.keys()) {
			if (!names.has(key)) {
				this.doubtful.delete(key);
			}
		}

		if (isRestored) {
			this.backends.noteMissing(names, nowMs);
		} else {
			this.backends.retain(names, nowMs);
		}

		this.isLoaded = true;
		this.onList();
	}

	apply(record: KeyedRecord, era: number, nowMs: number): void {
		this.era = era;
		this.doubtful.delete(record.key);
		if (!record.value) {
			this.unreadableKeys.delete(record.key);
			const entry = this.backends.markRemoved(record.key, nowMs);
			log.info('backend server removed from the list.', {backend: record.key, wasLeaving: entry?.leavingSinceMs !== undefined, offset: record.offset});
			return;
		}

		try {
			const backend = this.records.readBackend(record.key, record.value);
			requirePlausibleStart(backend, this.clock.wallTimeMs());
			this.unreadableKeys.delete(record.key);
			const {hasStartedLeaving, isNew} = this.backends.upsert(backend, nowMs);
			this.lastAddedAtMs = isNew ? nowMs : this.lastAddedAtMs;
			if (hasStartedLeaving || isNew) {
				log.info(hasStartedLeaving ? 'backend server is leaving.' : 'backend server added to the list.', {
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
			this.withholdWork(record, nowMs, error);
		}
	}

	/**
	 * Completes the merge with a copy of the store a time after it was read: what is still missing
	 * counts as removed, and what is still listed as serving.
	 */
	settleRestored(afterMs: number, nowMs: number): void {
		for (const backend of this.backends.removeMissing(afterMs, nowMs)) {
			log.info('backend server is not listed again after the restore of the store.', {backend});
		}

		for (const {record, readAtMs} of this.doubtful.values()) {
			if (nowMs - readAtMs >= afterMs) {
				this.apply(record, this.era!, nowMs);
			}
		}
	}

	/** Whether an entry of a copy of the store may be later than what is known of its backend server: one whose entry was removed writes a later one if it still serves. */
	private isNews({key, value}: KeyedRecord): boolean {
		const known = this.backends.latest(key);
		if (known?.vanishedAtMs === undefined || !value) {
			return true;
		}

		try {
			const backend = this.records.readBackend(key, value);
			return backend.id !== known.backend.id || (backend.updates ?? 0) > (known.backend.updates ?? 0);
		} catch {
			// An entry that cannot be decoded is reported where it is applied.
			return true;
		}
	}

	/** Withholds work from a backend server whose entry cannot be decoded. This is logged once until a valid entry follows, since other writers may repeat the entry. */
	private withholdWork(record: KeyedRecord, nowMs: number, error: unknown): void {
		this.backends.markUnreadable(record.key, nowMs);
		if (!this.unreadableKeys.has(record.key) && this.unreadableKeys.size < maxLoggedKeys) {
			this.unreadableKeys.add(record.key);
			log.error('cannot decode the entry of a backend server, skipping it.', {backend: record.key, offset: record.offset, error: String(error)});
		}
	}
}

/**
 * Checks when a backend server started.
 *
 * @param wallTimeMs The time of day, in milliseconds since 1970.
 * @throws {ProtocolError} When that lies more than {@link maxStartAheadMs} ahead.
 */
function requirePlausibleStart({name, startedAtMs = 0}: Backend, wallTimeMs: number): void {
	if (startedAtMs > wallTimeMs + maxStartAheadMs) {
		throw new ProtocolError(`entry of ${name}: its start at ${startedAtMs} lies ahead`);
	}
}
