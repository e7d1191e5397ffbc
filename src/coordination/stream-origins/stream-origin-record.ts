/**
 * Keeps the origins of streams in the platform's store, so that clients can take their streams
 * up again after all daemons have restarted: which versions serve when that changes and, while
 * several serve, the origins of the running streams.
 */
import {Buffer} from 'node:buffer';
import {pack, unpack} from 'msgpackr';
import {isPackedStreamOrigins, type PackedStreamOrigins} from '../../protocol/fleet-messages.js';
import {type Store, Topic} from '../../protocol/platform.js';
import {type SteadyClock} from '../../clock.js';
import {type LogEra} from '../../state/log-era.js';
import {Latch} from '../../latch.js';
import {createLogger} from '../../log.js';
import {decodeDaemonRecord, fieldsOf} from '../daemon-record.js';
import {type DutyLease} from '../duty-lease.js';
import {type ServiceVersions} from './service-versions.js';
import {packOrigins, unpackOrigins} from './stream-origin-codec.js';
import {type StreamOrigins} from './stream-origins.js';

const log = createLogger('versions');

/** Key of the record of the versions among the daemons' records; no daemon has this name. */
export const versionsKey = '#versions';
/** Interval between checks whether a record must be written, in milliseconds. */
export const streamOriginCheckMs = 500;
/** Number of streams in one record; a record of that many takes some 100 KB. */
const streamsPerRecord = 10_000;
/** How long a read of the records may go without an answer, in milliseconds. */
const readTimeoutMs = 300;
/** Time after a failed read until the next one, in milliseconds. */
const readRetryMs = 500;

/** What a {@link StreamOriginRecord} depends on. */
export type StreamOriginRecordDependencies = {
	store: Store;
	logEra: LogEra;
	origins: StreamOrigins;
	versions: ServiceVersions;
	lease: DutyLease;
	/** Whether this daemon is the first of those that know all streams. */
	isFirstDaemon: (nowMs: number) => boolean;
	/** This daemon's name. */
	name: string;
	clock: SteadyClock;
	signal: AbortSignal;
};

/** Writes and reads the records of versions and of streams. */
export class StreamOriginRecord {
	/** Opens once the record of the versions was read, or was found not to exist. */
	readonly isVersionsRead = new Latch();
	private storedVersions = '';
	/** The era of the store in which that was written or read. */
	private versionsEra = 0;
	private hasAppliedVersions = false;
	/** {@link StreamOrigins.added} at the last write. */
	private storedAdded = 0;
	/** The era of the store in which that was. */
	private streamsEra = 0;
	private reading: Promise<void> | undefined;
	private hasReadStreams = false;
	private readFailedAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly dependencies: StreamOriginRecordDependencies) {}

	/**
	 * Writes what has changed: the versions as the duty holder, and the origins as the first of the daemons, which are
	 * back sooner than a holder after all of them have restarted.
	 *
	 * @throws {StateError} When the store does not accept a record.
	 */
	async save(signal: AbortSignal): Promise<void> {
		const {versions, lease, isFirstDaemon, clock} = this.dependencies;
		const nowMs = clock.now();
		// A daemon that has not read the records would replace them by less than they hold.
		if (!versions.hasHistory(nowMs)) {
			return;
		}

		if (lease.tokenAt(nowMs) !== undefined) {
			await this.saveVersions(nowMs, signal);
		}

		if (isFirstDaemon(nowMs)) {
			await this.saveStreams(signal);
		}
	}

	/** Applies the record of the versions; an undefined value means that there is none. Only the first one that is read tells what served before this daemon started. */
	applyVersions(value: Uint8Array | undefined, era: number): void {
		const versions = value && decodeDaemonRecord(value, isVersionsByService, 'versions that serve');
		if (versions && !this.hasAppliedVersions) {
			this.dependencies.versions.restore(versions);
		}

		this.storedVersions = versions ? JSON.stringify(versions) : this.storedVersions;
		this.versionsEra = era;
		this.hasAppliedVersions = true;
		this.isVersionsRead.open();
	}

	/** Reads the origins that the store keeps, once; resolves without them if the store does not answer. */
	async restoreStreams(): Promise<void> {
		const isRetryDue = this.dependencies.clock.now() - this.readFailedAtMs >= readRetryMs;
		if (!this.hasReadStreams && isRetryDue) {
			this.reading ??= this.readStreams();
			await this.reading;
		}
	}

	private async saveVersions(nowMs: number, signal: AbortSignal): Promise<void> {
		const {store, logEra, versions} = this.dependencies;
		const known = JSON.stringify(versions.all(nowMs));
		if (known !== this.storedVersions || logEra.isOutdated(this.versionsEra)) {
			const result = await store.append(Topic.Members, {key: versionsKey, value: Buffer.from(known)}, undefined, signal);
			this.storedVersions = known;
			this.versionsEra = result.kind === 'appended' ? result.era : this.versionsEra;
		}
	}

	/** Writes all origins under keys of this daemon, so that two that take themselves for the first one don't replace each other's. */
	private async saveStreams(signal: AbortSignal): Promise<void> {
		const {store, logEra, origins, name, clock} = this.dependencies;
		const {added} = origins;
		const {current: era = 0} = logEra;
		if (added === this.storedAdded && (added === 0 || !logEra.isOutdated(this.streamsEra))) {
			return;
		}

		await this.restoreStreams();
		if (!this.hasReadStreams) {
			return;
		}

		const entries = origins.all(clock.now());
		for (let index = 0; index < entries.length; index += streamsPerRecord) {
			const value = pack(packOrigins(entries.slice(index, index + streamsPerRecord)));
			// eslint-disable-next-line no-await-in-loop -- one record after the other.
			await store.append(Topic.Streams, {key: `${name}/${index / streamsPerRecord}`, value}, undefined, signal);
		}

		this.storedAdded = added;
		this.streamsEra = era;
	}

	private async readStreams(): Promise<void> {
		const {store, origins, clock, signal} = this.dependencies;
		try {
			const {records} = await store.readNewest(Topic.Streams, readTimeoutMs, signal);
			for (const {key, value} of records) {
				const packed = value && decodeStreams(key, value);
				if (packed) {
					origins.learn(unpackOrigins(packed), false, clock.now());
				}
			}

			this.hasReadStreams = true;
			log.info('origins of streams read from the store.', {streams: origins.size});
		} catch (error) {
			this.readFailedAtMs = clock.now();
			log.warn('origins of streams cannot be read from the store.', {error: String(error)});
		} finally {
			this.reading = undefined;
		}
	}
}

function decodeStreams(key: string, value: Uint8Array): PackedStreamOrigins | undefined {
	let decoded: unknown;
	try {
		decoded = unpack(value);
	} catch (error) {
		log.error('cannot decode the origins of streams, skipping the record.', {key, error: String(error)});
		return undefined;
	}

	return isPackedStreamOrigins(decoded) ? decoded : undefined;
}

function isVersionsByService(value: unknown): value is Record<string, string[]> {
	return Object.values(fieldsOf(value)).every(versions => Array.isArray(versions) && versions.every(version => typeof version === 'string'));
}
