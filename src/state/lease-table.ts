/**
 * The controller lease as rebuilt from the `lease` stream. A record counts only if its
 * base is the last record that counted, decided by log order alone. How long a lease
 * lasts is not decided here: its holder stops, and others claim, by their own monotonic
 * clocks (`coordination/lease.ts`).
 */
import {type LeaseRecord, LeaseRecordKind} from '../protocol/lease-records.js';

/** The lease as of the last record that counted. */
export type Lease = {
	holder: string;
	/** Offset of the claim that won it. */
	token: number;
};

/** The lease at one point of the log. */
export class LeaseTable {
	/** Offset of the last record applied; -1 before any. */
	appliedOffset = -1;
	/** Offset of the last record that counted; -1 before any. */
	last = -1;
	/** The lease in force, if one was claimed and not released. */
	lease: Lease | undefined;
	/**
	 * Whether `last` is known to be right. It is not for a reader that started after old
	 * records expired, until it reads a record that follows one it has read.
	 */
	isCertain = true;
	private start = 0;
	/** While uncertain: the base of the record taken for the last one that counted. */
	private tentativeBase = -1;

	/** Notes that the records before `start` expired before they were read. */
	skipTo(start: number): void {
		this.start = start;
		this.isCertain = false;
		this.last = -1;
		this.tentativeBase = -1;
		this.lease = undefined;
	}

	/** Takes `last` for right although nothing confirmed it: nobody has written for long. */
	trust(): void {
		this.isCertain = true;
	}

	/**
	 * Applies a record; offsets at or below the last applied one are ignored.
	 *
	 * @returns Whether the record counted.
	 */
	apply(offset: number, record: LeaseRecord): boolean {
		if (offset <= this.appliedOffset) {
			return false;
		}

		this.appliedOffset = offset;
		if (record.base !== this.last && !this.mayFollowExpired(record)) {
			return false;
		}

		this.isCertain ||= record.base === this.last;
		this.tentativeBase = record.base;
		this.last = offset;
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

	/** A plain copy for state dumps. */
	toJson(): Record<string, unknown> {
		return {
			appliedOffset: this.appliedOffset, last: this.last, lease: this.lease, isCertain: this.isCertain,
		};
	}

	/**
	 * While uncertain, a record whose base expired is taken for one that counted until a
	 * later one corrects it: the bases of records that count only rise, so one with a
	 * base no higher than that of a record already taken did not count.
	 */
	private mayFollowExpired(record: LeaseRecord): boolean {
		return !this.isCertain && record.base < this.start && record.base > this.tentativeBase;
	}
}
