/**
 * Keeps or seeks the controller lease on the platform log. Which records count is
 * decided by log order (`state/lease-table.ts`); how long a lease lasts, by clocks:
 *
 * - The holder may act until `leaseMs` after it *sent* its last renewal that counted,
 *   less a guard, by both its monotonic and its wall clock, so that a holder that was
 *   paused or suspended stops before it acts again.
 * - Another gateway may claim once `leaseMs` and a margin have passed, by its monotonic
 *   clock, since it *read* the last record that counted, which is later than its sending.
 *
 * The claim that wins carries its offset as the fencing token of every order.
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

/** Renewals sent within one lease, so that one may fail. */
export const renewalsPerLease = 3;
/** Share of a lease before its end at which the holder stops acting. */
export const guardShare = 0.15;
/** Share of a lease beyond its length that others wait before they claim. */
export const claimMarginShare = 0.25;
/** Share of a lease over which the claims of different gateways are spread. */
export const claimSpreadShare = 0.5;
/** Leases that pass unconfirmed before a reader without history trusts what it read. */
const trustAfterLeases = 3;

type PendingRecord = {id: string; kind: LeaseRecordKind; sent: Instant};

/** What a {@link LeaseKeeper} needs. */
export type LeaseOptions = {
	platformLog: PlatformLog;
	table: LeaseTable;
	/** This gateway's id. */
	holder: string;
	leaseMs: number;
};

/** The lease as one gateway sees it, and its efforts to hold it. */
export class LeaseKeeper {
	/** Appends made to the lease stream. */
	appends = 0;
	private readonly options: LeaseOptions;
	/** The fencing token this gateway holds or last held. */
	private token: number | undefined;
	/** When the renewal in force was sent. */
	private heldSince: Instant | undefined;
	private pending: PendingRecord | undefined;
	/** When a record that counted was last read, by the monotonic clock. */
	private lastReadMs: number;

	constructor(options: LeaseOptions, now: Instant) {
		this.options = options;
		this.lastReadMs = now.monotonicMs;
	}

	/** The fencing token to put on orders, if this gateway may act as controller at `now`. */
	tokenAt(now: Instant): number | undefined {
		const {table, leaseMs} = this.options;
		if (this.token === undefined || this.heldSince === undefined || table.lease?.token !== this.token) {
			return undefined;
		}

		const heldMs = Math.max(now.monotonicMs - this.heldSince.monotonicMs, now.wallMs - this.heldSince.wallMs);
		return heldMs < leaseMs * (1 - guardShare) ? this.token : undefined;
	}

	/** Follows the lease stream and seeks or keeps the lease until the signal aborts. */
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
	 * Gives the lease up, if this gateway holds it, so that another may claim it at once.
	 * Only to be called once every order given under it was answered.
	 */
	async giveUp(): Promise<void> {
		const token = this.tokenAt(readClocks());
		if (token === undefined) {
			return;
		}

		const {table, holder} = this.options;
		this.heldSince = undefined;
		await this.append({
			kind: LeaseRecordKind.Release, id: randomUUID(), holder, base: table.last, token,
		}, readClocks());
	}

	/** Applies a record read at `now`. */
	apply(offset: number, record: LeaseRecord, now: Instant): void {
		const {table} = this.options;
		const before = table.lease;
		const isCounted = table.apply(offset, record);
		const sent = this.pending?.id === record.id ? this.pending.sent : undefined;
		if (sent) {
			this.pending = undefined;
		}

		if (!isCounted) {
			return;
		}

		this.lastReadMs = now.monotonicMs;
		if (sent && record.kind !== LeaseRecordKind.Release && table.isCertain) {
			this.token = table.lease?.token;
			this.heldSince = sent;
		}

		if (table.lease?.token !== before?.token) {
			log.info('holder changed.', {holder: table.lease?.holder, token: table.lease?.token});
		}
	}

	/** The record to append at `now`, if any: a renewal by the holder, or a claim of a lapsed lease. */
	nextRecord(now: Instant): LeaseRecord | undefined {
		const {table, holder, leaseMs} = this.options;
		const renewEveryMs = leaseMs / renewalsPerLease;
		if (this.pending && now.monotonicMs - this.pending.sent.monotonicMs < renewEveryMs) {
			return undefined;
		}

		const base = {id: randomUUID(), holder, base: table.last};
		if (this.tokenAt(now) !== undefined) {
			const isDue = now.monotonicMs - this.heldSince!.monotonicMs >= renewEveryMs / 2;
			return isDue ? {...base, kind: LeaseRecordKind.Renew, token: this.token} : undefined;
		}

		const silentMs = now.monotonicMs - this.lastReadMs;
		if (!table.isCertain && silentMs > leaseMs * trustAfterLeases) {
			table.trust();
		}

		const lapseMs = table.lease === undefined ? 0 : leaseMs * (1 + claimMarginShare);
		const isLapsed = silentMs >= lapseMs + this.claimSpreadMs();
		return isLapsed && table.isCertain ? {...base, kind: LeaseRecordKind.Claim} : undefined;
	}

	/** Notes that a record is about to be sent at `now`. */
	noteSent(record: LeaseRecord, now: Instant): void {
		this.pending = {id: record.id, kind: record.kind, sent: now};
		this.appends++;
	}

	/** A plain copy for state dumps. */
	toJson(now: Instant): Record<string, unknown> {
		return {...this.options.table.toJson(), holding: this.tokenAt(now) !== undefined, appends: this.appends};
	}

	/** A pause that differs per gateway and lease, so that not all claim at the same moment. */
	private claimSpreadMs(): number {
		const {table, holder, leaseMs} = this.options;
		return (affinityScore(String(table.last), holder) / (2 ** 32)) * leaseMs * claimSpreadShare;
	}

	private async append(record: LeaseRecord, sent: Instant): Promise<void> {
		this.noteSent(record, sent);
		try {
			await this.options.platformLog.append(leaseStream, [record]);
		} catch (error) {
			// It may still land; reading it back decides.
			log.warn('append failed.', {kind: record.kind, error: String(error)});
		}
	}
}
