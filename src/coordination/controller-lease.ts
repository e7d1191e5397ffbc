/**
 * Acquires and renews the controller lease on the platform log. Log order decides which
 * records are valid (`state/lease-table.ts`); clocks decide how long a lease lasts:
 *
 * - The holder may act until `leaseMs`, less a guard, after it *sent* its last valid
 *   renewal. The time is measured by both its monotonic and its wall clock, so that a
 *   holder that was paused or suspended doesn't act on an expired lease when it resumes.
 * - Another gateway may claim once `leaseMs` and a margin have passed, by its monotonic
 *   clock, since it *read* the last valid record, which is later than the sending.
 *
 * The offset of the winning claim is the fencing token of every order.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Instant, readClocks} from '../clock.js';
import {type LeaseRecord, LeaseRecordKind, leaseStream} from '../protocol/lease-records.js';
import {type LeaseTable} from '../state/lease-table.js';
import {type PlatformLog} from '../state/platform-log.js';
import {createLogger} from '../log.js';
import {affinityScore} from './router.js';
import {followStream} from './stream-follower.js';

const log = createLogger('lease');

/** Renewals sent within the time of one lease, so that one may fail. */
export const renewalsPerLease = 3;
/** Share of the lease time, before its end, in which the holder no longer acts. */
export const holderGuardShare = 0.15;
/** Share of the lease time that other gateways wait beyond its end before they claim. */
export const claimMarginShare = 0.25;
/** Share of the lease time over which the claims of different gateways are spread. */
export const claimJitterShare = 0.5;
/** Number of lease times without a new record after which a reader whose history is incomplete trusts what it has read. */
const leasesUntilTrusted = 3;

type PendingRecord = {id: string; kind: LeaseRecordKind; sent: Instant};

/** Options of a {@link ControllerLease}. */
export type ControllerLeaseOptions = {
	platformLog: PlatformLog;
	table: LeaseTable;
	/** This gateway's id. */
	holder: string;
	/** Duration of the lease after a renewal, in milliseconds. */
	leaseMs: number;
};

/** One gateway's view of the controller lease, and its attempts to acquire and renew it. */
export class ControllerLease {
	/** Number of appends to the lease stream. */
	appends = 0;
	private readonly options: ControllerLeaseOptions;
	/** The fencing token this gateway holds or last held. */
	private token: number | undefined;
	/** When the last valid claim or renewal of this gateway was sent. */
	private renewalSentAt: Instant | undefined;
	private pendingRecord: PendingRecord | undefined;
	/** When a valid record was last read, by the monotonic clock. */
	private lastValidReadMs: number;

	constructor(options: ControllerLeaseOptions, now: Instant) {
		this.options = options;
		this.lastValidReadMs = now.monotonicMs;
	}

	/** Returns the fencing token of orders if this gateway may act as controller at `now`, otherwise undefined. */
	tokenAt(now: Instant): number | undefined {
		const {table, leaseMs} = this.options;
		if (this.token === undefined || this.renewalSentAt === undefined || table.lease?.token !== this.token) {
			return undefined;
		}

		const heldMs = Math.max(now.monotonicMs - this.renewalSentAt.monotonicMs, now.wallMs - this.renewalSentAt.wallMs);
		return heldMs < leaseMs * (1 - holderGuardShare) ? this.token : undefined;
	}

	/** Follows the lease stream, and claims or renews the lease, until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {platformLog, table, leaseMs} = this.options;
		const following = followStream<LeaseRecord>({
			platformLog,
			stream: leaseStream,
			from: 0,
			log,
			apply: ({offset, value}) => {
				this.apply(offset, value, readClocks());
			},
			onExpired(start) {
				table.skipTo(start);
			},
		}, signal);
		while (!signal.aborted) {
			const now = readClocks();
			const record = this.nextRecord(now);
			if (record) {
				// eslint-disable-next-line no-await-in-loop
				await this.append(record, now);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(leaseMs / renewalsPerLease / 2, undefined, {signal}).catch(() => undefined);
		}

		await following;
	}

	/**
	 * Releases the lease if this gateway holds it, so that another may claim it at once.
	 * Must only be called once every order sent under it was answered.
	 */
	async release(): Promise<void> {
		const token = this.tokenAt(readClocks());
		if (token === undefined) {
			return;
		}

		const {table, holder} = this.options;
		this.renewalSentAt = undefined;
		await this.append({
			kind: LeaseRecordKind.Release, id: randomUUID(), holder, base: table.lastAcceptedOffset, token,
		}, readClocks());
	}

	/** Applies a record that was read at `now`. */
	apply(offset: number, record: LeaseRecord, now: Instant): void {
		const {table} = this.options;
		const leaseBefore = table.lease;
		const isValid = table.apply(offset, record);
		const sent = this.pendingRecord?.id === record.id ? this.pendingRecord.sent : undefined;
		if (sent) {
			this.pendingRecord = undefined;
		}

		if (!isValid) {
			return;
		}

		this.lastValidReadMs = now.monotonicMs;
		if (sent && record.kind !== LeaseRecordKind.Release && table.isCertain) {
			this.token = table.lease?.token;
			this.renewalSentAt = sent;
		}

		if (table.lease?.token !== leaseBefore?.token) {
			log.info('lease holder changed.', {holder: table.lease?.holder, token: table.lease?.token});
		}
	}

	/** Returns the record to append at `now`, if any: a renewal by the holder, or a claim of an expired lease. */
	nextRecord(now: Instant): LeaseRecord | undefined {
		const {table, holder, leaseMs} = this.options;
		const renewEveryMs = leaseMs / renewalsPerLease;
		if (this.pendingRecord && now.monotonicMs - this.pendingRecord.sent.monotonicMs < renewEveryMs) {
			return undefined;
		}

		const fields = {id: randomUUID(), holder, base: table.lastAcceptedOffset};
		if (this.tokenAt(now) !== undefined) {
			const isDue = now.monotonicMs - this.renewalSentAt!.monotonicMs >= renewEveryMs / 2;
			return isDue ? {...fields, kind: LeaseRecordKind.Renew, token: this.token} : undefined;
		}

		const silentMs = now.monotonicMs - this.lastValidReadMs;
		if (!table.isCertain && silentMs > leaseMs * leasesUntilTrusted) {
			table.assumeCertain();
		}

		const expiryMs = table.lease === undefined ? 0 : leaseMs * (1 + claimMarginShare);
		const isExpired = silentMs >= expiryMs + this.claimJitterMs();
		return isExpired && table.isCertain ? {...fields, kind: LeaseRecordKind.Claim} : undefined;
	}

	/** Records that a record is about to be sent at `now`. */
	noteSent(record: LeaseRecord, now: Instant): void {
		this.pendingRecord = {id: record.id, kind: record.kind, sent: now};
		this.appends++;
	}

	/** Returns a plain copy for state dumps. */
	toJson(now: Instant): Record<string, unknown> {
		return {...this.options.table.toJson(), holding: this.tokenAt(now) !== undefined, appends: this.appends};
	}

	/** Returns a delay in milliseconds that differs per gateway and lease, so that not all gateways claim at the same moment. */
	private claimJitterMs(): number {
		const {table, holder, leaseMs} = this.options;
		return (affinityScore(String(table.lastAcceptedOffset), holder) / (2 ** 32)) * leaseMs * claimJitterShare;
	}

	private async append(record: LeaseRecord, sent: Instant): Promise<void> {
		this.noteSent(record, sent);
		try {
			await this.options.platformLog.append(leaseStream, [record]);
		} catch (error) {
			// The record may have been appended all the same; following the stream shows whether it was.
			log.warn('lease record append failed.', {kind: record.kind, error: String(error)});
		}
	}
}
