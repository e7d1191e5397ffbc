/** What daemons write to their own topic of the store: their addresses, and the sums of the accounts' limits. */
import {Buffer} from 'node:buffer';
import {type PeerAddress} from '../../protocol/fleet-messages.js';
import {type WindowParts} from '../account-window.js';
import {fieldsOf} from '../own-record.js';

/** Key of the written sums among the daemons' records; no daemon is called so. */
export const sumsKey = '#sums';

/** A daemon's record in the store. */
export type WrittenMember = PeerAddress & {failureDomain?: string};

/** Sums of the accounts' limits as the store keeps them. */
export type WrittenSums = {
	/** When they were written, in milliseconds since 1970. */
	atMs: number;
	sums: Record<string, WindowParts>;
};

/** A record's value. */
export function encodeRecord(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

export function isWrittenMember(value: unknown): value is WrittenMember {
	const {host, port, failureDomain} = fieldsOf(value);
	return typeof host === 'string' && Number.isInteger(port) && (failureDomain === undefined || typeof failureDomain === 'string');
}

export function isWrittenSums(value: unknown): value is WrittenSums {
	const {atMs, sums} = fieldsOf(value);
	return typeof atMs === 'number' && Object.values(fieldsOf(sums)).every(parts => Array.isArray(parts) && parts.every(part => typeof part === 'number'));
}
