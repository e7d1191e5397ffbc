/**
 * The controller lease, rebuilt from the `lease` stream. A record is accepted only if its
 * base is the last accepted record, so acceptance depends on log order alone. Expiry is not
 * decided here: the holder stops acting, and others claim the lease, by their own monotonic
 * clocks (`coordination/controller-lease.ts`).
 */
import {type LeaseRecord, LeaseRecordKind} from '../protocol/lease-records.js';

/** The lease as of the last accepted record. */
export type Lease = {
	holder: string;
	/** The fencing token: the offset of the claim that acquired the lease. */
	token: number;
};

/** The lease as of the last applied record of the stream. */
export class LeaseTable {
	/** Offset of the last record applied; -1 before any. */
	appliedOffset = -1;
	/** Offset of the last accepted record; -1 before any. */
	lastAcceptedOffset = -1;
	/** The current lease, if one was claimed and not released. */
	lease: Lease | undefined;
	/**
	 * Whether the last accepted record is known with certainty. For a reader that started
	 * after old records expired it is not, until that reader reads a record whose base it has
	 * also read.
	 */
	isCertain = true;
	private firstKeptOffset = 0;
	/** While `isCertain` is false: the base of the record that is provisionally accepted. */
	private tentativeBase = -1;

	/** Marks the records before `start` as expired before they were read. */
	skipTo(start: number): void {
		this.firstKeptOffset = start;
		this.isCertain = false;
		this.lastAcceptedOffset = -1;
		this.tentativeBase = -1;
		this.lease = undefined;
	}

	/** Treats the last accepted record as certain although no later record confirms it; to be called when no record has been written for several lease durations. */
	assumeCertain(): void {
		this.isCertain = true;
	}

	/**
	 * Applies a record; offsets at or below the last applied one are ignored.
	 *
	 * @returns Whether the record was accepted.
	 */
	apply(offset: number, record: LeaseRecord): boolean {
		if (offset <= this.appliedOffset) {
			return false;
		}

		this.appliedOffset = offset;
		if (record.base !== this.lastAcceptedOffset && !this.mayFollowExpired(record)) {
			return false;
		}

		this.isCertain ||= record.base === this.lastAcceptedOffset;
		this.tentativeBase = record.base;
		this.lastAcceptedOffset = offset;
		switch (record.kind) {
			case LeaseRecordKind.Claim: {
				this.lease = {holder: record.holder, token: offset};
				break;
			}

			case LeaseRecordKind.Renew: {
				this.lease = {holder: record.holder, token: record.token ?? offset};
				break;
			}

			case LeaseRecordKind.Release: {
				this.lease = undefined;
				break;
			}
		}

		return true;
	}

	/** Returns a plain copy for state dumps. */
	toJson(): Record<string, unknown> {
		return {
			appliedOffset: this.appliedOffset, last: this.lastAcceptedOffset, lease: this.lease, isCertain: this.isCertain,
		};
	}

	/**
	 * Whether a record whose base has expired is provisionally accepted, which a later record
	 * may correct. Bases of accepted records only rise, so a record whose base is not above
	 * that of the provisionally accepted record was not accepted.
	 */
	private mayFollowExpired(record: LeaseRecord): boolean {
		return !this.isCertain && record.base < this.firstKeptOffset && record.base > this.tentativeBase;
	}
}
