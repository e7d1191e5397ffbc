/**
 * The records of the `lease` stream on the platform log. Each names the record it
 * follows; it counts only if that is the last one that counted before it, so every
 * reader decides alike from log order, without a clock.
 */

/** The name of the stream that carries the controller lease. */
export const leaseStream = 'lease';

/** The kinds of record on the lease stream. */
export enum LeaseRecordKind {
	/** Takes the lease; its offset becomes the fencing token. */
	Claim = 'claim',
	/** Keeps the lease. */
	Renew = 'renew',
	/** Gives the lease up, so that another may claim at once. */
	Release = 'release',
}

/** A record on the lease stream. */
export type LeaseRecord = {
	kind: LeaseRecordKind;
	/** A unique id, so that its writer knows it again. */
	id: string;
	holder: string;
	/** Offset of the lease record it follows; -1 for none. */
	base: number;
	/** For `renew` and `release`: the fencing token of the lease. */
	token?: number;
};
