/**
 * The records of the `lease` stream of the platform's log. Each record names its base, the
 * record that it follows, and is accepted only if its base is the last accepted record
 * before it. Every reader thus decides alike from the log's order, without a clock.
 */

/** The name of the stream that carries the controller lease. */
export const leaseStream = 'lease';

/** The kinds of record on the lease stream. */
export enum LeaseRecordKind {
	/** Acquires the lease; the record's offset becomes the fencing token. */
	Claim = 'claim',
	/** Extends the lease. */
	Renew = 'renew',
	/** Gives up the lease, so that another gateway may claim it at once. */
	Release = 'release',
}

/** A record on the lease stream. */
export type LeaseRecord = {
	kind: LeaseRecordKind;
	/** A unique id, by which the writer recognises its own record when it reads it back. */
	id: string;
	holder: string;
	/** Offset of the lease record that this one follows; -1 for none. */
	base: number;
	/** For `renew` and `release`: the fencing token of the lease. */
	token?: number;
};
